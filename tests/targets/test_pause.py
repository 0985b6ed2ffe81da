"""Tests of the pause that a target names."""

from __future__ import annotations

import pytest

from flamingoladder.targets.pause import MAX_PAUSE_S
from flamingoladder.targets.pause import RESUME_SPREAD_S
from flamingoladder.targets.pause import TRIAL_INTERVAL_S
from flamingoladder.targets.pause import TargetPause

NOW = 100.0


def paused(*named: tuple[float, float], turn: float = 0.0) -> TargetPause:
    """Return a pause after ``named`` (seconds, at)."""
    pause = TargetPause()
    for seconds, at in named:
        pause.name(seconds, turn, at)
    return pause


@pytest.mark.parametrize(
    ("named", "ends_at"),
    [
        ([(5.0, NOW)], NOW + 5.0),
        ([(5.0, NOW), (1.0, NOW + 1.0)], NOW + 5.0),
        ([(5.0, NOW), (8.0, NOW + 1.0)], NOW + 9.0),
        ([(0.25, NOW)], NOW + 0.25),
        ([(1e9, NOW)], NOW + MAX_PAUSE_S),
    ],
)
def test_nothing_is_sent_before_the_last_end(
    named: list[tuple[float, float]], ends_at: float
) -> None:
    pause = paused(*named)
    assert pause.rests(ends_at - 0.001)
    assert not pause.allows_send(ends_at - 0.001)
    assert pause.allows_send(ends_at)


def test_hosts_come_back_one_after_the_other() -> None:
    resumed = [paused((5.0, NOW), turn=number / 78).resume_at for number in range(78)]
    assert min(resumed) == NOW + 5.0
    assert max(resumed) < NOW + 5.0 + RESUME_SPREAD_S
    assert len(set(resumed)) == 78


def test_few_requests_are_sent_until_the_target_has_answered() -> None:
    pause = paused((5.0, NOW))
    sent = 0
    for step in range(100):
        now = NOW + 5.0 + step / 100
        if pause.allows_send(now):
            pause.count_send(now)
            sent += 1
    assert sent <= 1.0 / TRIAL_INTERVAL_S
    pause.note_answer(NOW + 4.0)
    assert not pause.allows_send(NOW + 6.0 - 0.01)
    pause.note_answer(NOW + 5.5)
    assert pause.allows_send(NOW + 6.0 - 0.01)
