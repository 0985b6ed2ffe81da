"""Tests of what own requests and a target's word make of its health."""

from __future__ import annotations

import pytest

from flamingoladder.steering.chooser import AttemptOutcome
from flamingoladder.upstreams.health import FIRST_EJECTION_S
from flamingoladder.upstreams.health import TargetHealth
from flamingoladder.upstreams.probe_messages import ProbeReply
from flamingoladder.upstreams.probe_messages import read_probe
from flamingoladder.verdict import Answer

ANSWERED = AttemptOutcome.ANSWERED
LOST = AttemptOutcome.LOST
SHED = AttemptOutcome.SHED
SILENT = AttemptOutcome.SILENT


@pytest.mark.parametrize(
    ("ends", "probe", "usable"),
    [
        ([], ProbeReply(True), True),
        ([], ProbeReply(False), False),
        ([ANSWERED], ProbeReply(False), True),
        ([ANSWERED], ProbeReply(True, draining=True), False),
        ([LOST], ProbeReply(True), True),
        ([LOST, LOST], ProbeReply(True), False),
        ([LOST, ANSWERED, LOST], ProbeReply(True), True),
        ([SILENT, SILENT], ProbeReply(True), False),
        ([SHED, SHED, SHED], ProbeReply(True), True),
    ],
)
def test_own_requests_count_for_more_than_the_targets_word(
    ends: list[AttemptOutcome], probe: ProbeReply, usable: bool
) -> None:
    health = TargetHealth()
    for end in ends:
        health.observe(end, 10.0)
    health.observe_probe(probe)
    assert health.usable(10.5) is usable


def test_each_failed_trial_doubles_the_ejection_and_an_answer_ends_it() -> None:
    health = TargetHealth()
    health.observe(LOST, 0.0)
    health.observe(LOST, 0.0)
    health.observe(LOST, 0.5)
    assert health.usable(FIRST_EJECTION_S)
    health.observe(LOST, FIRST_EJECTION_S)
    assert not health.usable(FIRST_EJECTION_S * 2.9)
    assert health.usable(FIRST_EJECTION_S * 3)
    health.observe(ANSWERED, FIRST_EJECTION_S * 3)
    health.observe(LOST, FIRST_EJECTION_S * 3)
    assert health.usable(FIRST_EJECTION_S * 3)


@pytest.mark.parametrize(
    ("end", "slots_by_age"),
    [
        (LOST, {0.0: 1, 3.0: 1, 5.0: 2, 10.0: 3}),
        (SILENT, {0.0: 3, 10.0: 3}),
    ],
)
def test_a_target_that_comes_back_from_a_crash_is_cold(
    end: AttemptOutcome, slots_by_age: dict[float, int]
) -> None:
    health = TargetHealth()
    for _ in range(2):
        health.observe(end, 0.0)
    back = FIRST_EJECTION_S
    assert {age: health.slots(3, 10.0, back + age) for age in slots_by_age} == slots_by_age


@pytest.mark.parametrize(
    ("health", "load", "expected"),
    [
        (None, None, ProbeReply(False)),
        (Answer(200, (), b"ok"), None, ProbeReply(True)),
        (Answer(503, (), b"draining"), Answer(200, (), b"\xff"), ProbeReply(False)),
        (
            Answer(200, (), b'{"status":"draining"}'),
            Answer(200, (), b'{"in_progress":2,"slots":4}'),
            ProbeReply(True, True, 0.5),
        ),
        (
            Answer(503, (), b""),
            Answer(200, (), b'{"in_progress":0,"slots":0,"draining":true}'),
            ProbeReply(False, True),
        ),
    ],
)
def test_read_probe(health: Answer | None, load: Answer | None, expected: ProbeReply) -> None:
    assert read_probe(health, load) == expected
