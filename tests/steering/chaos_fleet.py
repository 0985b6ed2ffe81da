"""A fleet that lends slots over a faulty network, and counts the requests on each target."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from bench.steering_fleet import next_state

from flamingoladder.config.model import Target
from flamingoladder.members.member import Member
from flamingoladder.standins.network import Network
from flamingoladder.standins.state import SettableState
from flamingoladder.steering.chooser import AttemptOutcome
from flamingoladder.steering.chooser import Reservation
from flamingoladder.steering.slot_chooser import SlotChooser
from flamingoladder.timeline.recorder import Recorder
from flamingoladder.upstreams.health import HealthBoard
from tests.gateway.states import agreed
from tests.upstreams.dispatcher_fixture import request_for

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from flamingoladder.config.agreed import AgreedState

PROOF_S = 1.0
DEADLINE_S = 1.0
TARGETS = {
    "n1": Target(address="127.0.0.1:1", failure_domain="north-a", slots=2),
    "n2": Target(address="127.0.0.1:2", failure_domain="north-a", slots=2),
    "s1": Target(address="127.0.0.1:3", failure_domain="south-a", slots=2),
}
REGIONS_AND_DOMAINS = (("north", "north-a"), ("north", "north-a"), ("south", "south-a"))


def initial_state(hosts: int = 3) -> AgreedState:
    """Return the initial agreed state of a fleet with short deadlines."""
    state = agreed(TARGETS, deadline_ms=int(DEADLINE_S * 1_000), proof_s=PROOF_S)
    members = tuple(member(index) for index in range(hosts))
    return msgspec.structs.replace(state, members=members)


def member(index: int, incarnation: int = 1) -> Member:
    """Return an incarnation of the host ``h<index>``."""
    region, domain = REGIONS_AND_DOMAINS[index % len(REGIONS_AND_DOMAINS)]
    return Member(f"h{index}", region, domain, f"h{index}-{incarnation}", "", "", "")


class ChaosHost:
    """One incarnation of a host."""

    __slots__ = ("chooser", "known_version", "member", "state")

    def __init__(
        self,
        own: Member,
        state: AgreedState,
        network: Network,
        seed: float,
        settles_at: float | None,
    ) -> None:
        self.member = own
        self.state = SettableState(state)
        if settles_at is not None:
            self.state.settles_at = settles_at
        self.known_version = state.version
        links = network.join(own.host, own.incarnation)
        recorder = Recorder(own.host, own.incarnation)
        self.chooser = SlotChooser(own, self.state, links, recorder, HealthBoard(), Random(seed))


class ChaosFleet:
    """A fleet, its agreed state, and the number of requests on each target."""

    __slots__ = (
        "_settles_at",
        "agreed",
        "hosts",
        "in_use",
        "network",
        "overloaded",
        "random",
        "served",
        "tasks",
    )

    def __init__(
        self, seed: int, loss: float = 0.0, hosts: int = 3, settles_at: float | None = None
    ) -> None:
        self.random = Random(seed)
        self._settles_at = settles_at
        self.network = Network(self.random, 0.002, loss)
        self.agreed = initial_state(hosts)
        self.in_use: Counter[str] = Counter()
        self.overloaded: list[str] = []
        self.served: Counter[str] = Counter()
        self.tasks: set[asyncio.Task[object]] = set()
        self.hosts: dict[str, ChaosHost] = {}
        for own in self.agreed.members:
            self.start(own)

    def start(self, own: Member) -> None:
        """Start an incarnation of a host."""
        self.hosts[own.host] = ChaosHost(
            own, self.agreed, self.network, self.random.random(), self._settles_at
        )

    def commit(self, max_delay_s: float = 0.0, **changes: object) -> None:
        """Commit a change of the division; hosts receive it up to ``max_delay_s`` later.

        A host that receives it after its proof has expired has no proof in between.
        """
        self.agreed = next_state(self.agreed, divides=True, **changes)
        for host in self.hosts.values():
            self.start_task(
                self._deliver_state(host, self.agreed, self.random.uniform(0, max_delay_s))
            )

    def start_task(self, coroutine: Coroutine[Any, Any, object]) -> None:
        """Run a coroutine as a task."""
        task: asyncio.Task[object] = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send_request(self, host: str, seconds: float) -> Reservation | None:
        """Send a request to ``host`` that takes ``seconds``, or until its deadline if earlier."""
        loop = asyncio.get_running_loop()
        request = request_for(deadline_s=DEADLINE_S)
        chaos_host = self.hosts[host]
        reservation = await chaos_host.chooser.reserve(request, (), loop.time())
        if not isinstance(reservation, Reservation):
            return None
        self.served[host] += 1
        self.in_use[reservation.target] += 1
        if self.in_use[reservation.target] > 2:
            self.overloaded.append(reservation.target)
        await asyncio.sleep(min(seconds, request.deadline - loop.time()))
        self.in_use[reservation.target] -= 1
        reservation.release(AttemptOutcome.ANSWERED, loop.time())
        return reservation

    def close(self) -> None:
        """Stop all hosts and tasks."""
        for host in self.hosts.values():
            host.chooser.close()
        for task in self.tasks:
            task.cancel()

    async def _deliver_state(self, host: ChaosHost, state: AgreedState, delay_s: float) -> None:
        await asyncio.sleep(min(delay_s, PROOF_S))
        if host.known_version < state.version:
            host.state.proven = delay_s <= PROOF_S
        await asyncio.sleep(max(delay_s - PROOF_S, 0.0))
        if host.known_version < state.version:
            host.known_version = state.version
            host.state.put(state)
        host.state.proven = host.known_version == self.agreed.version
