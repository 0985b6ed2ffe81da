"""Measures the choice of targets of seven hosts against uncoordinated least-in-flight."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import msgspec

from bench.limits import largest_excess
from bench.steering_fleet import SteeringFleet
from bench.steering_fleet import ends
from bench.steering_fleet import example
from flamingoladder.config.agreed import Shift
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.steering.shift_cap import BURST_S
from flamingoladder.upstreams.probe_messages import ProbeReply

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bench.steering_fleet import Sent

SITES = ("tjaldvik", "kalahari")
START_S = 10.0
PROBE_S = 1.0
SERVICE_S = 0.1
EVEN = (1, 1, 1, 1, 1, 1, 1)
SKEWED = (3, 1, 1, 1, 1, 1, 1)
FLOOD = 5
CAP_PER_S = 20.0
SHIFT_LOAD_PER_S = 60.0
MS_PER_S = 1_000
HEADER = (
    f"{'site':9} {'load':22} {'chooser':8} {'sent':>6} {'over':>4} {'shed%':>6} {'late%':>6} "
    f"{'refused%':>8} {'failed%':>7} {'p50 ms':>7} {'p99 ms':>7} {'messages/s':>10}"
)


class Load(msgspec.Struct, frozen=True):
    """A load: ``part`` of all slots' capacity, spread over hosts by ``weights``.

    ``reports`` says what targets report of their load: the truth, 0 or full. ``event`` happens
    after a third of the time.
    """

    name: str
    part: float
    weights: tuple[float, ...] = EVEN
    reports: str = "true"
    event: str = ""
    flooding: bool = False


LOADS = (
    Load("even 50%", 0.5),
    Load("even 80%", 0.8),
    Load("skewed 60%", 0.6, SKEWED),
    Load("70%, reports all idle", 0.7, reports="idle"),
    Load("70%, reports all full", 0.7, reports="full"),
    Load("60%, a target dies", 0.6, event="target"),
    Load("60%, a host dies", 0.6, event="host"),
    Load("60%, a domain dies", 0.6, event="domain"),
    Load("40%, a region dies", 0.4, event="region"),
)


def measure(quick: bool) -> None:
    """Print the tables."""
    print(HEADER)
    seconds = 1.5 if quick else 6.0
    services = 0
    for site in SITES:
        for load in LOADS[1:3] if quick else LOADS:
            for coordinated in (False, True):
                fleet = run_on_injected_time(_run(site, load, coordinated, seconds, services))
                _print_row(site, load, coordinated, fleet, seconds)
    _measure_shift(3.0 if quick else 10.0)
    _measure_fairness(3.0 if quick else 20.0, quick)


def _measure_shift(seconds: float) -> None:
    """Print how much a shift of all traffic of the first region moves under its cap."""
    print(f"shift of all of the first region's traffic, cap {CAP_PER_S:.0f}/s")
    for site in SITES:
        for lost in (False, True):
            moved = run_on_injected_time(_shift(site, seconds, lost=lost))
            excess = largest_excess(moved, CAP_PER_S, CAP_PER_S * BURST_S)
            print(
                f"{site:9} {'a host dies' if lost else 'quiet':11} "
                f"moved {len(moved) / seconds:5.1f}/s, over the cap and its burst {excess:5.2f}"
            )


async def _shift(site: str, seconds: float, *, lost: bool) -> list[float]:
    """Return when moved requests started at the receiving region."""
    fleet = SteeringFleet(example(site), 1, service_s=SERVICE_S)
    regions = list(fleet.deployment.places.regions)
    service = next(iter(fleet.deployment.services))
    hosts = [m.host for m in fleet.agreed.members if m.region == regions[0]]
    random = Random(3)
    await asyncio.sleep(START_S)
    shift = Shift("s1", service, regions[0], regions[1], 1.0, CAP_PER_S, "measured")
    fleet.commit(divides=False, shifts=(shift,))
    at = START_S + fleet.deployment.defaults.proof_s
    end = at + seconds
    sending = []
    while at < end:
        at += random.expovariate(SHIFT_LOAD_PER_S)
        task = fleet.send(random.choice(hosts), service, "", at)
        sending.append(asyncio.create_task(task))
    if lost:
        asyncio.get_running_loop().call_later(seconds / 2, lambda: fleet.lose({hosts[0]}))
    await asyncio.gather(*sending)
    fleet.close()
    return [s.started_at for s in fleet.sent if s.region == regions[1] and s.host in hosts]


def _measure_fairness(seconds: float, quick: bool) -> None:
    quiet = Load("declared rates", 0.7)
    flooded = Load("largest at 5 times", 0.7, flooding=True)
    names = ("kalahari",)
    print("smallest workspace: p50 and p99 (ms), part answered; ratio of p99 to the quiet run")
    for name in names:
        for coordinated in (True,) if quick else (False, True):
            calm = _smallest(run_on_injected_time(_run(name, quiet, coordinated, seconds, 0)))
            loud = _smallest(run_on_injected_time(_run(name, flooded, coordinated, seconds, 0)))
            label = "slots" if coordinated else "baseline"
            ratio = _percentile(loud, 0.99) / _percentile(calm, 0.99)
            print(
                f"{name:9} {label:8} quiet {_summary(calm)}   flooded {_summary(loud)}   "
                f"ratio {ratio:.2f}"
            )


async def _run(
    site: str, load: Load, coordinated: bool, seconds: float, services: int | None = None
) -> SteeringFleet:
    deployment = example(site)
    fleet = SteeringFleet(deployment, 1, coordinated=coordinated, service_s=SERVICE_S)
    random = Random(2)
    names = list(deployment.services)
    sending = []
    for name in names if services is None else names[: services + 1]:
        slots = sum(deployment.slots_of(t) for t in deployment.services[name].targets.values())
        per_s = load.part * slots / SERVICE_S
        sending += _arrivals(fleet, load, name, per_s, seconds, random)
    reporting = asyncio.create_task(_report(fleet, load.reports))
    await asyncio.sleep(START_S)
    before = fleet.network.messages
    await asyncio.sleep(seconds / 3)
    _happen(fleet, load.event)
    await asyncio.gather(*sending)
    reporting.cancel()
    fleet.network.messages -= before
    fleet.close()
    return fleet


def _arrivals(
    fleet: SteeringFleet,
    load: Load,
    service: str,
    per_s: float,
    seconds: float,
    random: Random,
) -> list[asyncio.Task[Sent]]:
    deployment = fleet.deployment
    rates = {name: deployment.rate_of(name) for name in deployment.workspaces}
    total = sum(rates.values())
    largest = max(rates, key=lambda name: rates[name])
    hosts = [member.host for member in fleet.agreed.members]
    sending = []
    for workspace, rate in rates.items():
        factor = FLOOD if load.flooding and workspace == largest else 1
        at = START_S
        while at < START_S + seconds:
            at += random.expovariate(per_s * rate / total * factor)
            host = random.choices(hosts, load.weights)[0]
            sending.append(asyncio.create_task(fleet.send(host, service, workspace, at)))
    return sending


async def _report(fleet: SteeringFleet, reports: str) -> None:
    """Bring each target's report to all hosts, two seconds old or false."""
    earlier: dict[str, float] = {}
    while True:
        for host in fleet.hosts.values():
            for name, target in fleet.targets.items():
                told = {"idle": 0.0, "full": 1.0}.get(reports, earlier.get(name, 0.0))
                host.board.of(name).record_probe(ProbeReply(not target.down, load=told))
        earlier = {n: target.in_progress / target.slots for n, target in fleet.targets.items()}
        await asyncio.sleep(PROBE_S)


