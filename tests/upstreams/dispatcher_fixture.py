"""A dispatcher connected to scripted targets."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from random import Random
from typing import TYPE_CHECKING

from bench.least_in_flight import LeastInFlight

from flamingoladder.config.model import Route
from flamingoladder.config.model import Target
from flamingoladder.gateway.dispatch_check import KeyedDispatchCheck
from flamingoladder.gateway.request import CallerRequest
from flamingoladder.keys.authentication import GrantedKeys
from flamingoladder.poison.detector import PoisonDetector
from flamingoladder.poison.exchange import LinkPoisonExchange
from flamingoladder.standins.network import Network
from flamingoladder.timeline.recorder import Recorder
from flamingoladder.upstreams.dispatcher import UpstreamDispatcher
from flamingoladder.upstreams.health import HealthBoard
from flamingoladder.upstreams.notices import UpstreamNotices
from flamingoladder.upstreams.poison_watch import PoisonWatch
from flamingoladder.upstreams.targets import TargetPools
from tests.gateway.states import FixedState
from tests.gateway.states import agreed
from tests.upstreams.scripted_target import running_targets

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from flamingoladder.standins.network import NetworkLinks
    from tests.upstreams.scripted_target import ScriptedTarget

DEADLINE_S = 2.0
IDEMPOTENT = Route(path="/")
NON_IDEMPOTENT = Route(path="/bookings", methods=("POST", "PUT"), idempotent=False)


class DispatcherFixture:
    """A dispatcher and its dependencies."""

    __slots__ = ("board", "chooser", "dispatcher", "pools", "recorder", "state")

    def __init__(self, state: FixedState, links: NetworkLinks) -> None:
        self.state = state
        self.board = HealthBoard()
        self.pools = TargetPools(state)
        self.chooser = LeastInFlight(state, self.board, "north", Random(1))
        self.recorder = Recorder("h1", "h1-1")
        detector = PoisonDetector(
            LinkPoisonExchange(links), self.recorder, asyncio.get_running_loop().time
        )
        self.dispatcher = UpstreamDispatcher(
            state=state,
            chooser=self.chooser,
            pools=self.pools,
            poison_watch=PoisonWatch(detector, state),
            notices=UpstreamNotices(self.board, state, self.recorder),
            permission=KeyedDispatchCheck(state, GrantedKeys(state), "h1"),
            recorder=self.recorder,
        )


def dispatcher_fixture(state: FixedState) -> DispatcherFixture:
    """Return a dispatcher of host h1, in region north."""
    return DispatcherFixture(state, Network(Random(1)).join("h1", "h1-1"))


@asynccontextmanager
async def dispatching(
    *targets: ScriptedTarget, **defaults: object
) -> AsyncIterator[DispatcherFixture]:
    """Run a dispatcher with the first target in its own region and the others in another."""
    async with running_targets(*targets):
        domains = ["north-a"] + ["south-a"] * (len(targets) - 1)
        declared = {
            target.name: Target(address=target.address, failure_domain=domain)
            for target, domain in zip(targets, domains, strict=True)
        }
        fixture = dispatcher_fixture(FixedState(agreed(declared, **defaults)))
        try:
            yield fixture
        finally:
            await fixture.pools.close()


def request_for(
    route: Route = IDEMPOTENT,
    method: str | None = None,
    deadline_s: float = DEADLINE_S,
    request_id: str = "r1",
) -> CallerRequest:
    """Return a request of workspace midnight-sun."""
    return CallerRequest(
        request_id=request_id,
        service="desk",
        route=route,
        method=method or route.methods[0],
        path="/x",
        headers=(),
        body=b"" if route.idempotent else b"book",
        digest="d1",
        deadline=asyncio.get_running_loop().time() + deadline_s,
        workspace="midnight-sun",
        key_id="k1",
        idempotency_key=None if route.idempotent else "b1",
    )
