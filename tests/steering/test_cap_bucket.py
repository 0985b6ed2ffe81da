"""Tests of a host's part of a cap as it changes hands."""

from __future__ import annotations

from flamingoladder.steering.cap_bucket import NO_SHARE
from flamingoladder.steering.cap_bucket import CapBucket
from flamingoladder.steering.cap_bucket import CapShare


def _full(burst: float, rate_per_s: float) -> CapBucket:
    bucket = CapBucket(0.0)
    bucket.set_share(CapShare(burst, rate_per_s), 0.0, 0.0, contiguous=False)
    bucket.advance(1_000.0)
    return bucket


def test_growth_waits_and_starts_empty() -> None:
    bucket = CapBucket(0.0)
    bucket.set_share(CapShare(5.0, 1.0), 2.0, 0.0, contiguous=False)
    bucket.advance(1.99)
    assert (bucket.share, bucket.tokens) == (NO_SHARE, 0.0)
    bucket.advance(2.0)
    assert (bucket.share, bucket.tokens) == (CapShare(5.0, 1.0), 0.0)
    bucket.advance(3.0)
    assert bucket.tokens == 1.0


def test_a_part_that_shrinks_does_so_at_once_and_keeps_no_token_beyond() -> None:
    bucket = _full(5.0, 2.0)
    bucket.set_share(CapShare(3.0, 1.0), 1_002.0, 1_000.0, contiguous=True)
    assert (bucket.share, bucket.tokens) == (CapShare(3.0, 1.0), 3.0)


def test_nothing_is_kept_over_a_division_that_was_skipped() -> None:
    bucket = _full(5.0, 2.0)
    bucket.set_share(CapShare(3.0, 1.0), 1_002.0, 1_000.0, contiguous=False)
    assert (bucket.share, bucket.tokens) == (NO_SHARE, 0.0)


def test_time_before_a_division_was_learned_refills_at_the_lower_rate() -> None:
    bucket = _full(5.0, 2.0)
    for _ in range(5):
        assert bucket.spend(1_000.0)
    assert not bucket.spend(1_000.0)
    bucket.set_share(CapShare(5.0, 1.0), 1_004.0, 1_002.0, contiguous=True)
    assert bucket.tokens == 2.0
