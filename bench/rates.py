"""Wrongful refusals of rates that all hosts keep by their reports, beside even parts."""

from __future__ import annotations

import asyncio
from random import Random

import msgspec

from bench.fleet import KALAHARI
from bench.fleet import TJALDVIK
from bench.fleet import Arrival
from bench.fleet import Site
from bench.fleet import agreed
from bench.fleet import network
from bench.fleet import poisson
from bench.fleet import request
from bench.limits import IdealBucket
from bench.limits import largest_excess
from flamingoladder.config.model import Workspace
from flamingoladder.limits.admission import RateAdmission
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.standins.state import SettableState
from flamingoladder.timeline.recorder import Recorder

SEED = 4
HOSTS = 7
START_S = 5.0
WARM_UP_S = 3.0
LENGTH_S = 8.0
RATES_PER_S = (120.0, 80.0, 30.0, 20.0, 20.0, 15.0, 10.0, 5.0)
MIN_BURST = 20
LOADED = "w0"
HEADINGS = "load            way           wrong%  worst%  refus%  ideal%  msgs/s  excess"


class Load(msgspec.Struct, frozen=True):
    """``part`` of the rate arrives, ``at_one_host`` of it at one host.

    The first workspace sends ``times`` its rate.
    """

    name: str
    part: float
    at_one_host: float = 1 / HOSTS
    times: float | None = None


LOADS = (
    Load("even 80%", 0.8),
    Load("even 95%", 0.95),
    Load("skewed 80%", 0.8, 0.8),
    Load("skewed 95%", 0.95, 0.8),
    Load("one at 5 times", 0.8, times=5.0),
)


def measure(quick: bool) -> None:
    """Print the tables; with ``quick`` fewer loads."""
    limits = {
        f"w{index}": Workspace(rate_per_s=rate, burst=max(MIN_BURST, int(rate / 2)))
        for index, rate in enumerate(RATES_PER_S)
    }
    for site in (TJALDVIK, KALAHARI):
        print(f"{site.name}, seed {SEED}\n{HEADINGS}")
        for load in LOADS[:1] if quick else LOADS:
            found = _arrivals(load, limits)
            _even_parts(found, limits)
            print(_line(load, "even parts", found, limits, 0), flush=True)
            messages = run_on_injected_time(_by_reports(site, limits, found))
            print(_line(load, "by reports", found, limits, messages), flush=True)


def _arrivals(load: Load, limits: dict[str, Workspace]) -> list[Arrival]:
    """Return all arrivals in order of time, and which of them one central bucket admits."""
    random = Random(SEED)
    found: list[Arrival] = []
    for index, (name, limit) in enumerate(limits.items()):
        part = load.times if load.times is not None and name == LOADED else load.part
        weights = [(1 - load.at_one_host) / (HOSTS - 1)] * HOSTS
        weights[index % HOSTS] = load.at_one_host
        end_s = START_S + WARM_UP_S + LENGTH_S
        found += poisson(random, _rate(limit) * part, START_S, end_s, name, weights)
    found.sort(key=lambda arrival: arrival.at)
    central = {name: IdealBucket(_rate(limit), limit.burst or 0) for name, limit in limits.items()}
    for arrival in found:
        arrival.ideal = central[arrival.workspace].admit(arrival.at)
    return found


def _even_parts(found: list[Arrival], limits: dict[str, Workspace]) -> None:
    """Let each host have an even part of each limit, whole units at least one."""
    buckets: dict[tuple[str, str], IdealBucket] = {}
    for arrival in found:
        limit = limits[arrival.workspace]
        key = (arrival.host, arrival.workspace)
        if key not in buckets:
            buckets[key] = IdealBucket(_rate(limit) / HOSTS, max(1, (limit.burst or 0) // HOSTS))
        arrival.refused = not buckets[key].admit(arrival.at)


async def _by_reports(site: Site, limits: dict[str, Workspace], found: list[Arrival]) -> int:
    """Let all hosts keep accounts that their reports bring together; return the messages."""
    loop = asyncio.get_running_loop()
    state = agreed(site, limits)
    net = network(state, Random(SEED))
    admissions = {
        member.host: RateAdmission(
            member,
            net.join(member.host, member.incarnation),
            SettableState(state),
            Recorder(member.host, member.incarnation),
        )
        for member in state.members
    }
    reporting = [asyncio.create_task(admission.run()) for admission in admissions.values()]
    for arrival in found:
        await asyncio.sleep(max(0.0, arrival.at - loop.time()))
        asked = request(arrival.workspace, arrival.at)
        refusal = await admissions[arrival.host].admit(asked, arrival.at)
        arrival.refused = refusal is not None
    for task in reporting:
        task.cancel()
    return net.messages


def _line(
    load: Load, way: str, found: list[Arrival], limits: dict[str, Workspace], messages: int
) -> str:
    seen = [arrival for arrival in found if arrival.at >= START_S + WARM_UP_S]
    wrongs = [_wrong(name, load, seen) for name in limits]
    admitted = sum(right for _, right in wrongs)
    return (
        f"{load.name:<14}  {way:<10}"
        f"{_percent(sum(wrong for wrong, _ in wrongs), admitted):10.3f}"
        f"{max(_percent(wrong, right) for wrong, right in wrongs):8.3f}"
        f"{_percent(sum(arrival.refused for arrival in seen), len(seen)):8.2f}"
        f"{_percent(sum(not arrival.ideal for arrival in seen), len(seen)):8.2f}"
        f"{messages / (START_S + WARM_UP_S + LENGTH_S):8.0f}"
        f"{max(_excess(name, found, limit) for name, limit in limits.items()):8.1f}"
    )


def _wrong(name: str, load: Load, seen: list[Arrival]) -> tuple[int, int]:
    """Return how many were refused wrongly, and how many the central bucket admits.

    Of a workspace far over its rate the two admit different requests, so only numbers compare.
    """
    mine = [arrival for arrival in seen if arrival.workspace == name]
    right = sum(arrival.ideal for arrival in mine)
    if load.times is not None and name == LOADED:
        return max(0, right - sum(not arrival.refused for arrival in mine)), right
    return sum(arrival.ideal and arrival.refused for arrival in mine), right


def _excess(name: str, found: list[Arrival], limit: Workspace) -> float:
    mine = [arrival for arrival in found if arrival.workspace == name and not arrival.refused]
    return largest_excess([arrival.at for arrival in mine], _rate(limit), limit.burst or 0)


def _rate(limit: Workspace) -> float:
    return limit.rate_per_s or 0.0


def _percent(part: int, whole: int) -> float:
    return 100 * part / whole if whole else 0.0
