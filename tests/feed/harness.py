"""Hosts that follow a store in memory, on injected time."""

from __future__ import annotations

import asyncio
from base64 import b64decode
from base64 import b64encode
from collections import Counter
from random import Random
from typing import TYPE_CHECKING
from typing import NoReturn

from flamingoladder.feed.contact import StoreContact
from flamingoladder.feed.exchange import FeedExchange
from flamingoladder.feed.followers import FollowerSelection
from flamingoladder.feed.proving_watcher import ProvingWatcher
from flamingoladder.feed.quiet_watcher import QuietWatcher
from flamingoladder.feed.reader import TableReader
from flamingoladder.feed.timing import FeedTiming
from flamingoladder.feed.watcher import FeedServices
from flamingoladder.fleet.exchange import RegionalReportExchange
from flamingoladder.fleet.members import MemberRegistry
from flamingoladder.fleet.messages import HostReport
from flamingoladder.fleet.relays import RegionRelays
from flamingoladder.members.member import Member
from flamingoladder.platform.standins.tables import Tables
from flamingoladder.standins.network import Network
from flamingoladder.storage.exceptions import HistoryLostError
from flamingoladder.storage.exceptions import PlatformUnavailableError
from flamingoladder.storage.exceptions import StoreWentBackError
from flamingoladder.storage.feed import StoredRow
from flamingoladder.storage.feed import StoredRows
from flamingoladder.storage.feed import StorePosition
from flamingoladder.storage.feed import TableFeed
from flamingoladder.timeline.recorder import Recorder

if TYPE_CHECKING:
    from collections.abc import Sequence

    from flamingoladder.platform.standins.tables import KeptRow

PROPAGATION_S = 2.5
ANSWER_S = 0.05
# Timers that are due sooner run without the injected time advancing.
CLOCK_STEP_S = 1e-6
CALL_TIMEOUT_S = 1.5
PROVING = "op"
QUIET = ("servers", "members")
TABLES = (PROVING, *QUIET)


class Store:
    """A store in memory. Calls of ``silent_hosts`` are never answered, those of others are.

    With ``loses_answers`` a silence also takes the answers to calls that came before it.
    """

    def __init__(self) -> None:
        self.tables = Tables()
        self.silent_hosts: set[str] = set()
        self.loses_answers = False
        self.refused_hosts: set[str] = set()
        self.calls_by_table: Counter[str] = Counter()
        self.calls_by_host: Counter[str] = Counter()

    def write(self, table: str, key: str, value: bytes) -> None:
        """Set a row."""
        self.tables.apply([((table, "", key), b64encode(value).decode())], [])

    def delete(self, table: str, key: str) -> None:
        """Delete a row."""
        self.tables.apply([], [(table, "", key)])


class StoreClient(TableFeed):
    """One host's calls to the store."""

    def __init__(self, store: Store, host: str) -> None:
        self._store = store
        self._host = host

    async def read_all(self, table: str) -> StoredRows:
        """Return all rows."""
        async with self._call(table, 0.0):
            tables = self._store.tables
            rows = tuple(_stored(row) for row in tables.rows(table, "", "", None))
            return StoredRows(rows, StorePosition(tables.era, tables.version))

    async def follow(self, table: str, after: StorePosition, wait_s: float) -> StoredRows:
        """Return the changes, or none after ``wait_s``."""
        tables = self._store.tables
        ends_at = asyncio.get_running_loop().time() + wait_s
        async with self._call(table, wait_s):
            while True:
                if tables.era != after.era:
                    raise StoreWentBackError
                rows = tables.changes(table, after.version)
                if rows is None:
                    raise HistoryLostError
                left_s = ends_at - asyncio.get_running_loop().time()
                if rows or left_s <= CLOCK_STEP_S:
                    return StoredRows(
                        tuple(_stored(row) for row in rows),
                        StorePosition(tables.era, tables.version),
                    )
                try:
                    await asyncio.wait_for(tables.wait_for_change(), left_s)
                except TimeoutError:
                    continue

    def _call(self, table: str, wait_s: float) -> _Call:
        self._store.calls_by_table[table] += 1
        self._store.calls_by_host[self._host] += 1
        return _Call(self._store, self._host, wait_s)


class _Call:
    """One call: it is lost if the store is silent when it is sent."""

    def __init__(self, store: Store, host: str, wait_s: float) -> None:
        self._store = store
        self._host = host
        self._wait_s = wait_s
        self._given_up_at = 0.0

    async def __aenter__(self) -> None:
        self._given_up_at = asyncio.get_running_loop().time() + self._wait_s + CALL_TIMEOUT_S
        await asyncio.sleep(ANSWER_S)
        if self._host in self._store.refused_hosts:
            raise PlatformUnavailableError("refused")
        if self._host in self._store.silent_hosts:
            await self._lose()

    async def __aexit__(self, kind: type[BaseException] | None, *_: object) -> None:
        if kind is None and self._store.loses_answers and self._host in self._store.silent_hosts:
            await self._lose()

    async def _lose(self) -> NoReturn:
        await asyncio.sleep(self._given_up_at - asyncio.get_running_loop().time())
        raise PlatformUnavailableError("no answer")


