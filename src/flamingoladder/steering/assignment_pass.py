"""One assignment of all known objects to homes, done some objects at a time."""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING

from flamingoladder.steering.target_rankings import ALL_REGIONS

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from flamingoladder.steering.known_objects import KnownObjects
    from flamingoladder.steering.known_objects import ObjectKey
    from flamingoladder.steering.target_rankings import TargetRankings


class AssignmentPass:
    """Assigns all objects anew: first those for which their own region has room.

    The result depends on the targets and objects at its start alone. Objects that come or go later
    are in the next pass.
    """

    __slots__ = (
        "_capacity_left",
        "_free_by_scope",
        "_known",
        "_left_over",
        "_next",
        "_rankings",
        "_regions_by_target",
        "homes_by_object",
    )

    def __init__(
        self,
        known: KnownObjects,
        rankings: TargetRankings,
        regions_by_target: Mapping[str, str],
        most_objects: int,
    ) -> None:
        self._known = known
        self._rankings = rankings
        self._regions_by_target = regions_by_target
        self._capacity_left = dict.fromkeys(regions_by_target, most_objects)
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
        if region is None:
            return
        home = self._best_free(key, region if near_only else ALL_REGIONS)
        if home is None:
            if near_only:
                self._left_over.append(key)
            return
        self.homes_by_object[key] = home
        self._capacity_left[home] -= 1
        if not self._capacity_left[home]:
            del self._free_by_scope[ALL_REGIONS][home]
            del self._free_by_scope[self._regions_by_target[home]][home]

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
