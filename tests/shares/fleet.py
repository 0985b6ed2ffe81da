"""Seven hosts with their admissions, on injected time."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from bench.fleet import TJALDVIK
from bench.fleet import agreed
from bench.fleet import network
from bench.fleet import request
from bench.fleet import successor

from flamingoladder.config.model import Workspace
from flamingoladder.shares.admission import ShareAdmission
from flamingoladder.standins.state import SettableState
from flamingoladder.timeline.recorder import Recorder
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from flamingoladder.members.state import Member

RATE_PER_S = 70.0
BURST = 35
FULL_S = 10.0
LIMITS = {"w": Workspace(rate_per_s=RATE_PER_S, burst=BURST)}


class Fleet:
    """Seven hosts; ``admitted_at`` has the times at which requests were paid for."""

    def __init__(self, seed: int = 1, loss: float = 0.0, settles_at: float | None = None) -> None:
        self.random = Random(seed)
        self.state = agreed(TJALDVIK, LIMITS)
        self.network = network(self.state, self.random, loss)
        self.states = {m.host: SettableState(self.state) for m in self.state.members}
        if settles_at is not None:
            for state in self.states.values():
                state.settles_at = settles_at
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

    async def admit(
        self, host: str, workspace: str | None = "w", within_s: float = 2.0
    ) -> Refusal | None:
        """Send one request to ``host``."""
        loop = asyncio.get_running_loop()
        refusal = await self.admissions[host].admit(request(workspace, loop.time() + within_s))
        if refusal is None:
            self.admitted_at.append(loop.time())
        return refusal

    async def send(self, host: str, workspace: str | None = "w") -> Reason | None:
        """Send one request to ``host`` and return the reason of its refusal."""
        refusal = await self.admit(host, workspace)
        if refusal is None:
            return None
        assert refusal.verdict is Verdict.NOT_RUN
        return refusal.reason

    async def spend_all(self) -> None:
        """Send the whole burst to each host at once, so that no tokens are left."""
        await asyncio.gather(*(self.send(host) for host in self.admissions for _ in range(BURST)))

    def commit(self, members: tuple[Member, ...], unknown_to: str = "") -> None:
        """Put a new division of the same limits in force, on each host some time later."""
        self.state = successor(self.state, members)
        loop = asyncio.get_running_loop()
        for host, state in self.states.items():
            if host != unknown_to:
                loop.call_later(self.random.uniform(0, 0.5), state.put, self.state)

    def close(self) -> None:
        """Stop all hosts."""
        for admission in self.admissions.values():
            admission.close()
