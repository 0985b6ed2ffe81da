"""Tests of the decisions of admission by themselves."""

from __future__ import annotations

from math import inf

import pytest

from flamingoladder.admission import host_queue
from flamingoladder.admission.arrival import Arrival
from flamingoladder.admission.demand import Demand
from flamingoladder.admission.demand import DemandEstimate
from flamingoladder.admission.host_queue import HostQueue
from flamingoladder.admission.host_queue import LeaveReason
from flamingoladder.admission.pace import Pace
from flamingoladder.admission.queued_request import QueuedRequest
from flamingoladder.admission.rank_shares import RankShares
from flamingoladder.admission.rank_shares import water_level
from flamingoladder.admission.refusals import MAX_REFUSALS
from flamingoladder.admission.refusals import RefusalRecord
from flamingoladder.admission.refusals import Repeat
from flamingoladder.admission.refusals import RepeatBudget
from flamingoladder.admission.refusals import spread_retry_after_s
from flamingoladder.admission.standing import Standing
from flamingoladder.admission.urgent_routes import UrgentRoutes
from flamingoladder.entry.request import RoutedRequest
from tests.admission.replay import routing
from tests.entry.harness import incoming

ROUTING = routing({"urgent": 0, "get": 2}, {"urgent": 0.5, "get": 1.0}, ["turf"])
ROUTES = ROUTING.routes_by_host["a.example"]


def queued(
    name: str,
    *,
    rank: int = 2,
    standing: Standing = Standing.UNDER_SHARE,
    prompt_by: float = 1.0,
    leave_by: float = 2.0,
    target_id: str = "",
) -> QueuedRequest:
    request = RoutedRequest(
        incoming=incoming(request_id=name),
        route=ROUTES[1],
        service="s",
        workspace=None,
        regions=None,
        started=0.0,
        deadline=4.0,
        admission_deadline=3.0,
        target_deadline=4.0,
        fingerprints=(1,),
    )
    arrival = Arrival(request, rank, Repeat.FIRST_ATTEMPT, standing)
    return QueuedRequest(arrival, standing, inf, prompt_by, leave_by, target_id)


def names(requests: list[QueuedRequest]) -> str:
    return "".join(of.arrival.request.incoming.request_id for of in requests)


@pytest.mark.parametrize(
    ("requests", "now", "expected"),
    [
        ([queued("a"), queued("b", rank=0)], 0.0, "ba"),
        ([queued("a", standing=Standing.OVER_SHARE), queued("b")], 0.0, "ba"),
        ([queued("a"), queued("b", standing=Standing.PREFERRED_REPEAT)], 0.0, "ba"),
        ([queued("a", standing=Standing.SURPLUS_REPEAT), queued("b", rank=3)], 0.0, "ab"),
        ([queued("a", prompt_by=0.9), queued("b", prompt_by=0.5)], 0.0, "ba"),
        ([queued("a", prompt_by=0.9), queued("b", prompt_by=0.5)], 0.7, "ab"),
        ([queued("a"), queued("b")], 0.0, "ab"),
    ],
)
def test_requests_are_sent_in_order(
    requests: list[QueuedRequest], now: float, expected: str
) -> None:
    queue = HostQueue()
    for request in requests:
        queue.add(request)
    assert names([of for of, _ in queue.take_sendable(lambda _: "t", now)]) == expected
    assert len(queue) == 0


def test_requests_for_the_target_that_has_room_are_tried_first_and_few_are_tried() -> None:
    """Guards against a search through the whole queue at each end of a request."""
    queue = HostQueue()
    for number in range(20):
        queue.add(queued(f"{number} ", target_id="t9" if number == 15 else "t1"))
    tried: list[QueuedRequest] = []
    list(queue.take_sendable(lambda of: tried.append(of), 0.0, ended_at="t9"))
    assert names(tried) == "15 0 1 2 "
    assert len(list(queue.take_sendable(lambda _: "t", 0.0, limit=3))) == 3


