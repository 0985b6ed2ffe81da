"""Loads of eight workspaces on seven hosts."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

from bench.fleet import Arrival
from bench.fleet import poisson
from flamingoladder.config.model import Workspace

if TYPE_CHECKING:
    from random import Random

HOSTS = 7
START_S = 6.5
RATES_PER_S = (120.0, 80.0, 30.0, 20.0, 20.0, 15.0, 10.0, 5.0)
MIN_BURST = 20
BURST_SPREAD_S = 0.1
LOADED = "w0"


class Fault(StrEnum):
    """What fails while the load arrives."""

    NONE = "none"
    HOST_KILLED = "host killed"
    STORE_OUT = "store out"
    CONFIGURED = "configured"


class Load(msgspec.Struct, frozen=True):
    """``part`` of the rate arrives, ``at_one_host`` of it at one host.

    ``in_bursts`` of it comes in bursts of half a workspace's burst at one host; ``times`` is how
    often its rate the first workspace sends.
    """

    name: str
    part: float
    at_one_host: float = 1 / HOSTS
    in_bursts: float = 0.0
    times: float | None = None
    fault: Fault = Fault.NONE


LOADS = (
    Load("even 80%", 0.8),
    Load("even 95%", 0.95),
    Load("skewed 80%", 0.8, 0.8),
    Load("skewed 95%", 0.95, 0.8),
    Load("bursty 60%", 0.6, in_bursts=0.5),
    Load("one at 5 times", 0.8, times=5.0),
    Load("host killed", 0.8, fault=Fault.HOST_KILLED),
    Load("skewed, changes", 0.8, 0.8, fault=Fault.CONFIGURED),
    Load("skewed, store out", 0.8, 0.8, fault=Fault.STORE_OUT),
)


def workspaces() -> dict[str, Workspace]:
    """Return the workspaces: a burst of half a second of the rate, and of 20 at least."""
    return {
        f"w{index}": Workspace(rate_per_s=rate, burst=max(MIN_BURST, int(rate / 2)))
        for index, rate in enumerate(RATES_PER_S)
    }


def arrivals(
    load: Load, limits: dict[str, Workspace], random: Random, end_s: float
) -> list[Arrival]:
    """Return all arrivals of a load in order of time."""
    found: list[Arrival] = []
    for index, (name, limit) in enumerate(limits.items()):
        rate = (limit.rate_per_s or 0.0) * load.part
        if load.times is not None and name == LOADED:
            rate = (limit.rate_per_s or 0.0) * load.times
        weights = [(1 - load.at_one_host) / (HOSTS - 1)] * HOSTS
        weights[index % HOSTS] = load.at_one_host
        steady = rate * (1 - load.in_bursts)
        found += poisson(random, steady, START_S, end_s, name, weights)
        if load.in_bursts:
            found += _bursts(random, rate * load.in_bursts, end_s, name, (limit.burst or 0) // 2)
    return sorted(found, key=lambda arrival: arrival.at)


def _bursts(random: Random, rate: float, end_s: float, name: str, size: int) -> list[Arrival]:
    found = []
    at = START_S + random.expovariate(rate / size)
    while at < end_s - BURST_SPREAD_S:
        host = f"h{random.randrange(HOSTS)}"
        times = (at + random.uniform(0, BURST_SPREAD_S) for _ in range(size))
        found += [Arrival(time, host, name) for time in times]
        at += random.expovariate(rate / size)
    return found
