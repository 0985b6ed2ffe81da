"""Assigns each object a home, the preferred target of its requests.

A target that has handled an object recently handles it several times faster. Each host computes the
same homes from the same targets and objects, by rendezvous hashing with bounded loads: a target is
home to at most ``MAX_LOAD_FACTOR`` times the average number of objects. An object's home is in the
region that its requests come from, unless the targets there have reached that limit.
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from flamingoladder.hashing import stable_hash

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

# With 1.1, five joining targets moved many homes; 2.0 scored lower than 1.4 in the benchmark of
# scaling out.
MAX_LOAD_FACTOR = 1.4
# Objects beyond this number get no home.
MAX_OBJECTS = 20_000

ObjectKey = str


class HomeAssignment:
    """The homes of the known objects of one service."""

    __slots__ = (
        "_hashes_by_object",
        "_homes_by_object",
        "_rankings_by_object",
        "_regions_by_object",
        "_regions_by_target",
        "_stale",
    )

    def __init__(self) -> None:
        self._regions_by_target: dict[str, str] = {}
        self._regions_by_object: dict[ObjectKey, str] = {}
        self._hashes_by_object: dict[ObjectKey, int] = {}
        self._rankings_by_object: dict[ObjectKey, tuple[str, ...]] = {}
        self._homes_by_object: dict[ObjectKey, str] = {}
        self._stale = False

    def set_targets(self, regions_by_target: Mapping[str, str]) -> None:
        """Replace the targets to assign objects to."""
        if regions_by_target == self._regions_by_target:
            return
        self._regions_by_target = dict(regions_by_target)
        self._rankings_by_object.clear()
        self._stale = True

    def add_objects(self, objects: Collection[ObjectKey], region: str) -> None:
        """Add objects that are requested from ``region``."""
        for key in objects:
            if key not in self._hashes_by_object and len(self._hashes_by_object) < MAX_OBJECTS:
                self._hashes_by_object[key] = stable_hash(key)
                self._regions_by_object[key] = region
                self._stale = True

    def objects_of(self, region: str) -> list[ObjectKey]:
        """Return the known objects that are requested from ``region``."""
        return [
            key for key, object_region in self._regions_by_object.items() if object_region == region
        ]

    def ranked_targets(self, key: ObjectKey) -> tuple[str, ...]:
        """Return all targets: the object's home first, the others by rendezvous hash."""
        self._assign_if_stale()
        ranking = self._ranking(key)
        home = self._homes_by_object.get(key)
        if home is None or ranking[0] == home:
            return ranking
        return (home, *(target for target in ranking if target != home))

    def _ranking(self, key: ObjectKey) -> tuple[str, ...]:
        ranking = self._rankings_by_object.get(key)
        if ranking is None:
            ranking = tuple(
                sorted(self._regions_by_target, key=lambda target: stable_hash(key, target))
            )
            self._rankings_by_object[key] = ranking
        return ranking

    def _assign_if_stale(self) -> None:
        if not self._stale:
            return
        self._stale = False
        self._homes_by_object.clear()
        if not self._regions_by_target:
            return
        max_objects = ceil(
            len(self._hashes_by_object) * MAX_LOAD_FACTOR / len(self._regions_by_target)
        )
        capacity_left = dict.fromkeys(self._regions_by_target, max_objects)
        keys = sorted(self._hashes_by_object, key=self._hashes_by_object.__getitem__)
        for own_region in (True, False):
            for key in keys:
                if key not in self._homes_by_object:
                    self._assign(key, capacity_left, own_region=own_region)

    def _assign(self, key: ObjectKey, capacity_left: dict[str, int], *, own_region: bool) -> None:
        region = self._regions_by_object[key]
        for target in self._ranking(key):
            if capacity_left[target] and (
                not own_region or self._regions_by_target[target] == region
            ):
                capacity_left[target] -= 1
                self._homes_by_object[key] = target
                return
