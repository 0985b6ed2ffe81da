"""Tests of the admission of one and of several hosts, on injected time."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import pytest
from bench.fleet import TJALDVIK
from bench.fleet import agreed
from bench.fleet import network
from bench.fleet import request
from bench.limits import largest_excess

from flamingoladder.config.model import Workspace
from flamingoladder.shares.admission import ShareAdmission
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.standins.state import SettableState
from flamingoladder.timeline.recorder import Recorder
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from flamingoladder.standins.network import Network

RATE_PER_S = 70.0
BURST = 35
FULL_S = 10.0
LIMITS = {"w": Workspace(rate_per_s=RATE_PER_S, burst=BURST)}


class Fleet:
    """Seven hosts with their admissions."""

    def __init__(self, seed: int = 1, loss: float = 0.0) -> None:
        self.state = agreed(TJALDVIK, LIMITS)
        self.network: Network = network(self.state, Random(seed), loss)
        self.states = {m.host: SettableState(self.state) for m in self.state.members}
        self.admissions = {
            m.host: ShareAdmission.from_config(
                self.network.join(m.host, m.incarnation),
                self.states[m.host],
                Recorder(m.host, m.incarnation),
                m.host,
                m.incarnation,
            )
            for m in self.state.members
        }
        self.admitted_at: list[float] = []

    async def send(self, host: str, workspace: str | None = "w") -> Reason | None:
        """Send one request to ``host`` and return the reason of its refusal."""
        loop = asyncio.get_running_loop()
        refusal = await self.admissions[host].admit(request(workspace, loop.time() + 2))
        if refusal is None:
            self.admitted_at.append(loop.time())
            return None
        assert refusal.verdict is Verdict.NOT_RUN
        return refusal.reason

    def close(self) -> None:
        """Stop all hosts."""
        for admission in self.admissions.values():
            admission.close()


def test_nothing_is_admitted_before_a_new_part_may_be_used() -> None:
    async def scenario() -> Reason | None:
        fleet = Fleet()
        return await fleet.send("h0")

    assert run_on_injected_time(scenario()) is Reason.RATE_EXCEEDED


def test_open_routes_are_not_limited() -> None:
    async def scenario() -> Reason | None:
        return await Fleet().send("h0", workspace=None)

    assert run_on_injected_time(scenario()) is None


@pytest.mark.parametrize("senders", [("h0",), ("h0", "h1"), ("h0", "h3", "h6")])
def test_the_whole_burst_can_be_spent_anywhere_but_no_more(senders: tuple[str, ...]) -> None:
    async def scenario() -> list[float]:
        fleet = Fleet()
        await asyncio.sleep(FULL_S)
        count = 2 * BURST // len(senders)
        await asyncio.gather(*(fleet.send(host) for host in senders for _ in range(count)))
        fleet.close()
        return fleet.admitted_at

    admitted_at = run_on_injected_time(scenario())
    assert len(admitted_at) >= BURST
    assert largest_excess(admitted_at, RATE_PER_S, BURST) <= 0


def test_without_proof_nothing_is_spent() -> None:
    async def scenario() -> Reason | None:
        fleet = Fleet()
        await asyncio.sleep(FULL_S)
        fleet.states["h0"].proven = False
        return await fleet.send("h0")

    assert run_on_injected_time(scenario()) is Reason.NO_PROOF