def _happen(fleet: SteeringFleet, event: str) -> None:
    """Lose a target, a host, or all targets and hosts of a domain or region."""
    lost = {"domain": ("failure_domain", "a"), "region": ("region", "")}.get(event)
    if event == "target":
        next(iter(fleet.targets.values())).down = True
    if event == "host":
        fleet.lose({"h0"})
    if lost is None:
        return
    first = fleet.agreed.members[0]
    name = str(getattr(first, lost[0]))
    fleet.lose({m.host for m in fleet.agreed.members if getattr(m, lost[0]) == name})
    for target in fleet.declared:
        if getattr(target, lost[0]) == name:
            fleet.targets[target.name].down = True


def _print_row(
    site: str, load: Load, coordinated: bool, fleet: SteeringFleet, seconds: float
) -> None:
    counts = ends(fleet.sent)
    sent = len(fleet.sent)
    late = counts["cancelled"]
    refused = counts["no_capacity"] + counts["no_proof"]
    failed = sent - late - refused - counts["answered"]
    shed = sum(target.shed for target in fleet.targets.values())
    took = _took(fleet.sent)
    messages = fleet.network.messages / seconds / len(fleet.agreed.members)
    print(
        f"{site:9} {load.name:22} {'slots' if coordinated else 'baseline':8} {sent:6} "
        f"{fleet.excess:4} {100 * shed / sent:6.2f} {100 * late / sent:6.2f} "
        f"{100 * refused / sent:8.2f} {100 * failed / sent:7.2f} {_percentile(took, 0.5):7.1f} "
        f"{_percentile(took, 0.99):7.1f} {messages:10.1f}",
        flush=True,
    )


def _smallest(fleet: SteeringFleet) -> list[float]:
    deployment = fleet.deployment
    name = min(deployment.workspaces, key=deployment.rate_of)
    sent = [one for one in fleet.sent if one.workspace == name]
    return [one.took_s * MS_PER_S if one.answered else float("inf") for one in sent]


def _took(sent: Iterable[Sent]) -> list[float]:
    return [one.took_s * MS_PER_S for one in sent if one.answered]


def _summary(took: list[float]) -> str:
    answered = sum(value < float("inf") for value in took)
    return f"{_percentile(took, 0.5):.0f} {_percentile(took, 0.99):.0f} {answered}/{len(took)}"


def _percentile(values: list[float], part: float) -> float:
    if not values:
        return float("nan")
    return sorted(values)[min(int(part * len(values)), len(values) - 1)]
