"""Several hosts on injected time, before targets that name rate limits."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.entry.results import SendResult
from flamingoladder.entry.results import SendStatus
from flamingoladder.fleet.exchange import RegionalReportExchange
from flamingoladder.fleet.relays import RegionRelays
from flamingoladder.members.member import Member
from flamingoladder.soak.windows import most_in_window
from flamingoladder.standins.network import Network
from flamingoladder.targets.fleet_share import fleet_share
from flamingoladder.targets.rate_limit import NO_RATE_LIMIT
from flamingoladder.targets.rate_limit import RateLimitNotice
from flamingoladder.verdict import Answer
from tests.entry.harness import EntryHarness
from tests.entry.harness import FakeTargetClient
from tests.entry.harness import incoming

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from flamingoladder.entry.request import RoutedRequest
    from flamingoladder.targets.state import TargetState
    from flamingoladder.verdict import Outcome

SEED = 11
PATH_S = 0.005
RUN_S = 0.05
OBJECTS = 40
SETTLE_S = 2.0
WINDOW_S = 4.0
TOLERATED_FACTOR = 1.5
TOLERATED_REQUESTS = 5.0
TOLD_BEFORE_S = 0.5


class Arrival(msgspec.Struct, frozen=True):
    """A request that reached a target."""

    host: str
    target: str
    at: float


class LimitedTargets:
    """Targets that name the limits in ``per_s_by_target`` in each answer."""

    def __init__(self) -> None:
        self.per_s_by_target: dict[str, float] = {}
        self.arrivals: list[Arrival] = []
        self.told_at: dict[tuple[str, str], float] = {}

    def notice_of(self, target_id: str) -> RateLimitNotice:
        """Return what the target's answers say now."""
        per_s = self.per_s_by_target.get(target_id)
        return NO_RATE_LIMIT if per_s is None else RateLimitNotice(per_s)

    def most_in_window(self, target_id: str, since: float) -> int:
        """Return the most requests in a window, after ``since`` and by hosts that were told."""
        times = [
            arrival.at
            for arrival in self.arrivals
            if arrival.target == target_id and arrival.at > since and self._was_told(arrival)
        ]
        return most_in_window(times, WINDOW_S)

    def count(self, target_id: str, since: float, until: float) -> int:
        """Return the requests that reached the target."""
        return sum(
            since < arrival.at <= until for arrival in self.arrivals if arrival.target == target_id
        )

    def _was_told(self, arrival: Arrival) -> bool:
        told_at = self.told_at.get((arrival.host, arrival.target))
        return told_at is not None and told_at <= arrival.at - TOLD_BEFORE_S


class LimitedTargetClient(FakeTargetClient):
    """One host's way to the targets."""

    def __init__(self, host: str, targets: LimitedTargets) -> None:
        super().__init__()
        self._host = host
        self._targets = targets

    async def send(self, request: RoutedRequest, target: TargetState) -> SendResult:
        now = asyncio.get_running_loop().time
        target_id = target.record.target_id
        await asyncio.sleep(PATH_S)
        self._targets.arrivals.append(Arrival(self._host, target_id, now()))
        await asyncio.sleep(RUN_S)
        notice = self._targets.notice_of(target_id)
        await asyncio.sleep(PATH_S)
        if notice.per_s is not None:
            self._targets.told_at.setdefault((self._host, target_id), now())
        return SendResult(SendStatus.ANSWERED, "", Answer(200, (), b"hello"), rate_limit=notice)


class LimitedFleet:
    """Hosts that exchange reports, and the requests that callers send to them."""

    def __init__(self, hosts: int) -> None:
        self.targets = LimitedTargets()
        self.outcomes: list[Outcome] = []
        self._random = Random(SEED)
        self._tasks: set[asyncio.Task[None]] = set()
        self.network = Network(self._random, delay_s=0.02)
        members = [
            Member(f"h{number:02}", f"r{number % 2 + 1}", "d", "1", f"h{number}:80", "tcp://h", "k")
            for number in range(hosts)
        ]
        self.hosts = [self._host(member, members) for member in members]

    async def serve(self, per_s: float, seconds: float, unused: EntryHarness | None = None) -> None:
        """Send requests to all hosts but the ``unused`` one in random order."""
        loop = asyncio.get_running_loop()
        used = [host for host in self.hosts if host is not unused]
        until = loop.time() + seconds
        while loop.time() < until:
            await asyncio.sleep(self._random.expovariate(per_s))
            self._start(self._request(self._random.choice(used)))

    def share_of(self, host: EntryHarness, target_id: str) -> int:
        """Return the host's part of the one request that a target with a small limit gets."""
        members = host.members
        return fleet_share(1, target_id, members.own_host, members.members_by_host).requests

    async def _request(self, host: EntryHarness) -> None:
        now = asyncio.get_running_loop().time()
        number = len(self.outcomes)
        request = incoming(
            f"/get/{number}",
            request_id=str(number),
            affinity_key=str(self._random.randrange(OBJECTS)),
        )
        self.outcomes.append(await host.handler.handle(request, now))

    def _host(self, member: Member, members: list[Member]) -> EntryHarness:
        client = LimitedTargetClient(member.host, self.targets)
        harness = EntryHarness(client, host=member.host, region=member.region)
        for other in members:
            harness.members.put(other, 0.0)
        exchange = RegionalReportExchange(
            self.network.join(member.host, member.incarnation),
            harness.members,
            RegionRelays(member, harness.members),
            harness.reporter.build_report,
            harness.reporter.apply_reports,
            harness.reporter.receive_report,
        )
        self._start(exchange.run())
        return harness

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
