"""Tests of a host's share of a cap as it is reassigned."""

from __future__ import annotations

from flamingoladder.steering.cap_bucket import NO_SHARE
from flamingoladder.steering.cap_bucket import CapBucket
from flamingoladder.steering.cap_bucket import CapShare


def _full_bucket(burst: float, rate_per_s: float) -> CapBucket:
    bucket = CapBucket(0.0)
    bucket.set_share(CapShare(burst, rate_per_s), 0.0, 0.0, contiguous=False)
    bucket.advance(1_000.0)
    return bucket


def test_growth_takes_effect_later_and_without_tokens() -> None:
    bucket = CapBucket(0.0)
    bucket.set_share(CapShare(5.0, 1.0), 2.0, 0.0, contiguous=False)
    bucket.advance(1.99)
    assert (bucket.share, bucket.tokens) == (NO_SHARE, 0.0)
    bucket.advance(2.0)
    assert (bucket.share, bucket.tokens) == (CapShare(5.0, 1.0), 0.0)
    bucket.advance(3.0)
    assert bucket.tokens == 1.0


def test_a_smaller_share_takes_effect_at_once_and_drops_tokens_over_its_burst() -> None:
    bucket = _full_bucket(5.0, 2.0)
    bucket.set_share(CapShare(3.0, 1.0), 1_002.0, 1_000.0, contiguous=True)
    assert (bucket.share, bucket.tokens) == (CapShare(3.0, 1.0), 3.0)


def test_no_share_is_kept_after_a_skipped_division() -> None:
    bucket = _full_bucket(5.0, 2.0)
    bucket.set_share(CapShare(3.0, 1.0), 1_002.0, 1_000.0, contiguous=False)
    assert (bucket.share, bucket.tokens) == (NO_SHARE, 0.0)


def test_time_before_a_division_is_received_refills_at_the_lower_rate() -> None:
    bucket = _full_bucket(5.0, 2.0)
    for _ in range(5):
        assert bucket.spend(1_000.0)
    assert not bucket.spend(1_000.0)
    bucket.set_share(CapShare(5.0, 1.0), 1_004.0, 1_002.0, contiguous=True)
    assert bucket.tokens == 2.0
