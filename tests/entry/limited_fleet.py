"""Several hosts on injected time, before targets that say things of themselves."""

from __future__ import annotations

import asyncio
from collections import Counter
from math import inf
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
from flamingoladder.targets.notices import PauseNotice
from flamingoladder.targets.notices import TargetNotice
from flamingoladder.targets.rate_limit import NO_RATE_LIMIT
from flamingoladder.targets.rate_limit import RateLimitNotice
from flamingoladder.verdict import Answer
from tests.entry.harness import SHED
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
NOTHING_SAID = TargetNotice(rate_limit=NO_RATE_LIMIT)


class Arrival(msgspec.Struct, frozen=True):
    """A request that reached a target."""

    host: str
    target: str
    at: float


class LimitedTargets:
    """Targets that name limits and pauses in their answers, or say there that they leave."""

    def __init__(self) -> None:
        self.per_s_by_target: dict[str, float] = {}
        self.pause_until_by_target: dict[str, float] = {}
        self.leaving: set[str] = set()
        self.arrivals: list[Arrival] = []
        self.turned_away: list[Arrival] = []
        self.told_at: dict[tuple[str, str], float] = {}

    def notice_of(self, target_id: str, now: float) -> TargetNotice:
        """Return what the target's answers say now."""
        per_s = self.per_s_by_target.get(target_id)
        pause_s = self.pause_until_by_target.get(target_id, now) - now
        return TargetNotice(
            rate_limit=NO_RATE_LIMIT if per_s is None else RateLimitNotice(per_s),
            pause=PauseNotice(pause_s) if pause_s > 0 else None,
            leaving=target_id in self.leaving,
        )

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

    def count_after_told(self, target_id: str, slack_s: float) -> int:
        """Return the requests from hosts that were told anything over ``slack_s`` before."""
        return sum(
            arrival.at - self.told_at.get((arrival.host, target_id), inf) > slack_s
            for arrival in self.arrivals
            if arrival.target == target_id
        )

    def most_in_pause(self, target_id: str, slack_s: float, until: float) -> int:
        """Return the most requests of a host after it had been turned away for ``slack_s``."""
        first_by_host: dict[str, float] = {}
        for turned in self.turned_away:
            if turned.target == target_id:
                first_by_host.setdefault(turned.host, turned.at)
        counts = Counter(
            arrival.host
            for arrival in self.arrivals
            if arrival.target == target_id
            and first_by_host.get(arrival.host, inf) + slack_s < arrival.at < until
        )
        return max(counts.values(), default=0)

    def most_at_work(self, target_id: str, since: float) -> int:
        """Return the most requests that came to the target within the time of one run."""
        times = [a.at for a in self.arrivals if a.target == target_id and a.at > since]
        return most_in_window(times, RUN_S)

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
        if self._targets.pause_until_by_target.get(target_id, 0.0) > now():
            self._targets.turned_away.append(Arrival(self._host, target_id, now()))
            notice = self._targets.notice_of(target_id, now())
            await asyncio.sleep(PATH_S)
            return msgspec.structs.replace(SHED, notice=notice)
        await asyncio.sleep(RUN_S)
        notice = self._targets.notice_of(target_id, now())
        await asyncio.sleep(PATH_S)
        if notice != NOTHING_SAID:
            self._targets.told_at.setdefault((self._host, target_id), now())
        return SendResult(
            SendStatus.ANSWERED,
            "",
            Answer(200, (), b"hello"),
            notice=notice,
        )


class LimitedFleet:
    """Hosts that exchange reports, and the requests that callers send to them."""

    def __init__(self, hosts: int) -> None:
        self.targets = LimitedTargets()
        self.outcomes: list[Outcome] = []
        self._random = Random(SEED)
        self._tasks: set[asyncio.Task[object]] = set()
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

    def crowd(self, requests: int, tries: int) -> None:
        """Send requests to every host now; those refused come back when they are told to."""
        for host in self.hosts:
            for _ in range(requests):
                self._start(self._come_back(host, tries))

    async def _come_back(self, host: EntryHarness, tries: int) -> None:
        for _ in range(tries):
            outcome = await self._request(host)
            if outcome.is_ok():
                return
            await asyncio.sleep(outcome.error.retry_after_s or 0.0)

    def share_of(self, host: EntryHarness, target_id: str) -> int:
        """Return the host's part of the one request that a target with a small limit gets."""
        members = host.members
        return fleet_share(1, target_id, members.own_host, members.members_by_host).requests

    async def _request(self, host: EntryHarness) -> Outcome:
        now = asyncio.get_running_loop().time()
        number = len(self.outcomes)
        request = incoming(
            f"/get/{number}",
            request_id=str(number),
            affinity_key=str(self._random.randrange(OBJECTS)),
        )
        outcome = await host.handler.handle(request, now)
        self.outcomes.append(outcome)
        return outcome

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

    def _start(self, work: Coroutine[object, object, object]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
