"""Fakes of the stages, and a gateway that runs with them."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from expression import Error
from expression import Ok

from flamingoladder.gateway.server import GatewayServer
from flamingoladder.gateway.stages import Admission
from flamingoladder.gateway.stages import Dispatcher
from flamingoladder.gateway.stages import GatewayStages
from flamingoladder.gateway.stages import Ledger
from flamingoladder.keys.authentication import GrantedKeys
from flamingoladder.steering.lookup import MemberLookup
from flamingoladder.timeline.recorder import Recorder
from flamingoladder.verdict import Answer
from flamingoladder.verdict import Header
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal
from tests.gateway.states import KEY
from tests.gateway.states import FixedState
from tests.gateway.states import agreed

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from multidict import CIMultiDictProxy

    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.gateway.stages import RequestRunner
    from flamingoladder.memory.budget import MemoryBudget
    from flamingoladder.verdict import Outcome


class Gate:
    """Gate that tasks wait at until it is open; ``reached`` is set once a task has arrived."""

    __slots__ = ("opened", "reached")

    def __init__(self) -> None:
        self.opened = asyncio.Event()
        self.opened.set()
        self.reached = asyncio.Event()

    async def wait(self) -> None:
        """Wait until the gate is open."""
        self.reached.set()
        await self.opened.wait()


class GatedAdmission(Admission):
    """Admission that admits each request once the gate is open."""

    __slots__ = ("gate",)

    def __init__(self) -> None:
        self.gate = Gate()

    async def admit(self, request: CallerRequest, now: float) -> Refusal | None:
        """Wait until the gate is open and admit the request."""
        await self.gate.wait()
        return None

    def refund(self, request: CallerRequest) -> None:
        """Do nothing, as this fake counts no requests."""


class MemoryLedger(Ledger):
    """Ledger that stores outcomes in memory."""

    __slots__ = ("outcomes_by_key",)

    def __init__(self) -> None:
        self.outcomes_by_key: dict[tuple[str | None, str | None], Outcome] = {}

    async def run_once(self, request: CallerRequest, run: RequestRunner) -> Outcome:
        """Run the request unless its outcome is stored."""
        key = (request.workspace, request.idempotency_key)
        if key not in self.outcomes_by_key:
            self.outcomes_by_key[key] = await run(request)
        return self.outcomes_by_key[key]

    async def outcome_of(self, workspace: str, idempotency_key: str) -> Outcome:
        """Return the stored outcome, or a refusal if there is none."""
        unknown = Refusal.not_run(Reason.CLAIM_OWNER_UNREACHABLE, "never seen")
        return self.outcomes_by_key.get((workspace, idempotency_key), Error(unknown))

    def issue_ticket(self, workspace: str) -> str:
        """Return a ticket."""
        return f"ticket-{workspace}"


class RecordingDispatcher(Dispatcher):
    """Dispatcher that records requests and, once the gate is open, answers with their paths."""

    __slots__ = ("answer_bytes", "gate", "requests")

    def __init__(self) -> None:
        self.requests: list[CallerRequest] = []
        self.answer_bytes: int | None = None
        self.gate = Gate()

    async def dispatch(self, request: CallerRequest) -> Outcome:
        """Answer with the path, or with ``answer_bytes`` zero bytes if that is set."""
        self.requests.append(request)
        await self.gate.wait()
        if request.path == "/fault":
            raise RuntimeError("fault in a stage")
        headers = (Header("X-Kind", "echo"), Header("Flamingoladder-Verdict", "not_run"))
        if self.answer_bytes is not None:
            return Ok(Answer(200, headers, bytes(self.answer_bytes)))
        return Ok(Answer(200, headers, request.path.encode()))


class Gateway:
    """A gateway with fake stages, and a client session that sends requests to it."""

    __slots__ = (
        "admission",
        "dispatcher",
        "ledger",
        "recorder",
        "server",
        "session",
        "stages",
        "state",
    )

    def __init__(
        self,
        state: FixedState,
        dispatcher: Dispatcher | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.state = state
        self.admission = GatedAdmission()
        self.ledger = MemoryLedger()
        self.dispatcher = RecordingDispatcher()
        self.recorder = Recorder("h1", "h1-1")
        self.stages = GatewayStages(
            state=state,
            keys=GrantedKeys(state),
            admission=self.admission,
            ledger=self.ledger,
            dispatcher=dispatcher or self.dispatcher,
            lookups=MemberLookup(state, "north-a", "north"),
            recorder=self.recorder,
        )
        self.server = GatewayServer(self.stages, "127.0.0.1", 0, memory=memory)
        self.session = aiohttp.ClientSession()

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://127.0.0.1:{self.server.port}"

    async def send(
        self, path: str, method: str = "GET", key: str | None = KEY, **options: object
    ) -> Reply:
        """Send a request with the key, if any, and return the reply."""
        headers = dict(options.pop("headers", {}))  # type: ignore[call-overload]
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        url = f"{self.url}{path}"
        async with self.session.request(method, url, headers=headers, **options) as response:  # type: ignore[arg-type]
            return Reply(response.status, response.headers, await response.read())


class Reply:
    """A response as a caller receives it."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: CIMultiDictProxy[str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def verdict(self) -> str | None:
        """Return the verdict."""
        return self.headers.get("Flamingoladder-Verdict")

    @property
    def refusal(self) -> Refusal:
        """Return the body as a refusal."""
        return msgspec.json.decode(self.body, type=Refusal)


@asynccontextmanager
async def running_gateway(
    state: FixedState | None = None,
    dispatcher: Dispatcher | None = None,
    memory: MemoryBudget | None = None,
) -> AsyncIterator[Gateway]:
    """Run a gateway for one test."""
    gateway = Gateway(state or FixedState(agreed()), dispatcher, memory)
    await gateway.server.start()
    try:
        yield gateway
    finally:
        await gateway.session.close()
        await gateway.server.stop(1.0)
