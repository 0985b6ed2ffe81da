"""Several hosts' ledgers over one table and network, with an upstream that counts its runs."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from reactivex import empty

from flamingoladder.config.agreed import StateInForce
from flamingoladder.config.model import Route
from flamingoladder.gateway.request import CallerRequest
from flamingoladder.ledger.ledger import ClaimLedger
from flamingoladder.members.state import Member
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
    from reactivex import Observable

    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.verdict import Outcome

RUN_S = 0.05
STORE_DELAY_S = 0.005
DEADLINE_S = 2.0


class NoState(StateInForce):
    """A state in force before the first commit."""

    @property
    def changes(self) -> Observable[AgreedState]:
        """Return no states."""
        return empty()

    @property
    def current(self) -> AgreedState | None:
        """Return None."""
        return None

    def has_proof(self, now: float) -> bool:
        """Return True."""
        return True


class Upstream:
    """Counts runs by key; the next ``refusals_left`` requests are refused before any byte left."""

    __slots__ = ("crashes", "refusals_left", "run_s", "runs", "silent")

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.run_s = RUN_S
        self.refusals_left = 0
        self.crashes = False
        self.silent = False

    async def run(self, request: CallerRequest) -> Outcome:
        """Run the request and answer with its idempotency key."""
        key = request.idempotency_key or ""
        if self.refusals_left > 0:
            self.refusals_left -= 1
            return Error(Refusal.not_run(Reason.NO_CAPACITY, "no slot"))
        self.runs[key] += 1
        await asyncio.sleep(self.run_s if not self.silent else 3600.0)
        if self.crashes:
            return Error(Refusal.may_have_run(Reason.UPSTREAM_LOST, "connection reset"))
        return Ok(Answer(201, (), f"{key} run {self.runs[key]}".encode()))


class Host:
    """One incarnation's ledger; ``faults`` are those of its own access to the table."""

    __slots__ = ("faults", "fleet", "ledger", "member", "task")

    def __init__(self, fleet: Fleet, name: str, incarnation: str) -> None:
        self.fleet = fleet
        self.member = Member(name, "r", "r1", incarnation, f"http://{name}", "", "")
        self.faults = Faults()
        self.faults.delay_s = STORE_DELAY_S
        self.ledger = ClaimLedger.from_config(
            MemoryTable(fleet.stored, self.faults),
            MemoryObjects(fleet.objects),
            fleet.network.join(name, incarnation),
            Recorder(name, incarnation),
            self.member,
            NoState(),
        )
        self.task = asyncio.create_task(self.ledger.serve())

    async def send(
        self,
        key: str | None,
        *,
        digest: str = "d1",
        fresh: bool = False,
        deadline_s: float = DEADLINE_S,
    ) -> Outcome:
        """Send a booking through this host."""
        now = asyncio.get_running_loop().time()
        request = booking(key, digest=digest, fresh=fresh, deadline=now + deadline_s)
        return await self.ledger.run_once(request, self.fleet.upstream.run)


class Fleet:
    """Hosts by name, and what they share."""

    __slots__ = ("by_name", "network", "objects", "stored", "upstream")

    def __init__(self, *names: str, seed: int = 1) -> None:
        self.stored = StoredTable()
        self.objects: dict[str, bytes] = {}
        self.network = Network(Random(seed), delay_s=0.002)
        self.upstream = Upstream()
        self.by_name = {name: Host(self, name, f"{name}-1") for name in names}

    def __getitem__(self, name: str) -> Host:
        return self.by_name[name]


def booking(key: str | None, *, digest: str, fresh: bool, deadline: float) -> CallerRequest:
    """Return a booking of workspace ``w``."""
    return CallerRequest(
        request_id="r",
        service="bookings",
        route=Route(path="/bookings", methods=("POST",), idempotent=False),
        method="POST",
        path="/bookings",
        headers=(),
        body=b"",
        digest=digest,
        deadline=deadline,
        workspace="w",
        key_id="k",
        idempotency_key=key,
        fresh_key=fresh,
    )
