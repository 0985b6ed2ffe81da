"""Gives each object a home: the target that handles its requests while it can.

A target that has handled an object of late handles it several times faster. All hosts work the
homes out alone, from the same targets and objects, by rendezvous hashing with a bound: a target is
home to at most its even part of the objects and a little more.
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from flamingoladder.hashing import stable_hash

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence

SPREAD = 1.1

ObjectKey = str


class HomePlan:
    """The homes of the known objects of one service."""

    __slots__ = ("_home_by_object", "_objects", "_ranks_by_object", "_stale", "_targets")

    def __init__(self) -> None:
        self._targets: tuple[str, ...] = ()
        self._objects: dict[ObjectKey, int] = {}
        self._ranks_by_object: dict[ObjectKey, tuple[str, ...]] = {}
        self._home_by_object: dict[ObjectKey, str] = {}
        self._stale = False

    def set_targets(self, targets: Sequence[str]) -> None:
        """Plan for these targets from now on."""
        wanted = tuple(sorted(targets))
        if wanted == self._targets:
            return
        self._targets = wanted
        self._ranks_by_object.clear()
        self._stale = True

    def add(self, objects: Collection[ObjectKey]) -> None:
        """Plan for these objects, too."""
        for key in objects:
            if key not in self._objects:
                self._objects[key] = stable_hash(key)
                self._stale = True

    @property
    def objects(self) -> Collection[ObjectKey]:
        """Return the known objects."""
        return self._objects.keys()

    def order(self, key: ObjectKey) -> tuple[str, ...]:
        """Return all targets, the object's home first, the others by their rank for it."""
        self.add((key,))
        self._settle()
        ranks = self._ranks(key)
        home = self._home_by_object.get(key)
        if home is None or ranks[0] == home:
            return ranks
        return (home, *(target for target in ranks if target != home))

    def _ranks(self, key: ObjectKey) -> tuple[str, ...]:
        ranks = self._ranks_by_object.get(key)
        if ranks is None:
            ranks = tuple(sorted(self._targets, key=lambda target: stable_hash(key, target)))
            self._ranks_by_object[key] = ranks
        return ranks

    def _settle(self) -> None:
        if not self._stale:
            return
        self._stale = False
        self._home_by_object.clear()
        if not self._targets:
            return
        bound = ceil(len(self._objects) * SPREAD / len(self._targets))
        room = dict.fromkeys(self._targets, bound)
        for key in sorted(self._objects, key=self._objects.__getitem__):
            home = next(target for target in self._ranks(key) if room[target] > 0)
            room[home] -= 1
            self._home_by_object[key] = home
