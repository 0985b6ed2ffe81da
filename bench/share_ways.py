"""Four ways to hold workspaces to their rates over all hosts."""

from __future__ import annotations

import asyncio
from abc import ABC
from abc import abstractmethod
from random import Random
from typing import TYPE_CHECKING

import msgspec

from bench.fleet import network
from bench.fleet import request
from bench.fleet import successor
from flamingoladder.shares.admission import ShareAdmission
from flamingoladder.shares.bucket import Bucket
from flamingoladder.shares.bucket import Part
from flamingoladder.shares.demand import Demand
from flamingoladder.shares.division import Division
from flamingoladder.shares.division import workspace_allowance
from flamingoladder.standins.memory import MemoryTable
from flamingoladder.standins.memory import StoredTable
from flamingoladder.standins.state import SettableState
from flamingoladder.standins.state import last_proof_ends_at
from flamingoladder.storage.exceptions import PlatformError
from flamingoladder.storage.table import Condition
from flamingoladder.storage.table import Write
from flamingoladder.timeline.recorder import Recorder

if TYPE_CHECKING:
    from bench.fleet import Arrival
    from flamingoladder.config.agreed import AgreedState

DEADLINE_S = 2.0
STORE_TIMEOUT_S = 0.5
REBALANCE_S = 3.0
LEARN_S = 0.02
FLOOR_SHARE = 0.02


class Way(ABC):
    """Admits arrivals, and counts what that costs."""

    name = ""

    def __init__(self, state: AgreedState, seed: int) -> None:
        self.state = state
        self.network = network(state, Random(seed))
        self.stored = StoredTable()
        self.tables = {m.host: self._table(m.host) for m in state.members}
        self.tasks_by_host: dict[str, asyncio.Task[None]] = {}

    def _table(self, host: str) -> MemoryTable:
        table = MemoryTable(self.stored)
        table.faults.delay_s = max(self.network.delays_by_pair[("h0", host)], 0.0005)
        return table

    @abstractmethod
    async def admit(self, arrival: Arrival) -> bool:
        """Return whether the request may run."""

    def kill(self, host: str) -> None:
        """End a host at once."""
        self.network.leave(host)
        if host in self.tasks_by_host:
            self.tasks_by_host[host].cancel()

    def take_out(self, host: str) -> None:
        """Take a dead host out of the members."""
        left = tuple(member for member in self.state.members if member.host != host)
        self.state = successor(self.state, left)

    def configure(self) -> None:
        """Put a changed configuration in force that leaves the limits as they are."""
        self.state = successor(self.state, self.state.members)

    def stop_store(self) -> None:
        """Make the table unavailable to all hosts."""
        for table in self.tables.values():
            table.faults.down = True

    def close(self) -> None:
        """Stop all tasks."""
        for task in self.tasks_by_host.values():
            task.cancel()


class FixedSplit(Way):
    """Each host has an equal part and nothing moves."""

    name = "fixed split"

    def __init__(self, state: AgreedState, seed: int) -> None:
        super().__init__(state, seed)
        self.division = Division.from_state(state)
        now = asyncio.get_running_loop().time()
        self.buckets = {
            (m.host, allowance): self._bucket(allowance, m.host, m.incarnation, now)
            for m in state.members
            for allowance in self.division.total_by_allowance
        }

    def _bucket(self, allowance: str, host: str, incarnation: str, now: float) -> Bucket:
        bucket = Bucket(now)
        part = self.division.part_of(allowance, host, incarnation)
        bucket.divide(
            part, last_proof_ends_at(self.state.deployment.defaults, now), now, follows=False
        )
        return bucket

    async def admit(self, arrival: Arrival) -> bool:
        now = asyncio.get_running_loop().time()
        key = (arrival.host, workspace_allowance(arrival.workspace))
        return self.buckets[key].spend(now)

    def take_out(self, host: str) -> None:
        super().take_out(host)
        now = asyncio.get_running_loop().time()
        self.division = Division.from_state(self.state)
        for (name, allowance), bucket in self.buckets.items():
            part = self.division.part_of(allowance, name, "1")
            bucket.divide(
                part, last_proof_ends_at(self.state.deployment.defaults, now), now, follows=True
            )


