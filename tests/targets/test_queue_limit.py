"""Tests of the adaptive queue limit."""

from __future__ import annotations

import pytest

from flamingoladder.targets.queue_limit import QueueLimit


@pytest.mark.parametrize(
    ("timed_out", "answers", "allowed"),
    [([], 0, 1_000), ([8], 0, 4), ([8, 8], 0, 2), ([1], 0, 0), ([8], 11, 7), ([2, 9], 0, 0)],
)
def test_time_outs_halve_the_limit_and_answers_raise_it(
    timed_out: list[int], answers: int, allowed: int
) -> None:
    limit = QueueLimit()
    for queue_position in timed_out:
        limit.record_timeout(queue_position)
    for _ in range(answers):
        limit.record_answer()
    assert limit.allows(allowed)
    assert not timed_out or not limit.allows(allowed + 1)
