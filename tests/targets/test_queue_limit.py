"""Tests of how long a line may be."""

from __future__ import annotations

import pytest

from flamingoladder.targets.queue_limit import QueueLimit


@pytest.mark.parametrize(
    ("in_vain", "answers", "longest"),
    [([], 0, 1_000), ([8], 0, 4), ([8, 8], 0, 2), ([1], 0, 0), ([8], 11, 7), ([2, 9], 0, 0)],
)
def test_a_line_in_vain_halves_the_limit_and_answers_raise_it(
    in_vain: list[int], answers: int, longest: int
) -> None:
    limit = QueueLimit()
    for place in in_vain:
        limit.record_timeout(place)
    for _ in range(answers):
        limit.record_answer()
    assert limit.allows(longest)
    assert not in_vain or not limit.allows(longest + 1)