class Rebalanced(FixedSplit):
    """Parts follow the demand of the last seconds, through rows of the table."""

    name = "rebalanced by table"

    def __init__(self, state: AgreedState, seed: int) -> None:
        super().__init__(state, seed)
        self.demands = {key: Demand(0.0) for key in self.buckets}
        for each in state.members:
            self.tasks_by_host[each.host] = asyncio.create_task(self._rebalance(each.host))

    async def admit(self, arrival: Arrival) -> bool:
        key = (arrival.host, workspace_allowance(arrival.workspace))
        self.demands[key].arrive(asyncio.get_running_loop().time())
        return await super().admit(arrival)

    async def _rebalance(self, host: str) -> None:
        loop = asyncio.get_running_loop()
        turn = 0
        while True:
            turn += 1
            await asyncio.sleep(turn * REBALANCE_S - loop.time())
            try:
                await self._publish(host, turn)
                await asyncio.sleep(turn * REBALANCE_S + STORE_TIMEOUT_S - loop.time())
                rows = await self.tables[host].read(f"demand/{turn}/", STORE_TIMEOUT_S)
            except PlatformError:
                continue
            decode = msgspec.msgpack.Decoder(dict[str, float]).decode
            self._divide(host, {row.key.split("/")[2]: decode(row.value) for row in rows.rows})

    async def _publish(self, host: str, turn: int) -> None:
        now = asyncio.get_running_loop().time()
        demands = {
            name: self.demands[(host, name)].per_s(now) for at, name in self.demands if at == host
        }
        write = Write(f"demand/{turn}/{host}", msgspec.msgpack.encode(demands))
        await self.tables[host].transact((), (write,), STORE_TIMEOUT_S)

    def _divide(self, host: str, demands_by_host: dict[str, dict[str, float]]) -> None:
        if len(demands_by_host) < len(self.state.members) or host not in demands_by_host:
            return
        now = asyncio.get_running_loop().time()
        may_grow_at = last_proof_ends_at(self.state.deployment.defaults, now)
        for name, total in self.division.total_by_allowance.items():
            told = [demands[name] for demands in demands_by_host.values()]
            floor = FLOOR_SHARE * sum(told) + 1e-9
            share = (demands_by_host[host][name] + floor) / sum(each + floor for each in told)
            part = Part(int(total.units * share), int(total.rate * share))
            self.buckets[(host, name)].divide(part, may_grow_at, now, follows=True)


class Counter(msgspec.Struct, array_like=True):
    """A row with a workspace's tokens at a time."""

    tokens: float
    at: float


class CentralCounter(Way):
    """Each request is a conditional write to the workspace's row."""

    name = "write for each request"

    def __init__(self, state: AgreedState, seed: int) -> None:
        super().__init__(state, seed)
        self.rows: dict[tuple[str, str], tuple[int, Counter]] = {}

    async def admit(self, arrival: Arrival) -> bool:
        loop = asyncio.get_running_loop()
        until = loop.time() + DEADLINE_S
        while loop.time() < until:
            try:
                spent = await self._try(arrival.host, arrival.workspace, loop.time())
            except PlatformError:
                return False
            if spent is not None:
                return spent
        return False

    async def _try(self, host: str, workspace: str, now: float) -> bool | None:
        deployment = self.state.deployment
        burst = float(deployment.burst_of(workspace))
        revision, counter = self.rows.get((host, workspace), (0, Counter(burst, 0.0)))
        gained = max(0.0, now - counter.at) * deployment.rate_of(workspace)
        tokens = min(burst, counter.tokens + gained)
        value = msgspec.msgpack.encode(Counter(tokens - 1, max(now, counter.at)))
        writes = (Write(workspace, value),) if tokens >= 1 else ()
        conditions = (Condition(workspace, revision),)
        commit = await self.tables[host].transact(conditions, writes, STORE_TIMEOUT_S)
        if not commit.committed:
            await self._read(host, workspace)
            return None
        if writes:
            self.rows[(host, workspace)] = (commit.revision, Counter(tokens - 1, now))
        return bool(writes)

    async def _read(self, host: str, workspace: str) -> None:
        row = await self.tables[host].get(workspace, STORE_TIMEOUT_S)
        if row is not None:
            counter = msgspec.msgpack.decode(row.value, type=Counter)
            self.rows[(host, workspace)] = (row.revision, counter)


class Loans(Way):
    """Divided parts with loans between hosts and a short hold."""

    name = "loans and hold"

    def __init__(self, state: AgreedState, seed: int) -> None:
        super().__init__(state, seed)
        self.states = {m.host: SettableState(state) for m in state.members}
        self.admissions = {
            m.host: ShareAdmission.from_config(
                self.network.join(m.host, m.incarnation),
                self.states[m.host],
                Recorder(m.host, m.incarnation),
                m.host,
                m.incarnation,
            )
            for m in state.members
        }

    async def admit(self, arrival: Arrival) -> bool:
        entry = self.admissions[arrival.host]
        refusal = await entry.admit(request(arrival.workspace, arrival.at + DEADLINE_S))
        return refusal is None

    def kill(self, host: str) -> None:
        super().kill(host)
        self.admissions[host].close()

    def take_out(self, host: str) -> None:
        super().take_out(host)
        self._put()

    def configure(self) -> None:
        super().configure()
        self._put()

    def _put(self) -> None:
        loop = asyncio.get_running_loop()
        for delay, state in enumerate(self.states.values()):
            loop.call_later(delay * LEARN_S, state.put, self.state)

    def close(self) -> None:
        for admission in self.admissions.values():
            admission.close()


WAYS: tuple[type[Way], ...] = (FixedSplit, CentralCounter, Rebalanced, Loans)
