"""Gives each object a home: the target that handles its requests while it can.

A target that has handled an object of late handles it several times faster. All hosts work the
homes out alone, from the same targets and objects, by rendezvous hashing with a bound: a target is
home to at most its even part of the objects and a little more. An object's home is in the region
that its requests come from while a target there has room.
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from flamingoladder.hashing import stable_hash

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

MAX_LOAD_FACTOR = 1.4
MAX_OBJECTS = 20_000

ObjectKey = str


class HomeAssignment:
    """The homes of the known objects of one service."""

    __slots__ = (
        "_home_by_object",
        "_order",
        "_ranks_by_object",
        "_regions_by_object",
        "_regions_by_target",
        "_stale",
    )

    def __init__(self) -> None:
        self._regions_by_target: dict[str, str] = {}
        self._regions_by_object: dict[ObjectKey, str] = {}
        self._order: dict[ObjectKey, int] = {}
        self._ranks_by_object: dict[ObjectKey, tuple[str, ...]] = {}
        self._home_by_object: dict[ObjectKey, str] = {}
        self._stale = False

    def set_targets(self, regions_by_target: Mapping[str, str]) -> None:
        """Plan for these targets from now on."""
        if regions_by_target == self._regions_by_target:
            return
        self._regions_by_target = dict(regions_by_target)
        self._ranks_by_object.clear()
        self._stale = True

    def add_objects(self, objects: Collection[ObjectKey], region: str) -> None:
        """Plan for these objects, too, which are asked for from ``region``."""
        for key in objects:
            if key not in self._order and len(self._order) < MAX_OBJECTS:
                self._order[key] = stable_hash(key)
                self._regions_by_object[key] = region
                self._stale = True

    def objects_of(self, region: str) -> list[ObjectKey]:
        """Return the known objects that are asked for from ``region``."""
        return [key for key, found in self._regions_by_object.items() if found == region]

    def ranked_targets(self, key: ObjectKey) -> tuple[str, ...]:
        """Return all targets, the object's home first, the others by their rank for it."""
        self._settle()
        ranks = self._ranks(key)
        home = self._home_by_object.get(key)
        if home is None or ranks[0] == home:
            return ranks
        return (home, *(target for target in ranks if target != home))

    def _ranks(self, key: ObjectKey) -> tuple[str, ...]:
        ranks = self._ranks_by_object.get(key)
        if ranks is None:
            ranks = tuple(
                sorted(self._regions_by_target, key=lambda target: stable_hash(key, target))
            )
            self._ranks_by_object[key] = ranks
        return ranks

    def _settle(self) -> None:
        if not self._stale:
            return
        self._stale = False
        self._home_by_object.clear()
        if not self._regions_by_target:
            return
        bound = ceil(len(self._order) * MAX_LOAD_FACTOR / len(self._regions_by_target))
        room = dict.fromkeys(self._regions_by_target, bound)
        keys = sorted(self._order, key=self._order.__getitem__)
        for own_region in (True, False):
            for key in keys:
                if key not in self._home_by_object:
                    self._place(key, room, own_region=own_region)

    def _place(self, key: ObjectKey, room: dict[str, int], *, own_region: bool) -> None:
        region = self._regions_by_object[key]
        for target in self._ranks(key):
            if room[target] and (not own_region or self._regions_by_target[target] == region):
                room[target] -= 1
                self._home_by_object[key] = target
                return
