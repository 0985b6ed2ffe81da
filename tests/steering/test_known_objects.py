"""Tests of the known objects."""

from __future__ import annotations

from flamingoladder.hashing import stable_hash
from flamingoladder.steering.known_objects import KnownObjects


def known_of(count: int, limit: int) -> KnownObjects:
    known = KnownObjects(limit)
    for number in range(count):
        known.add(f"o{number}", ("north", "south")[number % 2])
    return known


def test_the_oldest_object_is_forgotten_first() -> None:
    known = known_of(4, limit=4)
    assert known.add("new", "north") == "o0"
    assert known.of_region("north") == ["o2", "new"]
    assert known.of_region("south") == ["o1", "o3"]
    assert "o0" not in known
    assert len(known) == 4


def test_objects_are_in_the_order_of_their_hashes() -> None:
    keys = [key for _, key in known_of(50, limit=20).in_hash_order()]
    assert keys == sorted((f"o{number}" for number in range(30, 50)), key=stable_hash)


def test_objects_of_a_region_are_counted_and_listed_in_parts() -> None:
    known = known_of(20, limit=10)
    assert known.added_to_region("north") == 10
    assert known.newest_of_region("north", 2) == ["o16", "o18"]
    assert known.newest_of_region("north", 100) == known.of_region("north")
    assert known.slice_of_region("north", 1, 2) == ["o12", "o14"]
    assert known.slice_of_region("elsewhere", 0, 2) == []
    assert known.newest_of_region("elsewhere", 2) == []
    assert known.added_to_region("elsewhere") == 0
