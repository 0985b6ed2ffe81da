"""One assignment of all known objects to homes, done some objects at a time."""

from __future__ import annotations

from itertools import chain
from math import ceil
from typing import TYPE_CHECKING

from flamingoladder.hashing import stable_hash
from flamingoladder.steering.hot_objects import MAX_WORK_FACTOR
from flamingoladder.steering.target_rankings import ALL_REGIONS

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from flamingoladder.steering.hot_objects import HotObject
    from flamingoladder.steering.known_objects import KnownObjects
    from flamingoladder.steering.known_objects import ObjectKey
    from flamingoladder.steering.target_rankings import TargetRankings


class AssignmentPass:
    """Assigns all objects anew: the hot ones, then those for which their own region has room.

    The result depends on the targets and objects at its start alone. Objects that come or go later
    are in the next pass.
    """

    __slots__ = (
        "_capacity_by_target",
        "_capacity_left",
        "_free_by_scope",
        "_known",
        "_left_over",
        "_most_work",
        "_next",
        "_rankings",
        "_regions_by_target",
        "_work",
        "homes_by_object",
        "more_homes_by_object",
    )

    def __init__(
        self,
        known: KnownObjects,
        rankings: TargetRankings,
        regions_by_target: Mapping[str, str],
        capacity_by_target: Mapping[str, int],
        hot_objects: Mapping[ObjectKey, HotObject],
    ) -> None:
        self._known = known
        self._rankings = rankings
        self._regions_by_target = regions_by_target
        self._capacity_by_target = capacity_by_target
        self._capacity_left = dict(capacity_by_target)
        self._free_by_scope: dict[str, dict[str, None]] = {
            ALL_REGIONS: dict.fromkeys(regions_by_target)
        }
        for target, region in regions_by_target.items():
            self._free_by_scope.setdefault(region, {})[target] = None
        self._left_over: list[ObjectKey] = []
        self._next: Iterator[tuple[ObjectKey, bool]] = chain(
            ((key, True) for _, key in known.in_hash_order()),
            ((key, False) for key in self._left_over),
        )
        self.homes_by_object: dict[ObjectKey, str] = {}
        self.more_homes_by_object: dict[ObjectKey, tuple[str, ...]] = {}
        self._work = dict.fromkeys(regions_by_target, 0.0)
        work = sum(hot.homes * hot.part for hot in hot_objects.values())
        self._most_work = MAX_WORK_FACTOR * work / max(1, len(regions_by_target))
        for key in sorted(hot_objects, key=stable_hash):
            if key in known:
                self._assign_hot(key, hot_objects[key])

    def step(self, objects: int, hashes: int) -> bool:
        """Assign up to ``objects`` objects, or for about ``hashes``; return whether it is over."""
        most_hashes = self._rankings.hashes + hashes
        for _ in range(objects):
            item = next(self._next, None)
            if item is None:
                return True
            self._assign(*item)
            if self._rankings.hashes > most_hashes:
                return False
        return False

    def _assign(self, key: ObjectKey, near_only: bool) -> None:
        region = self._known.regions_by_key.get(key)
        if region is None or key in self.homes_by_object:
            return
        home = self._best_free(key, region if near_only else ALL_REGIONS)
        if home is None:
            if near_only:
                self._left_over.append(key)
            return
        self.homes_by_object[key] = home
        self._take(home, 1)

    def _assign_hot(self, key: ObjectKey, hot: HotObject) -> None:
        """Give an object its homes, own region first, each with room for its part of requests."""
        region = self._known.regions_by_key[key]
        near = self._rankings.present(key, region)
        ranked = dict.fromkeys(chain(near, self._rankings.present(key, ALL_REGIONS)))
        needed = {name: ceil(hot.part * self._capacity_by_target[name]) for name in ranked}
        most = max(self._most_work, hot.part)
        roomy = [name for name in ranked if self._work[name] + hot.part <= most]
        homes = list(dict.fromkeys(chain(roomy, ranked)))[: hot.homes]
        for home in homes:
            self._work[home] += hot.part
            self._take(home, needed[home])
        if homes:
            self.homes_by_object[key], *others = homes
            self.more_homes_by_object[key] = tuple(others)

    def _take(self, target: str, room: int) -> None:
        left = self._capacity_left[target] = max(0, self._capacity_left[target] - room)
        if not left:
            self._free_by_scope[ALL_REGIONS].pop(target, None)
            self._free_by_scope[self._regions_by_target[target]].pop(target, None)

    def _best_free(self, key: ObjectKey, scope: str) -> str | None:
        """Return the highest ranked target that has room, or None."""
        free = self._free_by_scope.get(scope)
        if not free:
            return None
        ranks = self._rankings.first(key, scope)
        home = next((target for target in ranks if target in free), None)
        if home is not None:
            return home
        if any(target not in self._regions_by_target for target in ranks):
            self._rankings.rank_anew(key, scope)
        return self._rankings.best_of(key, free)
