"""Wrongful refusals, holds and costs of four ways to share rates, side by side."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from bench.fleet import KALAHARI
from bench.fleet import TJALDVIK
from bench.fleet import Arrival
from bench.fleet import Site
from bench.fleet import agreed
from bench.limits import IdealBucket
from bench.limits import largest_excess
from bench.share_loads import LOADED
from bench.share_loads import LOADS
from bench.share_loads import START_S
from bench.share_loads import Fault
from bench.share_loads import Load
from bench.share_loads import arrivals
from bench.share_loads import workspaces
from bench.share_ways import WAYS
from bench.share_ways import CentralCounter
from bench.share_ways import Loans
from bench.share_ways import Way
from flamingoladder.config.model import Workspace
from flamingoladder.standins.loop import run_on_injected_time

if TYPE_CHECKING:
    from collections.abc import Sequence

SEED = 4
WARM_UP_S = 3.0
SETTLE_S = 2.5
CONFIGURED_AFTER_S = 1.0
KILLED_AFTER_S = 4.0
TAKEN_OUT_AFTER_S = 3.0
KILLED = "h6"
COSTLY_PART = 0.3
HOUR_S = 3_600.0
MS_PER_S = 1_000
HEADINGS = (
    "load                way                     wrong%  worst%  refus%  ideal%   held%"
    "  p99 ms  writes/s  msgs/s  excess"
)


class Tally:
    """The figures of one run."""

    def __init__(self, way: Way, load: Load, limits: dict[str, Workspace]) -> None:
        self.way = way
        self.load = load
        self.limits = limits
        self.arrivals: list[Arrival] = []
        self.messages = 0
        self.writes = 0
        self.elapsed_s = 0.0

    def line(self) -> str:
        """Return the figures as a line of the table."""
        seen = [each for each in self.arrivals if each.at >= START_S + WARM_UP_S]
        refused = sum(each.refused for each in seen)
        ideal = sum(not each.ideal for each in seen)
        delays = sorted(each.admitted_at - each.at for each in seen if not each.refused)
        held = sum(delay > 1e-9 for delay in delays)
        p99_s = delays[int(0.99 * len(delays))] if delays else 0.0
        wrongs = [self._wrong(name, seen) for name in self.limits]
        admitted = sum(right for _, right in wrongs)
        return (
            f"{self.load.name:<18}  {self.way.name:<22}"
            f"{percent(sum(wrong for wrong, _ in wrongs), admitted):8.3f}"
            f"{max(percent(wrong, right) for wrong, right in wrongs):8.3f}"
            f"{percent(refused, len(seen)):8.2f}{percent(ideal, len(seen)):8.2f}"
            f"{percent(held, len(seen)):8.2f}{p99_s * MS_PER_S:8.1f}"
            f"{self.writes / self.elapsed_s:10.0f}{self.messages / self.elapsed_s:8.0f}"
            f"{self._excess():8.1f}"
        )

    def _wrong(self, name: str, seen: Sequence[Arrival]) -> tuple[int, int]:
        """Return how many were refused wrongly, and how many the ideal bucket admits.

        Of a workspace far over its rate the two buckets admit different requests, so that only
        the numbers can be compared.
        """
        mine = [each for each in seen if each.workspace == name]
        right = sum(each.ideal for each in mine)
        if self.load.times is not None and name == LOADED:
            return max(0, right - sum(not each.refused for each in mine)), right
        return sum(each.ideal and each.refused for each in mine), right

    def _excess(self) -> float:
        return max(self._excess_of(name, limit) for name, limit in self.limits.items())

    def _excess_of(self, name: str, limit: Workspace) -> float:
        mine = [each for each in self.arrivals if each.workspace == name and not each.refused]
        times = [each.admitted_at for each in mine]
        return largest_excess(times, limit.rate_per_s or 0.0, limit.burst or 0)


def percent(part: int, whole: int) -> float:
    """Return ``part`` of ``whole`` in percent."""
    return 100 * part / whole if whole else 0.0


async def drive(
    kind: type[Way], site: Site, load: Load, limits: dict[str, Workspace], length_s: float
) -> Tally:
    """Let a load arrive and return what became of it."""
    loop = asyncio.get_running_loop()
    way = kind(agreed(site, limits), SEED)
    tally = Tally(way, load, limits)
    end_s = START_S + WARM_UP_S + length_s
    tally.arrivals = arrivals(load, limits, Random(SEED), end_s)
    judge(tally.arrivals, limits)
    inject(way, load)
    tasks: set[asyncio.Task[None]] = set()
    for arrival in tally.arrivals:
        await asyncio.sleep(max(0.0, arrival.at - loop.time()))
        task = loop.create_task(_serve(way, load, arrival))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    tally.messages, tally.writes = way.network.messages, way.stored.writes
    tally.elapsed_s = loop.time()
    await asyncio.sleep(SETTLE_S)
    way.close()
    return tally


def judge(found: Sequence[Arrival], limits: dict[str, Workspace]) -> None:
    """Note which arrivals one central bucket admits."""
    buckets = {
        name: IdealBucket(limit.rate_per_s or 0.0, limit.burst or 0)
        for name, limit in limits.items()
    }
    for arrival in found:
        arrival.ideal = buckets[arrival.workspace].admit(arrival.at)


def inject(way: Way, load: Load) -> None:
    """Bring about the fault of the load at its time."""
    loop = asyncio.get_running_loop()
    at = START_S + WARM_UP_S
    if load.fault is Fault.STORE_OUT:
        loop.call_at(at, way.stop_store)
    if load.fault is Fault.CONFIGURED:
        loop.call_at(at + CONFIGURED_AFTER_S, way.configure)
    if load.fault is Fault.HOST_KILLED:
        loop.call_at(at + KILLED_AFTER_S, way.kill, KILLED)
        loop.call_at(at + KILLED_AFTER_S + TAKEN_OUT_AFTER_S, way.take_out, KILLED)


async def _serve(way: Way, load: Load, arrival: Arrival) -> None:
    killed_at = START_S + WARM_UP_S + KILLED_AFTER_S
    if load.fault is Fault.HOST_KILLED and arrival.host == KILLED and arrival.at >= killed_at:
        arrival.host = f"h{int(arrival.at * MS_PER_S) % int(KILLED[1:])}"
    arrival.refused = not await way.admit(arrival)
    arrival.admitted_at = asyncio.get_running_loop().time()


def row(
    kind: type[Way], site: Site, load: Load, limits: dict[str, Workspace], length_s: float
) -> str:
    """Return one line of a table."""
    return run_on_injected_time(drive(kind, site, load, limits, length_s)).line()


def measure(quick: bool) -> None:
    """Print the tables; with ``quick`` fewer loads and shorter ones."""
    loads = [load for load in LOADS if load.name.endswith("80%")] if quick else LOADS
    length_s = 3.0 if quick else 8.0
    for site in (TJALDVIK, KALAHARI):
        print(f"{site.name}, held for {site.hold_ms} ms at most, seed {SEED}\n{HEADINGS}")
        for load in loads:
            for kind in WAYS:
                shortened = kind is CentralCounter and load.fault is Fault.NONE
                part_s = length_s * COSTLY_PART if shortened else length_s
                print(row(kind, site, load, workspaces(), part_s), flush=True)
    _small_bursts(length_s, quick=quick)
    if not quick:
        _hour()


def _small_bursts(length_s: float, *, quick: bool) -> None:
    print(f"one workspace of 100 requests/s with small bursts, loans and hold\n{HEADINGS}")
    loads = [load for load in LOADS if "even" in load.name or load.name.startswith("skewed ")]
    for site in (TJALDVIK, KALAHARI):
        for burst in (10,) if quick else (50, 20, 10):
            for load in loads[: 1 if quick else len(loads)]:
                limits = {LOADED: Workspace(rate_per_s=100.0, burst=burst)}
                print(f"{site.name} burst {burst}: {row(Loans, site, load, limits, length_s)}")


def _hour() -> None:
    print(f"an hour without the store, one workspace of 10 requests/s, burst 20\n{HEADINGS}")
    load = next(load for load in LOADS if load.fault is Fault.STORE_OUT)
    limits = {LOADED: Workspace(rate_per_s=10.0, burst=20)}
    print(row(Loans, TJALDVIK, load, limits, HOUR_S))
