"""Tests of probes shared between hosts, on injected time."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import TYPE_CHECKING
from typing import cast

import pytest

from flamingoladder.config.model import Target
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.standins.network import Network
from flamingoladder.timeline.recorder import Recorder
from flamingoladder.upstreams.health import HealthBoard
from flamingoladder.upstreams.prober_selection import PROBERS_PER_TARGET
from flamingoladder.upstreams.prober_selection import probers_of
from flamingoladder.upstreams.probes import PEER_REPLY_TTL_S
from flamingoladder.upstreams.probes import PROBE_INTERVAL_S
from flamingoladder.upstreams.probes import TargetProbes
from flamingoladder.verdict import Answer
from tests.gateway.states import FixedState
from tests.gateway.states import agreed

if TYPE_CHECKING:
    from flamingoladder.upstreams.targets import TargetPools

HOSTS = ("h1", "h2", "h3")
TARGETS = {f"t{n}": Target(address=f"127.0.0.1:{n}", failure_domain="north-a") for n in range(1, 9)}
SETTLED_S = PEER_REPLY_TTL_S + 2 * PROBE_INTERVAL_S


class Upstream:
    """The draining targets, and the number of probes by host and address."""

    def __init__(self) -> None:
        self.draining: set[str] = set()
        self.probes: Counter[tuple[str, str]] = Counter()


class Connections:
    """One host's connections to one target."""

    def __init__(self, upstream: Upstream, host: str, address: str) -> None:
        self._upstream = upstream
        self._host = host
        self._address = address

    async def get(self, path: str, _timeout_s: float) -> Answer:
        """Answer a probe."""
        self._upstream.probes[(self._host, self._address)] += path == "/health"
        status = "draining" if self._address in self._upstream.draining else "ok"
        return Answer(200, (), b'{"status": "%s"}' % status.encode())


class Pools:
    """One host's connections."""

    def __init__(self, upstream: Upstream, host: str) -> None:
        self._upstream = upstream
        self._host = host

    def of(self, address: str) -> Connections:
        """Return the connections to a target."""
        return Connections(self._upstream, self._host, address)


class Fleet:
    """Three hosts that probe eight targets."""

    def __init__(self) -> None:
        self.upstream = Upstream()
        self.network = Network(Random(1))
        self.boards = {host: HealthBoard() for host in HOSTS}
        self.probes = [self._probes(host) for host in HOSTS]

    async def close(self) -> None:
        for probes in self.probes:
            await probes.close()

    def _probes(self, host: str) -> TargetProbes:
        return TargetProbes(
            FixedState(agreed(TARGETS)),
            cast("TargetPools", Pools(self.upstream, host)),
            self.boards[host],
            self.network.join(host, f"{host}-1"),
            Recorder(host, f"{host}-1"),
            Random(1),
            lambda _target: None,
        )


@pytest.mark.parametrize("target", TARGETS)
def test_probers_are_unchanged_if_another_host_leaves(target: str) -> None:
    hosts = [f"h{number}" for number in range(7)]
    probers = probers_of(target, hosts)
    assert len(probers) == PROBERS_PER_TARGET
    for removed in set(hosts) - probers:
        assert probers_of(target, set(hosts) - {removed}) == probers


def test_two_hosts_probe_each_target() -> None:
    async def scenario() -> Counter[tuple[str, str]]:
        fleet = Fleet()
        await asyncio.sleep(SETTLED_S)
        fleet.upstream.probes.clear()
        await asyncio.sleep(10 * PROBE_INTERVAL_S)
        await fleet.close()
        return fleet.upstream.probes

    probes = run_on_injected_time(scenario())
    hosts_by_address = Counter(address for _, address in probes)
    assert set(hosts_by_address.values()) == {PROBERS_PER_TARGET}


@pytest.mark.parametrize("partitioned", [False, True])
def test_every_host_detects_a_drain(partitioned: bool) -> None:
    async def scenario() -> list[bool]:
        fleet = Fleet()
        await asyncio.sleep(SETTLED_S)
        if partitioned:
            pairs = [(a, b) for a in HOSTS for b in HOSTS if a != b]
            fleet.network.cuts.update(pairs)
            await asyncio.sleep(SETTLED_S)
        fleet.upstream.draining.add("127.0.0.1:3")
        await asyncio.sleep(PROBE_INTERVAL_S + 0.1)
        draining = [board.of("desk/t3").draining for board in fleet.boards.values()]
        await fleet.close()
        return draining

    assert run_on_injected_time(scenario()) == [True, True, True]
