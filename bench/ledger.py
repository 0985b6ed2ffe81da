"""What a booking costs by claim rows and by tickets, with the store up, slow and out."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from random import Random
from typing import TYPE_CHECKING

from expression import Ok

from bench.fleet import KALAHARI
from bench.fleet import ROUTE
from bench.fleet import TJALDVIK
from bench.fleet import Site
from bench.fleet import agreed
from bench.fleet import members
from flamingoladder.config.model import Workspace
from flamingoladder.gateway.request import CallerRequest
from flamingoladder.ledger.ledger import ClaimLedger
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.standins.memory import Faults
from flamingoladder.standins.memory import MemoryObjects
from flamingoladder.standins.memory import MemoryTable
from flamingoladder.standins.memory import StoredTable
from flamingoladder.standins.network import Network
from flamingoladder.standins.state import SettableState
from flamingoladder.timeline.recorder import Recorder
from flamingoladder.verdict import Answer
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from flamingoladder.members.member import Member
    from flamingoladder.verdict import Outcome

SEED = 7
RUN_S = 0.03
RATE_PER_S = 70.0
BOOKINGS = 2_800
QUICK_BOOKINGS = 700
DEADLINE_S = 2.0
SLOW_S = 0.2
SETTLE_S = 3.0
MS_PER_S = 1_000
WORKSPACE = "w"
HEADINGS = "site      store  way                  served%  doubt%  p50 ms  p99 ms  writes/booking"


class Way(StrEnum):
    """How a booking is kept from running twice."""

    NONE = "no claim"
    CLAIM_ROW = "claim row"
    CLAIM_ROW_FRESH = "claim row, fresh key"
    TICKET = "ticket"


class Store(StrEnum):
    """The state of the store during a run."""

    UP = "up"
    SLOW = "slow"
    OUT = "out"


class Host:
    """One host's ledger, with the delay of its region to the store."""

    def __init__(
        self, own: Member, site: Site, store: Store, stored: StoredTable, network: Network
    ) -> None:
        faults = Faults()
        near = own.region == "r0"
        faults.delay_s = (site.between_domains_ms if near else site.between_regions_ms) / MS_PER_S
        faults.delay_s += SLOW_S if store is Store.SLOW else 0.0
        faults.down = store is Store.OUT
        self.ledger = ClaimLedger.from_config(
            MemoryTable(stored, faults),
            MemoryObjects({}),
            network.join(own.host, own.incarnation),
            Recorder(own.host, own.incarnation),
            own,
            SettableState(agreed(site, {WORKSPACE: Workspace()})),
        )
        self.serving = asyncio.create_task(self.ledger.serve())


class Tally:
    """What became of the bookings of one run."""

    def __init__(self) -> None:
        self.latencies_ms: list[float] = []
        self.doubtful = 0
        self.runs = 0

    async def run(self, _request: CallerRequest) -> Outcome:
        """Run a booking at the upstream."""
        self.runs += 1
        await asyncio.sleep(RUN_S)
        return Ok(Answer(201, (), b"booked"))

    async def book(self, host: Host, way: Way, number: int) -> None:
        """Make one booking at the host, as a caller would."""
        began = asyncio.get_running_loop().time()
        outcome = await self._outcome(host, way, f"k{number}")
        if outcome.is_ok():
            elapsed_s = asyncio.get_running_loop().time() - began
            self.latencies_ms.append(elapsed_s * MS_PER_S)
        elif outcome.error.verdict is not Verdict.NOT_RUN:
            self.doubtful += 1

    async def _outcome(self, host: Host, way: Way, key: str) -> Outcome:
        if way is Way.NONE:
            return await self.run(_request(key))
        if way is Way.TICKET:
            key = host.ledger.issue_ticket(WORKSPACE)
        request = _request(key, fresh=way is Way.CLAIM_ROW_FRESH)
        outcome = await host.ledger.run_once(request, self.run)
        if outcome.is_ok() or outcome.error.ticket is None:
            return outcome
        return await host.ledger.run_once(_request(outcome.error.ticket), self.run)

    def percentile_ms(self, part: float) -> float:
        """Return a percentile of the latencies of bookings served, or 0 if there is none."""
        if not self.latencies_ms:
            return 0.0
        return sorted(self.latencies_ms)[int(part * (len(self.latencies_ms) - 1))]


def measure(quick: bool) -> None:
    """Print what became of the bookings, their latency inside a host and the store writes."""
    bookings = QUICK_BOOKINGS if quick else BOOKINGS
    print(f"seed {SEED}, {bookings} bookings at {RATE_PER_S:.0f}/s over 7 hosts, run {RUN_S} s")
    print(HEADINGS)
    for site in (TJALDVIK, KALAHARI):
        for store in Store:
            for way in Way:
                print(run_on_injected_time(_line(site, store, way, bookings)))


async def _line(site: Site, store: Store, way: Way, bookings: int) -> str:
    random = Random(SEED)
    stored = StoredTable()
    network = Network(random, delay_s=site.between_regions_ms / MS_PER_S)
    hosts = [Host(each, site, store, stored, network) for each in members()]
    tally = Tally()
    async with asyncio.TaskGroup() as tasks:
        for number in range(bookings):
            await asyncio.sleep(random.expovariate(RATE_PER_S))
            tasks.create_task(tally.book(random.choice(hosts), way, number))
    await asyncio.sleep(SETTLE_S)
    for host in hosts:
        host.serving.cancel()
    served = 100 * len(tally.latencies_ms) / bookings
    doubtful = 100 * tally.doubtful / bookings
    return (
        f"{site.name:9} {store:6} {way:20} {served:7.1f} {doubtful:7.1f}"
        f" {tally.percentile_ms(0.5):7.1f} {tally.percentile_ms(0.99):7.1f}"
        f" {stored.writes / bookings:15.2f}"
    )


def _request(key: str, *, fresh: bool = False) -> CallerRequest:
    now = asyncio.get_running_loop().time()
    return CallerRequest(
        request_id="r",
        service="bookings",
        route=ROUTE,
        method="POST",
        path="/",
        headers=(),
        body=b"",
        digest="d",
        deadline=now + DEADLINE_S,
        workspace=WORKSPACE,
        key_id="k",
        idempotency_key=key,
        fresh_key=fresh,
    )
