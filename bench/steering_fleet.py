"""Seven hosts' choosers before model targets, on injected time."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import msgspec
import yaml

from bench.fleet import request as request_from
from bench.least_in_flight import LeastInFlight
from flamingoladder.config.agreed import AgreedState
from flamingoladder.config.reader import validate
from flamingoladder.members.member import Member
from flamingoladder.standins.network import Network
from flamingoladder.standins.state import SettableState
from flamingoladder.steering.chooser import AttemptOutcome
from flamingoladder.steering.slot_chooser import SlotChooser
from flamingoladder.timeline.recorder import Recorder
from flamingoladder.upstreams.health import HealthBoard
from flamingoladder.upstreams.retry_budget import RetryBudget
from flamingoladder.upstreams.targets import declared_targets
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from flamingoladder.config.model import Deployment
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.steering.chooser import Reservation
    from flamingoladder.upstreams.targets import DeclaredTarget

EXAMPLES = Path(__file__).parent.parent / "examples"
HOSTS_PER_REGION = (3, 2, 2)
ATTEMPTS = 3
MS_PER_S = 1_000
SHED_S = 0.002
LOSS_SEEN_S = 3.0


def example(name: str) -> Deployment:
    """Return one of the example configurations."""
    return validate(yaml.safe_load((EXAMPLES / f"{name}.yaml").read_text())).ok


def members_of(deployment: Deployment) -> tuple[Member, ...]:
    """Return seven hosts, spread over the failure domains of all regions."""
    found: list[Member] = []
    for (name, region), count in zip(
        deployment.places.regions.items(), HOSTS_PER_REGION, strict=True
    ):
        domains = list(region.failure_domains)
        for place in range(count):
            host = f"h{len(found)}"
            domain = domains[place % len(domains)]
            found.append(Member(host, name, domain, f"{host}-1", f"http://{host}", "", ""))
    return tuple(found)


def first_state(deployment: Deployment) -> AgreedState:
    """Return the first agreed state."""
    return AgreedState(1, 1, 1, deployment, members=members_of(deployment))


def next_state(state: AgreedState, *, divides: bool, **changes: object) -> AgreedState:
    """Return the state after a commit; ``divides`` tells that it changes the division."""
    version = state.version + 1
    changed = msgspec.structs.replace(state, version=version, **changes)
    if not divides:
        return changed
    return msgspec.structs.replace(
        changed, division_version=version, previous_division_version=state.division_version
    )


class ModelTarget:
    """A target that sheds what exceeds its slots.

    ``excess`` is the largest number of requests that it had at once over its slots; a shed request
    counts for as long as a target takes to turn it away.
    """

    __slots__ = ("down", "excess", "factor", "in_progress", "present", "shed", "slots")

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.in_progress = 0
        self.present = 0
        self.excess = 0
        self.shed = 0
        self.down = False
        self.factor = 1.0

    async def run(self, service_s: float, deadline: float) -> AttemptOutcome:
        """Run a request, or turn it away."""
        if self.down:
            return AttemptOutcome.UNREACHABLE
        self.present += 1
        self.excess = max(self.excess, self.present - self.slots)
        try:
            return await self._run(service_s, deadline)
        finally:
            self.present -= 1

    async def _run(self, service_s: float, deadline: float) -> AttemptOutcome:
        if self.in_progress >= self.slots:
            self.shed += 1
            await asyncio.sleep(SHED_S)
            return AttemptOutcome.SHED
        self.in_progress += 1
        left_s = deadline - asyncio.get_running_loop().time()
        took_s = service_s * self.factor
        try:
            await asyncio.sleep(min(took_s, max(left_s, 0.0)))
        finally:
            self.in_progress -= 1
        if self.down:
            return AttemptOutcome.LOST
        return AttemptOutcome.ANSWERED if took_s <= left_s else AttemptOutcome.CANCELLED


class Sent(msgspec.Struct):
    """One request and what became of it; times are in seconds."""

    host: str
    workspace: str
    service: str
    at: float
    took_s: float = 0.0
    end: str = ""
    region: str = ""
    started_at: float = 0.0

    @property
    def answered(self) -> bool:
        """Return whether the request was answered."""
        return self.end == "answered"


class FleetHost:
    """One entry host: its view of the state, its chooser and its observations."""

    __slots__ = ("board", "budget", "chooser", "member", "state")

    def __init__(
        self, member: Member, state: AgreedState, net: Network, random: Random, coordinated: bool
    ) -> None:
        self.member = member
        self.state = SettableState(state)
        self.board = HealthBoard()
        self.budget = RetryBudget()
        links = net.join(member.host, member.incarnation)
        self.chooser: SlotChooser | LeastInFlight
        if coordinated:
            recorder = Recorder(member.host, member.incarnation)
            self.chooser = SlotChooser(member, self.state, links, recorder, self.board, random)
        else:
            self.chooser = LeastInFlight(self.state, self.board, member.region, random)


class SteeringFleet:
    """Hosts, network and targets of one deployment."""

    __slots__ = (
        "agreed",
        "coordinated",
        "deployment",
        "hosts",
        "network",
        "random",
        "sent",
        "service_s",
        "targets",
    )

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        *,
        coordinated: bool = True,
        service_s: float = 0.05,
        loss: float = 0.0,
    ) -> None:
        self.deployment = deployment
        self.random = Random(seed)
        self.coordinated = coordinated
        self.service_s = service_s
        self.agreed = first_state(deployment)
        self.network = Network(self.random, loss=loss)
        self._place(self.agreed.members)
        self.targets = {
            target.name: ModelTarget(target.slots) for target in declared_targets(self.agreed)
        }
        self.sent: list[Sent] = []
        self.hosts: dict[str, FleetHost] = {}
        for member in self.agreed.members:
            self.join(member)

    def join(self, member: Member) -> None:
        """Start a host."""
        random = Random(self.random.random())
        self.hosts[member.host] = FleetHost(
            member, self.agreed, self.network, random, self.coordinated
        )

    def kill(self, host: str) -> None:
        """Take a host off, without a word."""
        self.network.leave(host)
        self.hosts.pop(host).chooser.close()

    @property
    def declared(self) -> tuple[DeclaredTarget, ...]:
        """Return the targets as declared."""
        return declared_targets(self.agreed)

    def lose(self, hosts: set[str]) -> None:
        """Kill hosts; the others learn of it when the first silence is over."""
        for host in hosts:
            self.kill(host)
        members = tuple(m for m in self.agreed.members if m.host not in hosts)
        loop = asyncio.get_running_loop()
        loop.call_later(LOSS_SEEN_S, lambda: self.commit(divides=True, members=members))

    def commit(self, *, divides: bool, **changes: object) -> None:
        """Put a changed state in force at all hosts."""
        self.agreed = next_state(self.agreed, divides=divides, **changes)
        for host in self.hosts.values():
            host.state.put(self.agreed)

    def close(self) -> None:
        """Stop all hosts."""
        for host in self.hosts.values():
            host.chooser.close()

    @property
    def excess(self) -> int:
        """Return the largest number of requests at any target over its slots."""
        return max(target.excess for target in self.targets.values())

    async def send(self, host: str, service: str, workspace: str, at: float) -> Sent:
        """Send a request to ``host`` at a time, and return what became of it."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(at - loop.time())
        sent = Sent(host, workspace, service, at)
        self.sent.append(sent)
        # Callers fail over to another host.
        entry = self.hosts.get(host) or self.random.choice(list(self.hosts.values()))
        sent.host = entry.member.host
        route = self.deployment.services[service].routes[0]
        deadline_ms = route.deadline_ms or self.deployment.defaults.deadline_ms
        request = request_from(workspace, at + deadline_ms / MS_PER_S, service, route)
        entry.budget.deposit(self.deployment.defaults.retry_budget_ratio)
        sent.end = await self._attempts(entry, request, sent)
        sent.took_s = loop.time() - at
        return sent

    async def _attempts(self, entry: FleetHost, request: CallerRequest, sent: Sent) -> str:
        loop = asyncio.get_running_loop()
        service_s = self.random.gammavariate(4.0, self.service_s / 4.0)
        tried: list[str] = []
        end = AttemptOutcome.CANCELLED
        for _ in range(ATTEMPTS):
            held = await entry.chooser.reserve(request, tried, loop.time())
            if isinstance(held, Refusal):
                return str(held.reason)
            sent.region = held.region
            sent.started_at = loop.time()
            end = await self._attempt(entry, held, service_s, request.deadline)
            if end in {AttemptOutcome.ANSWERED, AttemptOutcome.CANCELLED}:
                break
            tried.append(held.target)
            if end is not AttemptOutcome.UNREACHABLE and not entry.budget.try_withdraw():
                break
        return str(end)

    async def _attempt(
        self, entry: FleetHost, held: Reservation, service_s: float, deadline: float
    ) -> AttemptOutcome:
        delays = self.deployment.places.delays
        near = held.region == entry.member.region
        one_way_ms = delays.between_domains_ms if near else delays.between_regions_ms
        end = AttemptOutcome.CANCELLED
        try:
            await asyncio.sleep(one_way_ms / MS_PER_S)
            end = await self.targets[held.target].run(service_s, deadline)
            await asyncio.sleep(one_way_ms / MS_PER_S)
        finally:
            held.release(end, asyncio.get_running_loop().time())
        return end

    def _place(self, members: tuple[Member, ...]) -> None:
        delays = self.deployment.places.delays
        for here in members:
            for there in members:
                near = here.region == there.region
                one_way_ms = delays.between_domains_ms if near else delays.between_regions_ms
                self.network.delays_by_pair[(here.host, there.host)] = one_way_ms / MS_PER_S


def ends(sent: list[Sent]) -> Counter[str]:
    """Return how many requests ended how."""
    return Counter(one.end for one in sent)
