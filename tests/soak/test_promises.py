"""Tests of the checks: each finds what it is there for, and excuses what is allowed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from flamingoladder.platform.standins.targets import TargetArrival
from flamingoladder.platform.standins.targets import TargetRun
from flamingoladder.soak.history import End
from flamingoladder.soak.history import History
from flamingoladder.soak.history import RateLimitSpan
from flamingoladder.soak.history import Sent
from flamingoladder.soak.history import Span
from flamingoladder.soak.promises import Checks
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

SENT = Sent(
    request_id="r-1",
    host="h",
    workspace="turf",
    key="k",
    is_booking=True,
    sent_at=10.0,
    ended_at=10.1,
    end=End.ANSWERED,
    status=200,
    is_own=True,
)
RUN = TargetRun("r-1", "t", "POST", "/bookings/1", "turf", None, 900, 10.05)


def sent_with(**changes: object) -> Sent:
    return msgspec.structs.replace(SENT, **changes)


def run_with(**changes: object) -> TargetRun:
    return msgspec.structs.replace(RUN, **changes)


def broken(
    sent: Sent = SENT,
    runs: Iterable[TargetRun] = (RUN,),
    history: History | None = None,
    rates_per_s: dict[str, float] | None = None,
) -> list[str]:
    found = history or History(0.0)
    found.sent.append(sent)
    return [of.promise for of in Checks(found, list(runs), rates_per_s or {}).broken()]


def test_a_request_that_ran_once_and_was_answered_breaks_nothing() -> None:
    assert broken() == []


@pytest.mark.parametrize(
    ("changes", "runs", "promise"),
    [
        ({}, 2, "a booking runs at most once"),
        ({"is_booking": False}, 2, None),
        ({"status": 503, "is_own": False}, 1, "a refusal saying not run is true"),
        ({"status": 503, "is_own": False}, 0, None),
        ({"status": 502, "verdict": Verdict.MAY_HAVE_RUN, "is_own": False}, 1, None),
        (
            {"is_booking": False, "status": 503, "verdict": Verdict.NOT_RUN, "is_own": False},
            1,
            "a refusal saying not run is true",
        ),
        ({"is_own": False}, 1, "a caller gets the whole answer to its own request"),
        ({"end": End.CUT, "status": 0}, 1, "no request is cut, also by a planned stop"),
        ({"end": End.CUT, "status": 0}, 0, None),
        (
            {"end": End.CUT, "status": 0, "ended_at": 10.5},
            0,
            "no request is cut, also by a planned stop",
        ),
        ({"end": End.NOT_CONNECTED, "status": 0}, 0, None),
        (
            {"end": End.SILENT, "status": 0, "ended_at": 13.0},
            1,
            "a request is answered in time",
        ),
        ({"ended_at": 11.6}, 1, "a request is answered in time"),
    ],
)
def test_what_a_caller_saw(changes: dict[str, object], runs: int, promise: str | None) -> None:
    expected = [] if promise is None else [promise]
    assert broken(sent_with(**changes), [RUN] * runs) == expected


@pytest.mark.parametrize("end", [End.CUT, End.SILENT])
def test_a_host_that_was_killed_meanwhile_is_excused(end: End) -> None:
    history = History(0.0)
    history.begin_fault("h", 10.05)
    assert broken(sent_with(end=end, status=0, ended_at=13.0), [RUN], history) == []


@pytest.mark.parametrize(
    ("withdrawn_at", "disturbed", "found"),
    [(7.0, None, True), (8.0, None, False), (7.0, "h", False), (7.0, "store", False)],
)
def test_runs_with_a_withdrawn_key(withdrawn_at: float, disturbed: str | None, found: bool) -> None:
    history = History(0.0)
    history.withdrawn_at_by_key["k"] = withdrawn_at
    if disturbed is not None:
        history.begin_fault(disturbed, 8.0)
        history.end_fault(disturbed, 8.5)
    assert (broken(history=history) == ["a withdrawn key runs nothing"]) is found


@pytest.mark.parametrize(("left_at", "found"), [(7.0, True), (8.0, False)])
def test_runs_at_a_target_that_left(left_at: float, found: bool) -> None:
    history = History(0.0)
    history.left_at_by_target["t"] = left_at
    assert (broken(history=history) == ["a target that left gets no new work"]) is found


@pytest.mark.parametrize(
    ("outage_until", "sent_at", "found"),
    [(0.9, 6.8, True), (1.5, 6.8, False), (1.5, 7.1, True), (4.0, 9.4, False), (4.0, 9.6, True)],
)
def test_runs_at_a_target_that_left_after_an_outage(
    outage_until: float, sent_at: float, found: bool
) -> None:
    history = History(0.0)
    history.left_at_by_target["t"] = 4.2
    history.begin_fault(History.STORE, 0.5)
    history.end_fault(History.STORE, outage_until)
    run = run_with(at=sent_at + 0.05)
    names = broken(sent_with(sent_at=sent_at, ended_at=sent_at + 0.1), [run], history)
    assert (names == ["a target that left gets no new work"]) is found


@pytest.mark.parametrize(("granted_at", "found"), [(7.0, True), (8.0, False)])
def test_refusals_of_a_granted_key(granted_at: float, found: bool) -> None:
    history = History(0.0)
    history.granted_at_by_key["k"] = granted_at
    refused = sent_with(status=401, is_own=False, verdict=Verdict.NOT_RUN)
    assert (broken(refused, [], history) == ["a granted key works"]) is found


def test_a_key_that_a_target_saw() -> None:
    assert broken(runs=[run_with(key="k")]) == ["no target sees a caller's key"]


@pytest.mark.parametrize(("count", "found"), [(86, False), (87, True)])
def test_runs_over_the_rate_of_a_workspace(count: int, found: bool) -> None:
    runs = [run_with(request_id=f"q-{n}", workspace="small", at=n / 100) for n in range(count)]
    names = broken(sent_with(status=0, end=End.NOT_CONNECTED), runs, rates_per_s={"small": 10.0})
    assert (names == ["no workspace exceeds its rate"]) is found


@pytest.mark.parametrize(("count", "found"), [(17, False), (18, True)])
def test_runs_over_the_limit_that_a_target_named(count: int, found: bool) -> None:
    history = History(0.0)
    history.limits.append(RateLimitSpan("t", 2.0, Span(0.0, 20.0)))
    for number in range(count):
        history.sent.append(sent_with(request_id=f"q-{number}"))
    runs = [run_with(request_id=f"q-{number}", at=10 + number / 100) for number in range(count)]
    names = broken(sent_with(status=0, end=End.NOT_CONNECTED), runs, history)
    assert (names == ["a target gets no more than the limit that it names"]) is found


@pytest.mark.parametrize(("served", "found"), [(9, False), (8, True)])
def test_recovery(served: int, found: bool) -> None:
    history = History(0.0)
    for number in range(10):
        status = 200 if number < served else 503
        history.sent.append(sent_with(request_id=f"r-{number}", sent_at=20.0, status=status))
    assert bool(Checks(history, [], {}).recovered(since=15.0)) is found
    assert Checks(history, [], {}).recovered(since=25.0) != []


def arrivals(*times: float, **said: object) -> list[TargetArrival]:
    """Return an arrival at 10.0 that says something, and others at ``times``."""
    first = TargetArrival("r-1", "t", 10.05, **said)  # type: ignore[arg-type]
    return [first, *(TargetArrival(f"r-{at}", "t", at) for at in times)]


def broken_by_arrivals(found: list[TargetArrival], disturbed_at: float | None) -> list[str]:
    history = History(0.0)
    if disturbed_at is not None:
        history.begin_fault("h", disturbed_at)
        history.end_fault("h", disturbed_at)
    history.sent.append(SENT)
    for arrival in found[1:]:
        sent = sent_with(request_id=arrival.request_id, is_booking=False, sent_at=arrival.at)
        history.sent.append(msgspec.structs.replace(sent, ended_at=arrival.at + 0.1))
    return [of.promise for of in Checks(history, [RUN], {}, found).broken()]


@pytest.mark.parametrize(
    ("times", "disturbed_at", "found"),
    [
        ([10.6, 11.0, 12.0], None, True),
        ([10.1, 10.2, 10.3, 10.6, 11.0], None, False),
        ([10.6, 11.0, 13.1], None, False),
        ([10.6, 11.0, 12.0], 10.3, False),
    ],
)
def test_sends_in_a_pause(times: list[float], disturbed_at: float | None, found: bool) -> None:
    promise = "a target gets nothing in the pause that it named"
    named = arrivals(*times, paused_until=13.0)
    assert (promise in broken_by_arrivals(named, disturbed_at)) is found


@pytest.mark.parametrize(
    ("times", "disturbed_at", "found"),
    [([12.7], None, True), ([12.5], None, False), ([12.7], 11.0, False)],
)
def test_sends_to_a_target_that_said_it_leaves(
    times: list[float], disturbed_at: float | None, found: bool
) -> None:
    promise = "a target that says it leaves gets no new work"
    named = arrivals(*times, says_leaving=True)
    assert (promise in broken_by_arrivals(named, disturbed_at)) is found
