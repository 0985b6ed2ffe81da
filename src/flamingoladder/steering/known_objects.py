"""The objects that requests concerned lately, in the order in which they became known."""

from __future__ import annotations

from bisect import bisect_left
from bisect import insort
from collections import OrderedDict
from itertools import islice

from flamingoladder.hashing import stable_hash

ObjectKey = str


class KnownObjects:
    """Objects with the region that requests them; beyond ``limit`` the oldest is forgotten."""

    __slots__ = ("_added_by_region", "_by_region", "_limit", "_ordered", "regions_by_key")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.regions_by_key: OrderedDict[ObjectKey, str] = OrderedDict()
        self._by_region: dict[str, OrderedDict[ObjectKey, None]] = {}
        self._added_by_region: dict[str, int] = {}
        self._ordered: list[tuple[int, ObjectKey]] = []

    def __len__(self) -> int:
        return len(self.regions_by_key)

    def __contains__(self, key: ObjectKey) -> bool:
        return key in self.regions_by_key

    def add(self, key: ObjectKey, region: str) -> ObjectKey | None:
        """Add an object that is not known; return the one that is forgotten for it, if any."""
        forgotten = self._forget_oldest() if len(self) >= self._limit else None
        self.regions_by_key[key] = region
        self._by_region.setdefault(region, OrderedDict())[key] = None
        self._added_by_region[region] = self._added_by_region.get(region, 0) + 1
        insort(self._ordered, (stable_hash(key), key))
        return forgotten

    def add_region(self, key: ObjectKey, region: str) -> bool:
        """Note that a known object is requested from ``region``; return whether it moves there.

        Of the regions that request an object, the one with the lowest hash counts, so that all
        hosts come to the same one in whichever order they hear of them.
        """
        present = self.regions_by_key[key]
        if region == present or stable_hash(key, region) > stable_hash(key, present):
            return False
        self.regions_by_key[key] = region
        del self._by_region[present][key]
        self._by_region.setdefault(region, OrderedDict())[key] = None
        self._added_by_region[region] = self._added_by_region.get(region, 0) + 1
        return True

    def in_hash_order(self) -> tuple[tuple[int, ObjectKey], ...]:
        """Return all objects with their hashes, in an order that is the same at all hosts."""
        return tuple(self._ordered)

    def of_region(self, region: str) -> list[ObjectKey]:
        """Return the objects that are requested from a region, the oldest first."""
        return list(self._by_region.get(region, ()))

    def slice_of_region(self, region: str, start: int, count: int) -> list[ObjectKey]:
        """Return up to ``count`` objects of a region, after its ``start`` oldest."""
        return list(islice(self._by_region.get(region, ()), start, start + count))

    def added_to_region(self, region: str) -> int:
        """Return how many objects of a region were ever added."""
        return self._added_by_region.get(region, 0)

    def newest_of_region(self, region: str, count: int) -> list[ObjectKey]:
        """Return the ``count`` newest objects of a region, the oldest of them first."""
        newest = list(islice(reversed(self._by_region.get(region, OrderedDict())), count))
        return newest[::-1]

    def _forget_oldest(self) -> ObjectKey:
        key, region = self.regions_by_key.popitem(last=False)
        del self._by_region[region][key]
        del self._ordered[bisect_left(self._ordered, (stable_hash(key), key))]
        return key
