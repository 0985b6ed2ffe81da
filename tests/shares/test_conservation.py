"""The limit holds over all hosts whatever is lost, repeated, frozen, restarted or divided anew."""

from __future__ import annotations

from random import Random

import pytest
from bench.limits import largest_excess

from flamingoladder.config.model import Workspace
from flamingoladder.shares.division import Division
from tests.shares.world import ALLOWANCE
from tests.shares.world import BURST
from tests.shares.world import HOSTS
from tests.shares.world import RATE_PER_S
from tests.shares.world import Host
from tests.shares.world import World

RUN_S = 60.0
STEP_S = 0.05


class Scenario:
    """Random load with idle and greedy phases, and the faults named by a test."""

    def __init__(self, seed: int, faults: tuple[str, ...]) -> None:
        self.random = Random(seed)
        self.world = World(self.random)
        self.faults = faults
        self.greedy_until = 0.0
        self.world.at(STEP_S, self._step)

    def run(self) -> list[float]:
        """Return the times at which units were spent."""
        self.world.run(RUN_S)
        return self.world.spent_at

    def _step(self) -> None:
        world = self.world
        self._load()
        if self.faults and self.random.random() < 0.02:
            getattr(self, f"_{self.random.choice(self.faults)}")()
        self._check_units()
        world.at(STEP_S, self._step)

    def _load(self) -> None:
        if self.random.random() < 0.02:
            self.greedy_until = self.world.now + self.random.uniform(0, 4)
        greedy = self.world.now < self.greedy_until
        for host in self.world.hosts.values():
            if greedy:
                self.world.spend(host, 10)
            if greedy or self.random.random() < 0.1:
                self.world.ask(host, self._other(host))

    def _check_units(self) -> None:
        spending = [host for host in self.world.hosts.values() if self.world.has_proof(host)]
        for host in spending:
            host.lending.bucket.advance(self.world.local(host))
        buckets = [host.lending.bucket for host in spending]
        states = [host.adopted for host in spending if host.adopted is not None]
        totals = [Division.from_state(state).total_by_allowance for state in states]
        assert sum(bucket.units for bucket in buckets) <= max(
            (total[ALLOWANCE].units for total in totals), default=0
        )
        assert sum(bucket.rate for bucket in buckets) <= max(
            (total[ALLOWANCE].rate for total in totals), default=0
        )
        assert all(0 <= bucket.tokens <= bucket.units for bucket in buckets)

    def _other(self, host: Host) -> str:
        return self.random.choice([name for name in HOSTS if name != host.name])

    def _restart(self) -> None:
        self.world.restart(self.random.choice(HOSTS))

    def _remove(self) -> None:
        self.world.remove(self.random.choice(HOSTS))

    def _rejoin(self) -> None:
        self.world.rejoin(self.random.choice(HOSTS))

    def _freeze(self) -> None:
        host = self.world.hosts[self.random.choice(HOSTS)]
        host.frozen_until = self.world.now + self.random.uniform(0.1, 10)
        self.world.at(host.frozen_until - self.world.now, lambda: self.world.adopt(host))

    def _configure(self) -> None:
        share = self.random.choice((0.25, 0.5, 1.0))
        limits = {"w": Workspace(rate_per_s=RATE_PER_S * share, burst=int(BURST * share))}
        newest = self.world.states[-1].deployment
        changed = type(newest)(
            name=newest.name, places=newest.places, services={}, workspaces=limits
        )
        self.world.commit(deployment=changed)


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize(
    "faults",
    [
        (),
        ("restart",),
        ("remove", "restart"),
        ("remove", "rejoin", "rejoin"),
        ("configure",),
        ("freeze",),
        ("restart", "remove", "rejoin", "configure", "freeze"),
    ],
    ids=lambda faults: "+".join(faults) or "loss",
)
def test_no_window_ever_exceeds_rate_and_burst(seed: int, faults: tuple[str, ...]) -> None:
    spent_at = Scenario(seed, faults).run()
    assert len(spent_at) > BURST
    assert largest_excess(spent_at, RATE_PER_S, BURST) <= 0
