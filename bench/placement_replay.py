"""A replay of hosts that choose targets for objects, on simulated time and without a network."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from heapq import heappop
from heapq import heappush
from itertools import count
from random import Random

from bench.placement import REGIONS
from bench.placement import SERVICE
from bench.placement import routed_request
from flamingoladder.entry.active_configuration import ActiveConfiguration
from flamingoladder.entry.load_balancer import LoadBalancer
from flamingoladder.entry.target_choice import Choice
from flamingoladder.fleet.members import MemberRegistry
from flamingoladder.limits.rate_limiter import FleetRateLimiter
from flamingoladder.limits.tolerance import RateTolerance
from flamingoladder.targets.notices import LoadReport
from flamingoladder.targets.record import TargetRecord
from flamingoladder.targets.registry import TargetRegistry
from flamingoladder.targets.slow_start import SlowStartLimit
from flamingoladder.timeline.recorder import Recorder

SLOTS = 3
WARM_OBJECTS = 24
REPORT_S = 0.25
COLD_S = 0.4
WARM_S = 0.12


REPLAY_HOSTS = 6
REPLAY_TARGETS = 24
OBJECTS = 60
POPULAR_FOR_S = 5.0
ONCE = count()

Draw = Callable[[Random, float], str]


def one_with_a_third(random: Random, now: float) -> str:
    return "hot" if random.random() < 1 / 3 else f"o{random.randrange(OBJECTS)}"


def moving_popularity(random: Random, now: float) -> str:
    is_hot = random.random() < 1 / 3
    return f"hot{int(now / POPULAR_FOR_S)}" if is_hot else f"o{random.randrange(OBJECTS)}"


def many_requested_once(random: Random, now: float) -> str:
    return f"once{next(ONCE)}" if random.random() < 0.3 else f"o{random.randrange(OBJECTS)}"


class Target:
    """Runs requests in ``SLOTS`` slots; those for one of its latest objects are warm."""

    def __init__(self) -> None:
        self.latest: OrderedDict[str, None] = OrderedDict()
        self.waiting: list[tuple[str, Callable[[], None]]] = []
        self.running = 0
        self.busy_s = 0.0
        self.most_waiting = 0


class Replay:
    """Hosts in three regions that report to each other every quarter of a second."""

    def __init__(self, hosts: int, targets: int, seed: int, warm_s: float = WARM_S) -> None:
        self.random = Random(seed)
        self.now, self.warm_s = 0.0, warm_s
        self.targets = {f"t{number}": Target() for number in range(targets)}
        self.balancers = [self._host(number) for number in range(hosts)]
        self.sent = self.refused = self.warm = self.could_be_warm = self.excess = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self.work: dict[int, dict[str, dict[str, int]]] = {n: {} for n in range(hosts)}
        self._at(REPORT_S, self._exchange)

    def run(self, seconds: float, rate: float, draw: Draw) -> None:
        """Send ``rate`` requests a second for the objects that ``draw`` returns."""
        end = at = self.now
        end += seconds
        while (at := at + self.random.expovariate(rate)) < end:
            self._at(at, lambda: self._arrive(draw(self.random, self.now)))
        while self._events and self._events[0][0] < end:
            self.now, _, happen = heappop(self._events)
            happen()
        self.now = end

    def lose(self, name: str) -> None:
        for registry, _ in self.balancers:
            registry.remove(name, "lost")
        del self.targets[name]

    def reset_counts(self) -> None:
        self.sent = self.refused = self.warm = self.could_be_warm = self.excess = 0
        for target in self.targets.values():
            target.busy_s = target.most_waiting = 0

    @property
    def largest_load(self) -> float:
        """Return the work of the busiest target over that of an average one."""
        busy = [target.busy_s for target in self.targets.values()]
        return max(busy) / (sum(busy) / len(busy))

    def _host(self, number: int) -> tuple[TargetRegistry, LoadBalancer]:
        name, recorder = f"h{number}", Recorder(f"h{number}", "i", kept_events=0)
        registry = TargetRegistry({region: region for region in REGIONS}, recorder)
        limiter = FleetRateLimiter(RateTolerance(), start_full=True)
        configuration = ActiveConfiguration(registry, limiter, recorder)
        for place, target_id in enumerate(self.targets):
            record = TargetRecord(
                target_id=target_id,
                service=SERVICE,
                address="10.0.0.1:80",
                failure_domain=REGIONS[place % len(REGIONS)],
                slots=SLOTS,
                draining=False,
                slow_start_s=0.0,
            )
            registry.put(record, 0.0)
        balancer = LoadBalancer(
            registry,
            configuration,
            MemberRegistry(name, recorder),
            SlowStartLimit(name, 1.5, 5.0),
            REGIONS[number % len(REGIONS)],
        )
        balancer._random.seed(number)
        return registry, balancer

    def _at(self, at: float, happen: Callable[[], None]) -> None:
        heappush(self._events, (at, next(self._order), happen))

    def _exchange(self) -> None:
        hosts = len(self.balancers)
        for own, (_, balancer) in enumerate(self.balancers):
            self.work[own] = balancer.demand.report(hosts, self.now) or self.work[own]
        counts = [{n: t.in_flight for n, t in r.by_id.items()} for r, _ in self.balancers]
        for own, (registry, balancer) in enumerate(self.balancers):
            balancer.demand.apply([w for other, w in self.work.items() if other != own], self.now)
            for name, target in registry.by_id.items():
                others = (c.get(name, 0) for other, c in enumerate(counts) if other != own)
                target.remote_in_flight = sum(others)
            for _, other in self.balancers:
                if other is not balancer and (known := other.known_by_service().get(SERVICE)):
                    newest = known.newest_of_region(other.region, 40)
                    balancer.homes_of(SERVICE).add_objects(newest, other.region)
            while balancer.correct_homes():
                continue
        self._at(self.now + REPORT_S, self._exchange)

    def _arrive(self, key: str) -> None:
        _, balancer = self.random.choice(self.balancers)
        request = routed_request(key, self.now)
        choice = balancer.choose(request, (), self.now)
        self.sent += 1
        if not isinstance(choice, Choice):
            self.refused += 1
            return
        name = choice.target.record.target_id
        self.could_be_warm += any(key in target.latest for target in self.targets.values())
        self._note_excess(self.targets[name])
        balancer.count_send(choice.target, self.now)
        sent_at = self.now

        def end() -> None:
            balancer.record_run(request, choice, self.now - sent_at)
            balancer.count_end(choice.target)
            target = self.targets.get(name)
            if target is not None:
                report = LoadReport(target.running, len(target.waiting), SLOTS)
                choice.target.update_load(report, self.now)

        self._enqueue(self.targets[name], key, end)

    def _note_excess(self, target: Target) -> None:
        """Count a request that waits at a target while others are far less loaded."""
        loads = [other.running + len(other.waiting) for other in self.targets.values()]
        own = target.running + len(target.waiting) + 1
        is_excess = own > SLOTS and own > 1.5 * sum(loads) / len(loads) and min(loads) < SLOTS
        self.excess += is_excess

    def _enqueue(self, target: Target, key: str, end: Callable[[], None]) -> None:
        if target.running >= SLOTS:
            target.waiting.append((key, end))
            target.most_waiting = max(target.most_waiting, len(target.waiting))
            return
        target.running += 1
        is_warm = key in target.latest
        self.warm += is_warm
        seconds = self.warm_s if is_warm else COLD_S
        target.busy_s += seconds
        self._at(self.now + seconds, lambda: self._finish(target, key, end))

    def _finish(self, target: Target, key: str, end: Callable[[], None]) -> None:
        target.running -= 1
        target.latest[key] = None
        target.latest.move_to_end(key)
        if len(target.latest) > WARM_OBJECTS:
            target.latest.popitem(last=False)
        if target.waiting:
            self._enqueue(target, *target.waiting.pop(0))
        end()


def measure(quick: bool) -> None:
    """Print how many runs were warm, and the load of the busiest target, for each replay."""
    print(f"{'replay':20} {'warm':>6} {'largest':>8} {'refused':>8} {'most waiting':>12}")
    half = REPLAY_TARGETS * SLOTS / WARM_S / 2
    loads: tuple[tuple[Draw, float], ...] = (
        (one_with_a_third, half),
        (moving_popularity, half),
        (many_requested_once, half / 2),
    )
    for draw, rate in loads:
        replay = Replay(REPLAY_HOSTS, REPLAY_TARGETS, 1)
        replay.run(5.0 if quick else 10.0, rate, draw)
        replay.reset_counts()
        replay.run(5.0 if quick else 15.0, rate, draw)
        waiting = max(target.most_waiting for target in replay.targets.values())
        print(
            f"{draw.__name__:20} {replay.warm / replay.could_be_warm:6.3f}"
            f" {replay.largest_load:8.2f} {replay.refused:8} {waiting:12}",
            flush=True,
        )
