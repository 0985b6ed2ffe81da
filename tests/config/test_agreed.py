"""Tests of the agreed state."""

from __future__ import annotations

import msgspec

from tests.gateway.states import agreed


def test_a_division_follows_only_the_one_that_it_replaced() -> None:
    first = agreed({})
    second = msgspec.structs.replace(
        first,
        version=first.version + 1,
        division_version=first.version + 1,
        previous_division_version=first.division_version,
    )
    third = msgspec.structs.replace(
        second,
        version=second.version + 5,
        division_version=second.version + 5,
        previous_division_version=second.division_version,
    )
    assert second.follows(first)
    assert third.follows(second)
    assert not third.follows(first)
