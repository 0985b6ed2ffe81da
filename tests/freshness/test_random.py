"""Seeded runs of random faults and changes that check the guarantees at every step."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import pytest

from flamingoladder.config.agreed import KeyGrant
from flamingoladder.config.changes import ApplyConfiguration
from flamingoladder.freshness.commit_results import RefusalKind
from flamingoladder.keys.changes import GrantKey
from flamingoladder.keys.changes import WithdrawKey
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.storage.hostlist import HostStatus
from flamingoladder.storage.hostlist import ListedHost
from tests.freshness.fleet import Fleet
from tests.freshness.fleet import renamed

if TYPE_CHECKING:
    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.freshness.changes import Change
    from flamingoladder.standins.memory import StoredTableCopy

FLEET_SIZE = 5
RUN_S = 40.0
HEAL_S = 15.0
# A step injects a fault, or starts a change, with a probability equal to its length in seconds:
# one of each a second on average.
STEP_S = 0.02
COPY_INTERVAL_S = 0.5
MAX_LOST_S = 10.0
GOING_BACK_FRACTION = 0.25


class RandomRun:
    """One run; ``in_force_version`` and ``withdrawn`` hold what was reported to operators."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.fleet = Fleet(FLEET_SIZE, seed)
        self.in_force_version = 0
        self.withdrawn: set[str] = set()
        self.granted: set[str] = set()
        self.refused_grants: set[str] = set()
        self.outcome_unknown: set[str] = set()
        self.key_count = 0
        self.versions_by_incarnation: dict[str, int] = {}
        self.tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Inject faults and changes, heal all faults, then compare the final states."""
        await self.fleet.bootstrap()
        ends_at = self.fleet.now + RUN_S
        while self.fleet.now < ends_at:
            if self.random.random() < STEP_S:
                await self._inject_fault()
            if self.random.random() < STEP_S:
                self.tasks.append(asyncio.create_task(self._commit_random_change()))
            await self._step()
        await self._heal()

    async def _step(self) -> None:
        await asyncio.sleep(STEP_S)
        settled_version = self._settled_division_version()
        for host, replica in self.fleet.replicas_by_host.items():
            if replica.current is None:
                continue
            self._check_version_not_lower(replica.incarnation, replica.current.version)
            if not replica.has_proof(self.fleet.now):
                continue
            assert replica.current.version >= self.in_force_version, f"{host} serves an old version"
            assert replica.current.version >= settled_version, f"{host} acts on an earlier division"
            served = {grant.key_id for grant in replica.current.grants if not grant.withdrawn}
            assert not served & self.withdrawn, f"{host} serves a withdrawn key"

    def _settled_division_version(self) -> int:
        now = self.fleet.now
        replicas = [
            replica for replica in self.fleet.replicas if replica.division_settles_at() <= now
        ]
        states = [replica.current for replica in replicas]
        return max((state.division_version for state in states if state), default=0)

    def _check_version_not_lower(self, incarnation: str, version: int) -> None:
        assert version >= self.versions_by_incarnation.get(incarnation, 0)
        self.versions_by_incarnation[incarnation] = version

    async def _inject_fault(self) -> None:
        fleet = self.fleet
        host = self.random.choice(fleet.hosts)
        fault = self.random.randrange(8)
        if fault == 0:
            fleet.cut_store(self.random.sample(fleet.hosts, self.random.randint(1, FLEET_SIZE)))
        elif fault == 1:
            fleet.cut_store(fleet.hosts, down=False)
        elif fault == 2:
            fleet.faults_by_host[host].lost_answers = self.random.randint(1, 2)
        elif fault == 3:
            split_at = self.random.randint(1, FLEET_SIZE - 1)
            hosts = self.random.sample(fleet.hosts, FLEET_SIZE)
            fleet.cut(hosts[:split_at], hosts[split_at:])
        elif fault == 4:
            fleet.network.cuts.clear()
        elif fault == 5:
            fleet.network.loss = self.random.choice([0.0, 0.0, 0.2, 0.5])
        elif fault == 6:
            await self._stop_or_start(host)
        else:
            await self._change_host_list()

    async def _stop_or_start(self, host: str) -> None:
        if host in self.fleet.replicas_by_host:
            await self.fleet.kill(host)
        if self.random.random() < 0.6:
            self.fleet.start(host)

    async def _change_host_list(self) -> None:
        listed = [host for host in self.fleet.hosts if self.random.random() < 0.7]
        self.fleet.host_list.hosts = tuple(ListedHost(host, HostStatus.LIVE) for host in listed)

    async def _commit_random_change(self) -> None:
        running = list(self.fleet.replicas_by_host)
        if not running:
            return
        host = self.random.choice(running)
        if self.random.random() < 0.2:
            await self._apply_configuration(host)
        elif self.granted - self.withdrawn and self.random.random() < 0.5:
            await self._withdraw(host)
        else:
            await self._grant(host)

    async def _grant(self, host: str) -> None:
        self.key_count += 1
        key_id = f"key-{self.key_count}"
        refusal_kind = await self._commit(host, GrantKey(KeyGrant(key_id, "camp", key_id)))
        if refusal_kind is None:
            self.granted.add(key_id)
        elif refusal_kind is RefusalKind.OUTCOME_UNKNOWN:
            self.outcome_unknown.add(key_id)
        else:
            self.refused_grants.add(key_id)

    async def _withdraw(self, host: str) -> None:
        key_id = self.random.choice(sorted(self.granted - self.withdrawn))
        await self._commit(host, WithdrawKey(key_id), key_id)

    async def _apply_configuration(self, host: str) -> None:
        current = self.fleet.replicas_by_host[host].current
        if current is not None:
            name = f"config-{self.random.random()}"
            await self._commit(
                host, ApplyConfiguration(current.configuration_version, renamed(name))
            )

    async def _commit(self, host: str, change: Change, key_id: str = "") -> RefusalKind | None:
        replica = self.fleet.replicas_by_host[host]
        try:
            result = await replica.commit(change)
        except asyncio.CancelledError:
            return RefusalKind.OUTCOME_UNKNOWN
        if result.is_error():
            return result.error.kind
        if result.ok.in_force:
            self.in_force_version = max(self.in_force_version, result.ok.version)
            self.withdrawn |= {key_id} - {""}
        return None

    async def _heal(self) -> None:
        fleet = self.fleet
        fleet.network.cuts.clear()
        fleet.network.loss = 0.0
        fleet.cut_store(fleet.hosts, down=False)
        for faults in fleet.faults_by_host.values():
            faults.lost_answers = 0
        fleet.host_list.hosts = tuple(ListedHost(host, HostStatus.LIVE) for host in fleet.hosts)
        for host in fleet.hosts:
            if host not in fleet.replicas_by_host:
                fleet.start(host)
        healed_at = fleet.now
        while fleet.now < healed_at + HEAL_S:
            await self._step()
        await asyncio.gather(*self.tasks)
        states = [fleet.state(host) for host in fleet.hosts]
        assert all(replica.has_proof(fleet.now) for replica in fleet.replicas)
        assert all(state == states[0] for state in states)
        assert "task.failed" not in fleet.event_kinds()
        self._check_keys(states[0])

    def _check_keys(self, state: AgreedState) -> None:
        key_ids = [grant.key_id for grant in state.grants if grant.key_id.startswith("key-")]
        assert len(key_ids) == len(set(key_ids)), "a grant was duplicated"
        assert set(key_ids) >= self.granted, "a grant was lost"
        assert not set(key_ids) & self.refused_grants, "a refused grant took effect"
        withdrawn = {grant.key_id for grant in state.grants if grant.withdrawn}
        assert withdrawn >= self.withdrawn, "a withdrawal was lost"


class RestoringRun(RandomRun):
    """A run in which the store comes back from copies up to ``MAX_LOST_S`` old, and no host dies.

    A change that was committed and not reported in force may be lost then.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.copies: list[tuple[float, StoredTableCopy]] = []

    async def _step(self) -> None:
        if not self.copies or self.fleet.now - self.copies[-1][0] >= COPY_INTERVAL_S:
            self.copies.append((self.fleet.now, self.fleet.stored_table.copy()))
        await super()._step()

    async def _inject_fault(self) -> None:
        if self.random.random() < GOING_BACK_FRACTION:
            now = self.fleet.now
            recent = [copy for at, copy in self.copies if now - at <= MAX_LOST_S]
            self.fleet.stored_table.restore(self.random.choice(recent))
        else:
            await super()._inject_fault()

    async def _stop_or_start(self, host: str) -> None:
        """Stop none: what only dead hosts knew is lost with the store's copy."""

    async def _commit(self, host: str, change: Change, key_id: str = "") -> RefusalKind | None:
        in_force_before = self.in_force_version
        refusal_kind = await super()._commit(host, change, key_id)
        if refusal_kind is None and self.in_force_version == in_force_before:
            return RefusalKind.OUTCOME_UNKNOWN
        return refusal_kind


@pytest.mark.parametrize("seed", range(12))
def test_guarantees_hold_if_the_store_comes_back_from_older_copies(seed: int) -> None:
    run_on_injected_time(RestoringRun(seed).run())


@pytest.mark.parametrize("seed", range(12))
def test_guarantees_hold_under_random_faults(seed: int) -> None:
    run_on_injected_time(RandomRun(seed).run())
