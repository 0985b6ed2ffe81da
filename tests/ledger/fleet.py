"""Test fleet: hosts' ledgers with a shared table and network, and an upstream that counts runs."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from reactivex import just

from flamingoladder.config.agreed import AgreedState
from flamingoladder.config.agreed import StateInForce
from flamingoladder.config.model import Delays
from flamingoladder.config.model import Deployment
from flamingoladder.config.model import Link
from flamingoladder.config.model import Places
from flamingoladder.config.model import Route
from flamingoladder.config.model import Workspace
from flamingoladder.gateway.request import CallerRequest
from flamingoladder.ledger.ledger import ClaimLedger
from flamingoladder.members.member import Member
from flamingoladder.standins.memory import Faults
from flamingoladder.standins.memory import MemoryObjects
from flamingoladder.standins.memory import MemoryTable
from flamingoladder.standins.memory import StoredTable
from flamingoladder.standins.network import Network
from flamingoladder.timeline.recorder import Recorder
from flamingoladder.verdict import Answer
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from collections.abc import Sequence

    from reactivex import Observable

    from flamingoladder.storage.table import Commit
    from flamingoladder.storage.table import Condition
    from flamingoladder.storage.table import Row
    from flamingoladder.storage.table import Rows
    from flamingoladder.storage.table import Write
    from flamingoladder.verdict import Outcome

RUN_S = 0.05
STORE_DELAY_S = 0.005
DEADLINE_S = 2.0
WORKSPACE = "w"


class FixedState(StateInForce):
    """A fixed agreed state."""

    __slots__ = ("_state",)

    def __init__(self, hosts: Sequence[str]) -> None:
        members = tuple(Member(host, "", "", "", f"http://{host}", "", "") for host in hosts)
        places = Places(
            regions={},
            delays=Delays(between_domains_ms=1.0, between_regions_ms=20.0, to_clients_ms=8.0),
            link=Link(mbit_per_s=1.0),
            store_region="",
        )
        workspaces = {WORKSPACE: Workspace()}
        deployment = Deployment(name="", places=places, services={}, workspaces=workspaces)
        self._state = AgreedState(1, 1, 1, deployment, members=members)

    @property
    def changes(self) -> Observable[AgreedState]:
        """Return the state."""
        return just(self._state)

    @property
    def current(self) -> AgreedState:
        """Return the state."""
        return self._state

    def has_proof(self, now: float) -> bool:
        """Return True."""
        return True


class Upstream:
    """An upstream that counts runs by key; ``run_s`` holds their durations by key in seconds.

    The next ``refusals_left`` requests are refused before they are sent. While ``crashes`` is set,
    requests run, but their answers are lost.
    """

    __slots__ = ("crashes", "refusals_left", "request_ids", "run_s", "runs")

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.request_ids: set[str] = set()
        self.run_s: dict[str, float] = {}
        self.refusals_left = 0
        self.crashes = False

    async def run(self, request: CallerRequest) -> Outcome:
        """Run the request and answer with its idempotency key."""
        key = request.idempotency_key or ""
        if self.refusals_left > 0:
            self.refusals_left -= 1
            return Error(Refusal.not_run(Reason.NO_CAPACITY, "no slot"))
        self.runs[key] += 1
        self.request_ids.add(request.request_id)
        await asyncio.sleep(self.run_s.get(key, RUN_S))
        if self.crashes:
            return Error(Refusal.may_have_run(Reason.UPSTREAM_LOST, "connection reset"))
        return Ok(Answer(201, (), f"{key} run {self.runs[key]}".encode()))


class FreezableTable(MemoryTable):
    """A table whose answers are withheld while the calling host is frozen."""

    __slots__ = ("unfrozen",)

    def __init__(self, stored: StoredTable, faults: Faults) -> None:
        super().__init__(stored, faults)
        self.unfrozen = asyncio.Event()
        self.unfrozen.set()

    async def read(self, prefix: str, timeout_s: float) -> Rows:
        """Return the rows once the host is not frozen."""
        rows = await super().read(prefix, timeout_s)
        await self.unfrozen.wait()
        return rows

    async def get(self, key: str, timeout_s: float) -> Row | None:
        """Return the row once the host is not frozen."""
        row = await super().get(key, timeout_s)
        await self.unfrozen.wait()
        return row

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write], timeout_s: float
    ) -> Commit:
        """Return the commit once the host is not frozen."""
        commit = await super().transact(conditions, writes, timeout_s)
        await self.unfrozen.wait()
        return commit


class Host:
    """One incarnation's ledger; ``faults`` are those of its own access to the table."""

    __slots__ = ("faults", "fleet", "ledger", "member", "serve_task", "table")

    def __init__(self, fleet: Fleet, name: str, incarnation: str) -> None:
        self.fleet = fleet
        self.member = Member(name, "r", "r1", incarnation, f"http://{name}", "", "")
        self.faults = Faults()
        self.faults.delay_s = STORE_DELAY_S
        self.table = FreezableTable(fleet.stored, self.faults)
        self.ledger = ClaimLedger.from_config(
            self.table,
            MemoryObjects(fleet.objects),
            fleet.network.join(name, incarnation),
            Recorder(name, incarnation),
            self.member,
            fleet.state,
        )
        self.serve_task = asyncio.create_task(self.ledger.serve())

    async def send(
        self,
        key: str | None,
        *,
        digest: str = "d1",
        fresh: bool = False,
        deadline_s: float = DEADLINE_S,
        request_id: str = "",
        workspace: str = WORKSPACE,
    ) -> Outcome:
        """Send a booking through this host."""
        request = CallerRequest(
            request_id=request_id,
            service="bookings",
            route=Route(path="/bookings", methods=("POST",), idempotent=False),
            method="POST",
            path="/bookings",
            headers=(),
            body=b"",
            digest=digest,
            deadline=asyncio.get_running_loop().time() + deadline_s,
            workspace=workspace,
            key_id="k",
            idempotency_key=key,
            fresh_key=fresh,
        )
        return await self.ledger.run_once(request, self.fleet.upstream.run)

    def freeze(self) -> None:
        """Suspend the host's communication with table and peers."""
        self.table.unfrozen.clear()
        self.fleet.network.freeze(self.member.host)

    def thaw(self) -> None:
        """Resume the host's communication."""
        self.table.unfrozen.set()
        self.fleet.network.thaw(self.member.host)

    def kill(self) -> None:
        """Stop the host abruptly; requests already at an upstream continue there."""
        self.table.unfrozen.clear()
        self.fleet.network.leave(self.member.host)
        self.serve_task.cancel()


