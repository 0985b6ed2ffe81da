"""Time that a host takes to choose a target, and to assign homes to objects."""

from __future__ import annotations

from math import inf
from statistics import median
from time import perf_counter
from typing import TYPE_CHECKING

from flamingoladder.entry.active_configuration import ActiveConfiguration
from flamingoladder.entry.load_balancer import LoadBalancer
from flamingoladder.entry.request import IncomingRequest
from flamingoladder.entry.request import RoutedRequest
from flamingoladder.fleet.members import MemberRegistry
from flamingoladder.limits.rate_limiter import FleetRateLimiter
from flamingoladder.limits.tolerance import RateTolerance
from flamingoladder.routing.model import Route
from flamingoladder.routing.model import ServiceShare
from flamingoladder.targets.record import TargetRecord
from flamingoladder.targets.registry import TargetRegistry
from flamingoladder.targets.slow_start import SlowStartLimit
from flamingoladder.timeline.recorder import Recorder

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE = "s"
REGIONS = ("north", "south", "east")
TARGET_COUNTS = (7, 150, 1_024)
OBJECT_COUNTS = (400, 2_000, 20_000, 1_000_000)
QUICK_OBJECT_COUNTS = (400, 2_000, 20_000)
CHOICES = 2_000
BUSY_CHOICES = 100
SLOTS = 3
NOW = 1_000.0
US_PER_S = 1_000_000
MS_PER_S = 1_000

ROUTE = Route(
    name="r",
    host="a.example",
    prefix="/",
    idempotent=True,
    timeout_s=2.0,
    latency_slo_s=1.0,
    priority=0,
    shares=(ServiceShare(SERVICE, 1.0),),
    max_targets=2,
    open=True,
    sticky=True,
)


def measure(quick: bool) -> None:
    """Print the median times of choices, and the times of an assignment after a lost target."""
    print("median us of a choice; ms of an assignment after a lost target, and of its longest step")
    print(
        f"{'targets':>7} {'asked':>9} {'known':>7} {'new':>7} {'no object':>9} {'all busy':>8}"
        f" {'whole ms':>9} {'step ms':>8}"
    )
    for targets in TARGET_COUNTS:
        for objects in QUICK_OBJECT_COUNTS if quick else OBJECT_COUNTS:
            print(_row(targets, objects), flush=True)


def _row(targets: int, objects: int) -> str:
    registry, balancer = balancer_of(targets)
    homes = balancer.homes_of(SERVICE)
    for number in range(objects):
        homes.add_objects((f"r\0{number}",), REGIONS[number % len(REGIONS)])
    _choose(balancer, "0")
    while balancer.correct_homes():
        continue
    newest = [str(objects - 1 - number % min(objects, 400)) for number in range(CHOICES)]
    for key in newest:
        _choose(balancer, key)
    known = _median_us(lambda number: _choose(balancer, newest[number]), CHOICES)
    whole_s, step_s = _reassign(registry, balancer)
    without = _median_us(lambda _: _choose(balancer, ""), CHOICES)
    new = _median_us(lambda number: _choose(balancer, f"new{number}"), BUSY_CHOICES)
    for target in registry.by_id.values():
        target.remote_in_flight = SLOTS + 1
    busy = _median_us(lambda number: _choose(balancer, newest[number]), BUSY_CHOICES)
    return (
        f"{targets:7} {objects:9} {known:7.1f} {new:7.1f} {without:9.1f} {busy:8.1f}"
        f" {whole_s * MS_PER_S:9.2f} {step_s * MS_PER_S:8.2f}"
    )


def _reassign(registry: TargetRegistry, balancer: LoadBalancer) -> tuple[float, float]:
    """Return the seconds of an assignment after a target was lost, and of its longest step."""
    registry.remove("t0", "lost")
    steps, goes_on, started = [], True, perf_counter()
    _choose(balancer, "0")
    at_once = perf_counter() - started
    while goes_on:
        started = perf_counter()
        goes_on = balancer.correct_homes()
        steps.append(perf_counter() - started)
    return at_once + sum(steps), max(at_once, *steps)


def balancer_of(targets: int) -> tuple[TargetRegistry, LoadBalancer]:
    """Return the load balancer of a host that has ``targets`` targets in three regions."""
    recorder = Recorder("h0", "i", kept_events=0)
    registry = TargetRegistry({region: region for region in REGIONS}, recorder)
    limiter = FleetRateLimiter(RateTolerance(), start_full=True)
    configuration = ActiveConfiguration(registry, limiter, recorder)
    members = MemberRegistry("h0", recorder)
    for number in range(targets):
        record = TargetRecord(
            target_id=f"t{number}",
            service=SERVICE,
            address="10.0.0.1:80",
            failure_domain=REGIONS[number % len(REGIONS)],
            slots=SLOTS,
            draining=False,
            slow_start_s=0.0,
        )
        registry.put(record, NOW)
    limit = SlowStartLimit("h0", 1.5, 5.0)
    return registry, LoadBalancer(registry, configuration, members, limit, REGIONS[0])


def _choose(balancer: LoadBalancer, key: str) -> None:
    balancer.choose(routed_request(key, NOW), (), NOW)


def routed_request(key: str, now: float, body: bytes = b"") -> RoutedRequest:
    """Return a request for an object, or for none."""
    incoming = IncomingRequest(
        request_id="q",
        method="GET",
        host="a.example",
        path="/",
        headers=(),
        body=body,
        keys=(),
        affinity_key=key or None,
        caller_timeout_s=None,
    )
    return RoutedRequest(
        incoming=incoming,
        route=ROUTE,
        service=SERVICE,
        workspace=None,
        regions=None,
        started=now,
        admission_deadline=inf,
        deadline=inf,
        target_deadline=inf,
        fingerprints=(1,),
    )


def _median_us(call: Callable[[int], None], calls: int) -> float:
    seconds = []
    for number in range(calls):
        started = perf_counter()
        call(number)
        seconds.append(perf_counter() - started)
    return median(seconds) * US_PER_S
