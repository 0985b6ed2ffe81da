"""Hosts in one process on injected time, driven by a caller and an operator."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

from aiohttp.test_utils import make_mocked_request
from expression import Ok

from flamingoladder.config.changes import ApplyConfiguration
from flamingoladder.config.reader import read_deployment
from flamingoladder.daemon.host_slices import HostSlices
from flamingoladder.daemon.platform_services import PlatformServices
from flamingoladder.gateway.handler import RequestHandler
from flamingoladder.gateway.in_flight import InFlightCounter
from flamingoladder.gateway.responses import outcome_response
from flamingoladder.gateway.stages import Dispatcher
from flamingoladder.keys.changes import GrantKey
from flamingoladder.keys.issue import issue_key
from flamingoladder.members.member import Member
from flamingoladder.standins.memory import Faults
from flamingoladder.standins.memory import MemoryHostList
from flamingoladder.standins.memory import MemoryObjects
from flamingoladder.standins.memory import MemoryTable
from flamingoladder.standins.memory import StoredTable
from flamingoladder.standins.network import Network
from flamingoladder.storage.hostlist import HostStatus
from flamingoladder.storage.hostlist import ListedHost
from flamingoladder.timeline.recorder import Recorder
from flamingoladder.verdict import Answer
from tests.golden.transcript import Transcript
from tests.golden.transcript import described

if TYPE_CHECKING:
    from expression import Result

    from flamingoladder.freshness.changes import Change
    from flamingoladder.freshness.commit_results import CommitRefused
    from flamingoladder.freshness.commit_results import CommitReport
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.keys.issue import IssuedKey
    from flamingoladder.verdict import Outcome

EXAMPLE = Path(__file__).parents[2] / "examples" / "tjaldvik.yaml"
WORKSPACE = "midnight-sun"
HOSTS = ("h1", "h2", "h3")
DELAY_S = 0.02
RUN_S = 0.01
START_S = 5.0


class Upstream(Dispatcher):
    """An upstream that runs each request and counts the runs."""

    __slots__ = ("_transcript", "run_s", "runs")

    def __init__(self, transcript: Transcript) -> None:
        self._transcript = transcript
        self.run_s = RUN_S
        self.runs = 0

    async def dispatch(self, request: CallerRequest) -> Outcome:
        """Run the request."""
        self.runs += 1
        run = self.runs
        self._transcript.add(f"upstream runs {request.method} {request.path} as run {run}")
        await asyncio.sleep(self.run_s)
        return Ok(Answer(200, (), f"run {run}".encode()))


class Session:
    """Three hosts, one in each region, with a configuration in force and a key granted."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.transcript = Transcript(loop.time)
        self.network = Network(Random(1), DELAY_S)
        self.upstream = Upstream(self.transcript)
        self.stored = StoredTable()
        self.faults = Faults()
        self.by_host: dict[str, HostSlices] = {}
        self.handlers_by_host: dict[str, RequestHandler] = {}
        self.key: IssuedKey = issue_key(WORKSPACE)
        self._content_by_name: dict[str, bytes] = {}

    async def start(self) -> None:
        """Start all hosts; the transcript begins when they are ready."""
        listed = tuple(ListedHost(host, HostStatus.LIVE) for host in HOSTS)
        for host, region in zip(HOSTS, ("reykjavik", "akureyri", "egilsstadir"), strict=True):
            member = Member(host, region, f"{region}-a", f"{host}-1", f"http://{host}", "", "")
            platform = PlatformServices(
                MemoryTable(self.stored, self.faults),
                MemoryObjects(self._content_by_name, self.faults),
                MemoryHostList(listed, self.faults),
            )
            recorder = Recorder(host, member.incarnation)
            links = self.network.join(host, member.incarnation)
            slices = HostSlices.from_config(member, platform, links, recorder)
            slices.start()
            self.by_host[host] = slices
            self.handlers_by_host[host] = RequestHandler(
                slices.stages(self.upstream), InFlightCounter()
            )
        deployment = read_deployment(EXAMPLE.read_bytes()).ok
        await self.by_host["h1"].keeper.commit(ApplyConfiguration(0, deployment))
        await asyncio.sleep(START_S)
        await self.by_host["h1"].keeper.commit(GrantKey(self.key.grant))
        await asyncio.sleep(START_S)
        self.network.tap = self.transcript.tap

    async def call(
        self, host: str, method: str, path: str, idempotency_key: str = "", *, fresh: bool = False
    ) -> str | None:
        """Send a caller's request to ``host``; return the ticket if a refusal offers one."""
        headers = {"Authorization": f"Bearer {self.key.key}"}
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
            headers["Flamingoladder-Fresh-Key"] = str(int(fresh))
        self.transcript.add(f"caller   > {host} {method} {path} {idempotency_key}".rstrip())
        request = make_mocked_request(method, path, headers)
        now = asyncio.get_running_loop().time()
        outcome = await self.handlers_by_host[host].handle(request, f"r-{method}-{path}", now)
        self._add_response(host, outcome)
        return outcome.error.ticket if outcome.is_error() else None

    async def ask_outcome(self, host: str, idempotency_key: str) -> None:
        """Ask ``host`` what became of an earlier request."""
        self.transcript.add(f"caller   > {host} outcome of {idempotency_key}")
        outcome = await self.by_host[host].ledger.outcome_of(WORKSPACE, idempotency_key)
        self._add_response(host, outcome)

    async def operate(self, host: str, change: Change) -> Result[CommitReport, CommitRefused]:
        """Commit an operator's change through ``host``."""
        self.transcript.add(f"operator > {host} {type(change).__name__} {change.scope}")
        result = await self.by_host[host].keeper.commit(change)
        told = result.ok if result.is_ok() else result.error
        self.transcript.add(f"operator < {host} {described(told)}")
        return result

    async def close(self) -> None:
        """Stop all hosts."""
        for slices in self.by_host.values():
            await slices.close()

    def _add_response(self, host: str, outcome: Outcome) -> None:
        response = outcome_response(outcome, "r")
        verdict = response.headers["Flamingoladder-Verdict"]
        body = response.body if isinstance(response.body, bytes) else b""
        self.transcript.add(f"caller   < {host} {response.status} {verdict} {body.decode()}")