class Fleet:
    """Hosts by name, with their shared table, objects, network and upstream."""

    __slots__ = (
        "by_name",
        "incarnation_count",
        "network",
        "objects",
        "state",
        "stored",
        "upstream",
    )

    def __init__(self, *names: str, seed: int = 1) -> None:
        self.stored = StoredTable()
        self.objects: dict[str, bytes] = {}
        self.network = Network(Random(seed), delay_s=0.002)
        self.upstream = Upstream()
        self.state = FixedState(names)
        self.incarnation_count = 1
        self.by_name = {name: Host(self, name, f"{name}-1") for name in names}

    def __getitem__(self, name: str) -> Host:
        return self.by_name[name]

    def restart(self, name: str) -> Host:
        """Start a new incarnation of a host."""
        self.incarnation_count += 1
        self.by_name[name] = Host(self, name, f"{name}-{self.incarnation_count}")
        return self.by_name[name]

    def hosts(self) -> tuple[Host, ...]:
        """Return the present incarnations of all hosts."""
        return tuple(self.by_name.values())


async def abandon_claim(fleet: Fleet) -> None:
    """Let host ``a`` give up a request with key ``k`` whose claim the store has."""
    host = fleet["a"]
    host.faults.lost_answers = 1
    request = asyncio.create_task(host.send("k"))
    await asyncio.sleep(0.1)
    host.faults.down = True
    await request