class Seen(TableReader):
    """Keeps what it is told, with the time of each change."""

    def __init__(self) -> None:
        self.by_key: dict[str, bytes] = {}
        self.changed_at = 0.0
        self.regained_times = 0
        self.went_back_times = 0
        self.regained_at = 0.0
        self.history: list[tuple[str, bytes | None]] = []

    def replace(self, rows: Sequence[StoredRow], now: float) -> None:
        """Keep these rows only."""
        self.by_key.clear()
        self.change(rows, now)

    def change(self, rows: Sequence[StoredRow], now: float) -> None:
        """Keep the changes."""
        self.changed_at = now
        for row in rows:
            self.history.append((row.key, row.value))
            if row.value is None:
                self.by_key.pop(row.key, None)
            else:
                self.by_key[row.key] = row.value

    def went_back(self, rows: Sequence[StoredRow], now: float) -> None:
        """Count the store's old copies."""
        self.went_back_times += 1

    def regained(self, now: float) -> None:
        """Count the returns, and keep the time of the last."""
        self.regained_times += 1
        self.regained_at = now


class Host:
    """A host that follows three tables."""

    def __init__(self, fleet: Fleet, member: Member) -> None:
        self.member = member
        self.seen_by_table = {table: Seen() for table in TABLES}
        recorder = Recorder(member.host, member.incarnation, kept_events=0)
        links = fleet.network.join(member.host, member.incarnation)
        self.members = MemberRegistry(member.host, recorder)
        relays = RegionRelays(member, self.members)
        reports = RegionalReportExchange(links, self.members, relays, _report, _apply)
        timing = FeedTiming.from_bound(PROPAGATION_S)
        self.followers = FollowerSelection(relays, timing.proof_lifetime_s)
        self.exchange = FeedExchange(links, self.followers)
        services = FeedServices(
            StoreClient(fleet.store, member.host),
            self.exchange,
            self.followers,
            StoreContact(),
            timing,
            recorder,
        )
        quiet = [QuietWatcher(table, self.seen_by_table[table], services) for table in QUIET]
        proving = ProvingWatcher(PROVING, self.seen_by_table[PROVING], services, quiet)
        self.watchers = [proving, *quiet]
        self._tasks = [
            asyncio.create_task(run())
            for run in (reports.run, *(watcher.run for watcher in self.watchers))
        ]

    def kill(self) -> None:
        """End the host's tasks."""
        for task in self._tasks:
            task.cancel()


class Fleet:
    """Hosts of one store; ``regions`` lists the region of each host."""

    def __init__(self, regions: Sequence[str]) -> None:
        self.store = Store()
        self.network = Network(Random(1), delay_s=0.002)
        self._members = [
            Member(f"h{number}", region, f"{region}-a", "1", f"h{number}:80", "tcp://h", "k")
            for number, region in enumerate(regions)
        ]
        self.hosts: list[Host] = []

    async def start(self, settle_s: float = 8.0) -> None:
        """Start all hosts and let them find their followers."""
        now = asyncio.get_running_loop().time()
        self.hosts = [Host(self, member) for member in self._members]
        for host in self.hosts:
            for member in self._members:
                host.members.put(member, now)
        await asyncio.sleep(settle_s)

    @property
    def names(self) -> set[str]:
        """Return the names of all hosts."""
        return {member.host for member in self._members}

    def followers(self) -> list[Host]:
        """Return the hosts that poll the store as followers."""
        now = asyncio.get_running_loop().time()
        return [host for host in self.hosts if host.followers.is_follower(now)]

    def others(self) -> list[Host]:
        """Return the hosts that are no followers."""
        followers = self.followers()
        return [host for host in self.hosts if host not in followers]

    def relay(self) -> Host:
        """Return the first host that relays changes."""
        now = asyncio.get_running_loop().time()
        return next(host for host in self.hosts if host.followers.is_relay(now))

    async def in_force_after_s(
        self, table: str, key: str, value: bytes | None, hosts: Sequence[Host], limit_s: float
    ) -> float:
        """Return the seconds until all ``hosts`` have the row."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        while any(host.seen_by_table[table].by_key.get(key) != value for host in hosts):
            if loop.time() - started > limit_s:
                raise TimeoutError(f"{key} is not in force after {limit_s} s")
            await asyncio.sleep(0.01)
        return loop.time() - started


def _stored(row: KeptRow) -> StoredRow:
    value = None if row.value is None else b64decode(row.value)
    return StoredRow(row.key, value, row.version)


def _report(_now: float) -> HostReport:
    return HostReport()


def _apply(_now: float) -> None:
    return
