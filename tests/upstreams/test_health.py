"""Tests of target health from requests and probes."""

from __future__ import annotations

import pytest

from flamingoladder.steering.chooser import AttemptOutcome
from flamingoladder.upstreams.health import BASE_EJECTION_S
from flamingoladder.upstreams.health import TargetHealth
from flamingoladder.upstreams.probe_messages import ProbeReply
from flamingoladder.upstreams.probe_messages import parse_probe
from flamingoladder.verdict import Answer

ANSWERED = AttemptOutcome.ANSWERED
INVALID = AttemptOutcome.INVALID
LOST = AttemptOutcome.LOST
SHED = AttemptOutcome.SHED
SILENT = AttemptOutcome.SILENT


@pytest.mark.parametrize(
    ("outcomes", "probe", "usable"),
    [
        ([], ProbeReply(True), True),
        ([], ProbeReply(False), False),
        ([ANSWERED], ProbeReply(False), True),
        ([ANSWERED], ProbeReply(True, draining=True), False),
        ([LOST], ProbeReply(True), True),
        ([LOST, LOST], ProbeReply(True), False),
        ([LOST, ANSWERED, LOST], ProbeReply(True), True),
        ([SILENT, SILENT], ProbeReply(True), False),
        ([INVALID, INVALID], ProbeReply(True), False),
        ([SHED, SHED, SHED], ProbeReply(True), True),
    ],
)
def test_request_outcomes_take_precedence_over_probes(
    outcomes: list[AttemptOutcome], probe: ProbeReply, usable: bool
) -> None:
    health = TargetHealth()
    for outcome in outcomes:
        health.record_outcome(outcome, 10.0)
    health.record_probe(probe)
    assert health.usable(10.5) is usable


def test_ejection_doubles_after_each_failure_and_resets_after_an_answer() -> None:
    health = TargetHealth()
    health.record_outcome(LOST, 0.0)
    health.record_outcome(LOST, 0.0)
    health.record_outcome(LOST, 0.5)
    assert health.usable(BASE_EJECTION_S)
    health.record_outcome(LOST, BASE_EJECTION_S)
    assert not health.usable(BASE_EJECTION_S * 2.9)
    assert health.usable(BASE_EJECTION_S * 3)
    health.record_outcome(ANSWERED, BASE_EJECTION_S * 3)
    health.record_outcome(LOST, BASE_EJECTION_S * 3)
    assert health.usable(BASE_EJECTION_S * 3)


@pytest.mark.parametrize(
    ("outcome", "slots_by_age"),
    [
        (LOST, {0.0: 1, 3.0: 1, 5.0: 2, 10.0: 3}),
        (SILENT, {0.0: 3, 10.0: 3}),
    ],
)
def test_slow_start_follows_an_ejection_after_a_crash_only(
    outcome: AttemptOutcome, slots_by_age: dict[float, int]
) -> None:
    health = TargetHealth()
    for _ in range(2):
        health.record_outcome(outcome, 0.0)
    ejection_end = BASE_EJECTION_S
    assert {
        age: health.usable_slots(3, 10.0, ejection_end + age) for age in slots_by_age
    } == slots_by_age


@pytest.mark.parametrize(
    ("health", "load", "expected"),
    [
        (None, None, ProbeReply(False, answered=False)),
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
def test_parse_probe(health: Answer | None, load: Answer | None, expected: ProbeReply) -> None:
    assert parse_probe(health, load) == expected