def test_requests_leave_when_late_when_their_caller_left_and_when_the_queue_is_full(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a queue without bound, and against work for nobody."""
    monkeypatch.setattr(host_queue, "MAX_QUEUED", 3)
    queue = HostQueue()
    gone, late, last, urgent = queued("g"), queued("l", leave_by=1.0), queued("x"), queued("u")
    urgent.arrival = Arrival(urgent.arrival.request, 0, Repeat.FIRST_ATTEMPT, Standing.UNDER_SHARE)
    assert [queue.add(of) for of in (gone, late, last, urgent)] == [None, None, None, last]
    gone.arrival.request.caller_disconnected = True
    leaving = [(gone, LeaveReason.CALLER_GONE), (late, LeaveReason.LATE)]
    assert queue.take_leaving(1.0) == leaving
    assert queue.queued == (urgent,)
    assert queue.next_leave_by() == 2.0


def test_request_that_would_wait_too_long_is_refused_at_once() -> None:
    """Guards against a wait whose end is known to be a refusal."""
    queue = HostQueue()
    for number in range(host_queue.MAX_UNPROVEN):
        assert not queue.would_be_late(queued("a"), 0.0)
        queue.add(queued(str(number)))
    assert queue.would_be_late(queued("a"), 0.0)
    for step in range(20):
        list(queue.take_sendable(lambda _: "t", step / 20, limit=1))
    assert not queue.would_be_late(queued("a", leave_by=2.0), 1.0)
    assert queue.would_be_late(queued("a", leave_by=1.1), 1.0)


@pytest.mark.parametrize(
    ("demands", "capacity", "level"),
    [
        ([1.0, 2.0], 3.0, inf),
        ([1.0, 5.0], 4.0, 3.0),
        ([5.0, 5.0], 4.0, 2.0),
        ([1.0, 2.0, 9.0], 6.0, 3.0),
        ([], 1.0, inf),
    ],
)
def test_shares_are_max_min_fair(demands: list[float], capacity: float, level: float) -> None:
    assert water_level(demands, capacity) == level


@pytest.mark.parametrize(
    ("demand", "served", "expected"),
    [
        ({"big": 80.0, "small": 10.0}, 0.5, {"big": 0.4, "small": 1.0}),
        ({"big": 80.0, "small": 10.0}, 1.0, {"big": 1.0, "small": 1.0}),
        ({"big": 12.0, "small": 10.0}, 0.5, {"big": 1.0, "small": 1.0}),
    ],
)
def test_the_share_of_requests_is_marked_only_while_demand_is_scarce_and_uneven(
    demand: dict[str, float], served: float, expected: dict[str, float]
) -> None:
    """Guards against shares that the noise of even demand brings into force."""
    shares = RankShares(0.0)
    for number in range(100):
        shares.take("other", 1.0)
        if number < 100 * served:
            shares.record_end(1.0)
    shares.update({name: Demand(per_s, 1.5 * per_s) for name, per_s in demand.items()}, 1.0)
    for name, fraction in expected.items():
        standings = [shares.take(name, 1.0) for _ in range(200)]
        marked = 1 - standings.count(Standing.OVER_SHARE) / 200
        assert marked == pytest.approx(fraction, abs=0.06)


def test_demand_is_that_of_all_hosts() -> None:
    """Guards against shares by what one host of many happens to see."""
    demand = DemandEstimate()
    for _ in range(10):
        demand.record("s", 2, "here", 0.0)
    demand.set_reported({"elsewhere": 40.0}, host_count=4)
    found = demand.of_rank("s", 2, 0.0)
    assert found["elsewhere"].per_s == pytest.approx(40.0)
    assert found["here"].per_s == pytest.approx(10 / 2.0 * 4)


def test_repeat_is_known_once_when_it_is_due_and_the_record_is_bounded() -> None:
    """Guards against callers that gain by repeating early or often."""
    record = RefusalRecord()
    record.add(7, Repeat.FIRST_ATTEMPT, 1.0, 0.0)
    found = [record.take(7, now) for now in (0.5, 1.0, 1.1)]
    assert found == [Repeat.OTHER, Repeat.DUE, Repeat.FIRST_ATTEMPT]
    record.add(7, Repeat.DUE, 1.0, 1.2)
    assert record.take(7, 2.3) is Repeat.OTHER
    for number in range(2 * MAX_REFUSALS):
        record.add(number, Repeat.FIRST_ATTEMPT, 1.0, 3.0)
    assert len(record) == MAX_REFUSALS
    record.add(1, Repeat.FIRST_ATTEMPT, 1.0, 60.0)
    assert len(record) == 1


def test_preferred_repeats_are_few_and_retry_times_are_spread() -> None:
    budget = RepeatBudget()
    taken = 0
    for _ in range(1_000):
        budget.deposit()
        taken += budget.take()
    assert taken <= 50
    times = [spread_retry_after_s(1.0, f"r-{number}", 1) for number in range(100)]
    assert times == [spread_retry_after_s(1.0, f"r-{number}", 1) for number in range(100)]
    assert min(times) >= 1.0
    assert max(times) <= 2.0
    assert len({round(of, 1) for of in times}) >= 9


@pytest.mark.parametrize(
    ("rank", "typical_s", "expected"),
    [(2, 0.2, 0.3), (2, None, 0.5), (2, 0.9, 0.0), (0, 0.2, None), (1, 0.2, 0.3)],
)
def test_most_urgent_route_bears_what_its_run_leaves_of_its_slo(
    rank: int, typical_s: float | None, expected: float | None
) -> None:
    routes = UrgentRoutes()
    routes.update(ROUTING)
    found = routes.bearable_wait_s("s", rank, lambda *_: typical_s)
    assert found == (None if expected is None else pytest.approx(expected))
    assert routes.bearable_wait_s("other", rank, lambda *_: typical_s) is None


def test_pace_follows_the_ends_of_requests() -> None:
    """Guards against hosts that all send into the slot that one report shows."""
    pace = Pace(0.0)
    assert pace.limit(0.0) == 1
    pace.take(1)
    assert pace.limit(0.2) == 0
    for _ in range(200):
        pace.record_end(0.2)
    assert pace.limit(0.4) == 2
