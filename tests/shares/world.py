"""Hosts that lend to one another while everything between them misbehaves, driven by ``now``."""

from __future__ import annotations

from heapq import heappop
from heapq import heappush
from itertools import count
from typing import TYPE_CHECKING

import msgspec
from bench.fleet import TJALDVIK
from bench.fleet import deployment
from bench.fleet import member

from flamingoladder.config.agreed import AgreedState
from flamingoladder.config.model import Workspace
from flamingoladder.shares.division import Division
from flamingoladder.shares.division import follows
from flamingoladder.shares.division import workspace_allowance
from flamingoladder.shares.lending import Lending
from flamingoladder.standins.state import last_proof_ends_at

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

ALLOWANCE = workspace_allowance("w")
HOSTS = ("h0", "h1", "h2", "h3")
RATE_PER_S = 40.0
BURST = 20


class Host:
    """One run of a host. Its clock runs at ``speed`` times the true one."""

    def __init__(self, name: str, incarnation: str, speed: float, drift: float) -> None:
        self.name = name
        self.incarnation = incarnation
        self.speed = speed
        self.lending = Lending(ALLOWANCE, drift, 0.0)
        self.adopted: AgreedState | None = None
        self.frozen_until = 0.0


class World:
    """The true time, the committed states and the messages under way."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.now = 0.0
        self.spent_at: list[float] = []
        self._numbers = count(1)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        limits = {"w": Workspace(rate_per_s=RATE_PER_S, burst=BURST)}
        config = deployment(TJALDVIK, limits)
        self.defaults = config.defaults
        members = tuple(member(name, 0) for name in HOSTS)
        self.states = [
            AgreedState(
                version=1,
                division_version=1,
                configuration_version=1,
                deployment=config,
                members=members,
            )
        ]
        self.committed_at = [0.0]
        self.hosts = {name: self._host(name, "1") for name in HOSTS}
        for host in self.hosts.values():
            self.adopt(host)

    def _host(self, name: str, incarnation: str) -> Host:
        drift = self.defaults.clock_drift
        return Host(name, incarnation, 1 + self.random.choice((0.0, drift)), drift)

    def local(self, host: Host) -> float:
        """Return the host's own time."""
        return self.now * host.speed

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call ``action`` in ``delay_s`` true seconds."""
        heappush(self._events, (self.now + delay_s, next(self._numbers), action))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heappop(self._events)
            action()

    def has_proof(self, host: Host) -> bool:
        """Return whether the host may spend, at the limit of the freshness guarantee."""
        if host.adopted is None or host is not self.hosts[host.name]:
            return False
        if host.frozen_until > self.now:
            return False
        if host.adopted.version == self.states[-1].version:
            return True
        lapses_at = self.committed_at[host.adopted.version] + self.defaults.proof_s / host.speed
        return self.now < lapses_at

    def adopt(self, host: Host) -> None:
        """Let the host learn the newest state."""
        state = self.states[-1]
        if host.frozen_until > self.now or host.adopted is state:
            return
        earlier = host.adopted
        host.adopted = state
        division = Division.from_state(state)
        part = division.part_of(ALLOWANCE, host.name, host.incarnation)
        now = self.local(host)
        kept = earlier is not None and follows(earlier, state)
        may_grow_at = last_proof_ends_at(self.defaults, now)
        host.lending.adopt(division, part, may_grow_at, now, follows=kept)

    def commit(self, **changes: object) -> None:
        """Commit a state that differs in ``changes``."""
        newest = self.states[-1]
        self.states.append(
            msgspec.structs.replace(
                newest,
                version=newest.version + 1,
                division_version=newest.version + 1,
                previous_division_version=newest.division_version,
                **changes,
            )
        )
        self.committed_at.append(self.now)
        for host in self.hosts.values():
            self._learn(host)

    def restart(self, name: str) -> None:
        """Replace a host by a new run of it, and register that."""
        incarnation = str(next(self._numbers))
        self.hosts[name] = self._host(name, incarnation)
        members = [each for each in self.states[-1].members if each.host != name]
        self.commit(members=(*members, member(name, 0, incarnation)))

    def remove(self, name: str) -> None:
        """Take a host out of the division, though it may still run."""
        members = tuple(each for each in self.states[-1].members if each.host != name)
        if members:
            self.commit(members=members)

    def rejoin(self, name: str) -> None:
        """Register the present run of a host again, if it was taken out."""
        members = self.states[-1].members
        if all(each.host != name for each in members):
            again = member(name, 0, self.hosts[name].incarnation)
            self.commit(members=(*members, again))

    def _learn(self, host: Host) -> None:
        soon = self.random.random() < 0.7
        delay_s = self.random.uniform(0, 2) if soon else self.random.uniform(2, 12)
        self.at(delay_s, lambda: self.adopt(host))

    def spend(self, host: Host, most: int) -> None:
        """Spend up to ``most`` units."""
        for _ in range(most):
            host.lending.demand.arrive(self.local(host))
            if not self.has_proof(host) or not host.lending.bucket.spend(self.local(host)):
                return
            self.spent_at.append(self.now)

    def ask(self, taker: Host, giver_name: str) -> None:
        """Ask for a loan over a network that loses, delays and repeats messages."""
        if not self.has_proof(taker):
            return
        taker.lending.waiting = self.random.choice((0, 0, 3))
        question = taker.lending.question(giver_name, self.local(taker))

        def deliver() -> None:
            giver = self.hosts[giver_name]
            if not self.has_proof(giver) or not self._is_member(giver, taker):
                return
            answer = giver.lending.answer(taker.name, question, self.local(giver))
            if answer is not None:
                self._carry(lambda: taker.lending.credit(giver_name, answer, self.local(taker)))

        self._carry(deliver)

    def _is_member(self, giver: Host, taker: Host) -> bool:
        assert giver.adopted is not None
        return Division.from_state(giver.adopted).is_member(taker.name, taker.incarnation)

    def _carry(self, deliver: Callable[[], None]) -> None:
        for _ in range(self.random.choice((0, 1, 1, 1, 1, 2))):
            slow = self.random.random() < 0.1
            self.at(self.random.uniform(0, 6.0 if slow else 0.1), deliver)
