"""Tests of the conserved bucket."""

from __future__ import annotations

import pytest

from flamingoladder.shares.bucket import NANOS_PER_UNIT
from flamingoladder.shares.bucket import Bucket
from flamingoladder.shares.bucket import Loan
from flamingoladder.shares.bucket import Part

UNIT = NANOS_PER_UNIT


def _full(units: int, rate: int) -> Bucket:
    bucket = Bucket(0.0)
    bucket.divide(Part(units * UNIT, rate * UNIT), 0.0, 0.0, follows=False)
    bucket.advance(1_000.0)
    return bucket


def test_growth_waits_and_starts_as_room() -> None:
    bucket = Bucket(0.0)
    bucket.divide(Part(5 * UNIT, UNIT), 2.0, 0.0, follows=False)
    bucket.advance(1.99)
    assert (bucket.units, bucket.tokens) == (0, 0)
    bucket.advance(2.0)
    assert (bucket.units, bucket.tokens) == (5 * UNIT, 0)
    bucket.advance(3.0)
    assert bucket.tokens == UNIT


def test_a_part_that_shrinks_does_so_at_once_and_keeps_no_token_beyond() -> None:
    bucket = _full(5, 2)
    bucket.divide(Part(3 * UNIT, UNIT), 1_002.0, 1_000.0, follows=True)
    assert (bucket.units, bucket.tokens, bucket.rate) == (3 * UNIT, 3 * UNIT, UNIT)


def test_time_before_a_division_was_learned_refills_at_the_lower_rate() -> None:
    bucket = _full(5, 2)
    for _ in range(5):
        assert bucket.spend(1_000.0)
    bucket.divide(Part(5 * UNIT, UNIT), 1_004.0, 1_002.0, follows=True)
    assert bucket.tokens == 2 * UNIT


@pytest.mark.parametrize(
    ("lent", "borrowed", "tokens_moved"), [(3, 0, 0), (3, 0, 3), (0, 3, 0), (0, 3, 3)]
)
def test_loans_end_with_their_term_and_come_back_as_room(
    lent: int, borrowed: int, tokens_moved: int
) -> None:
    bucket = _full(5, 0)
    bucket = bucket if bucket.tokens else _with_tokens(bucket)
    if lent:
        bucket.lend("other", Loan(lent * UNIT, 0, 1_003.0), tokens_moved * UNIT)
    if borrowed:
        bucket.borrow("other", Loan(borrowed * UNIT, 0, 1_003.0), tokens_moved * UNIT)
    assert bucket.units == (5 - lent + borrowed) * UNIT
    bucket.advance(1_003.0)
    assert bucket.units == 5 * UNIT
    assert bucket.tokens <= bucket.units


def _with_tokens(bucket: Bucket) -> Bucket:
    bucket.tokens = bucket.units
    return bucket


def test_only_the_own_part_can_be_lent() -> None:
    bucket = _full(5, 2)
    bucket.borrow("giver", Loan(4 * UNIT, UNIT, 2_000.0), 0)
    assert bucket.units == 9 * UNIT
    assert bucket.lendable_units == 5 * UNIT
    assert bucket.lendable_rate == 2 * UNIT


@pytest.mark.parametrize(("wanted", "seconds"), [(0, 0.0), (5, 0.0), (7, 1.0), (8, 1.5)])
def test_seconds_until_tokens(wanted: int, seconds: float) -> None:
    bucket = _full(5, 2)
    assert bucket.seconds_until(wanted * UNIT) == seconds
