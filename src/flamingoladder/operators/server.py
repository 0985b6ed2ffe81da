"""The HTTP server for operators."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec
from aiohttp import web

from flamingoladder.config.agreed import AgreedState
from flamingoladder.config.agreed import Drain
from flamingoladder.config.agreed import DrainKind
from flamingoladder.config.agreed import Shift
from flamingoladder.config.changes import ApplyConfiguration
from flamingoladder.config.reader import read_deployment
from flamingoladder.daemon.settings import Role
from flamingoladder.decoding import Decoder
from flamingoladder.decoding import MalformedValueError
from flamingoladder.keys.changes import GrantKey
from flamingoladder.keys.changes import WithdrawKey
from flamingoladder.keys.issue import issue_key
from flamingoladder.members.changes import RemoveMember
from flamingoladder.operators.messages import ErrorCode
from flamingoladder.operators.messages import KeyEntry
from flamingoladder.operators.messages import KeyReply
from flamingoladder.operators.messages import KeyRequest
from flamingoladder.operators.messages import OperatorError
from flamingoladder.operators.messages import ReasonRequest
from flamingoladder.operators.messages import ShiftRequest
from flamingoladder.operators.messages import StateReply
from flamingoladder.operators.messages import TimelineReply
from flamingoladder.operators.replies import error_reply
from flamingoladder.operators.replies import json_reply
from flamingoladder.operators.replies import refused_reply
from flamingoladder.steering.drain_changes import AddDrain
from flamingoladder.steering.drain_changes import RemoveDrain
from flamingoladder.steering.shift_changes import EndShift
from flamingoladder.steering.shift_changes import StartShift

if TYPE_CHECKING:
    from ssl import SSLContext

    from aiohttp.typedefs import Handler

    from flamingoladder.freshness.changes import Change
    from flamingoladder.freshness.state_replica import StateReplica
    from flamingoladder.operators.access import OperatorAccess
    from flamingoladder.timeline.merge import TimelineCollector
    from flamingoladder.timeline.recorder import Recorder

B = TypeVar("B", bound=msgspec.Struct)

MAX_BODY_BYTES = 16_777_216
READING_METHODS = frozenset({"GET", "HEAD"})
EXPECTED_VERSION = re.compile(r'"(\d+)"')


class BadRequestError(Exception):
    """The call's body or headers are malformed; the message names what to mend."""


class OperatorServer:
    """Serves operators on one port. Viewers may read, operators may change."""

    __slots__ = ("_access", "_collector", "_keeper", "_recorder", "_runner")

    def __init__(
        self,
        keeper: StateReplica,
        collector: TimelineCollector,
        access: OperatorAccess,
        recorder: Recorder,
    ) -> None:
        self._keeper = keeper
        self._collector = collector
        self._access = access
        self._recorder = recorder
        self._runner: web.AppRunner | None = None

    async def start(self, address: str, port: int, ssl_context: SSLContext | None = None) -> None:
        """Listen for operators.

        :raises OSError: if the port can't be had.
        """
        self._runner = web.AppRunner(self.application(), access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, address, port, ssl_context=ssl_context).start()

    async def stop(self) -> None:
        """Finish the calls in progress and close the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    def application(self) -> web.Application:
        """Return the application, for tests without a port of its own."""
        application = web.Application(
            middlewares=[self._authorized, self._checked], client_max_size=MAX_BODY_BYTES
        )
        router = application.router
        router.add_get("/v1/state", self._state)
        router.add_get("/v1/status", self._status)
        router.add_get("/v1/timeline", self._timeline)
        router.add_put("/v1/configuration", self._apply)
        router.add_post("/v1/keys", self._grant)
        router.add_delete("/v1/keys/{key_id}", self._withdraw)
        router.add_put("/v1/drains/{kind}/{name:.+}", self._drain)
        router.add_delete("/v1/drains/{kind}/{name:.+}", self._undrain)
        router.add_put("/v1/shifts/{shift_id}", self._start_shift)
        router.add_delete("/v1/shifts/{shift_id}", self._end_shift)
        router.add_delete("/v1/members/{host}", self._forget)
        return application

    @web.middleware
    async def _authorized(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        role = self._access.role_of(request.headers.get("Authorization", ""))
        if role is None:
            detail = "send an operator token as Authorization: Bearer TOKEN"
            return error_reply(OperatorError(ErrorCode.UNAUTHORIZED, detail))
        if role is not Role.OPERATOR and request.method not in READING_METHODS:
            detail = "this token may only read; use one with the role operator"
            return error_reply(OperatorError(ErrorCode.FORBIDDEN, detail))
        return await handler(request)

    @web.middleware
    async def _checked(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        try:
            return await handler(request)
        except BadRequestError as error:
            return error_reply(OperatorError(ErrorCode.BAD_REQUEST, str(error)))

    async def _state(self, _request: web.Request) -> web.Response:
        state = await self._keeper.read_newest()
        if state is None:
            return error_reply(_no_state())
        return json_reply(_state_reply(state))

    async def _status(self, _request: web.Request) -> web.Response:
        return json_reply(await self._keeper.status())

    async def _timeline(self, request: web.Request) -> web.Response:
        since = request.query.get("since", "0")
        if not since.isdecimal():
            raise BadRequestError(f"since={since}: give a clock value, a whole number")
        return json_reply(TimelineReply(tuple(await self._collector.collect(int(since)))))

    async def _apply(self, request: web.Request) -> web.Response:
        matched = EXPECTED_VERSION.fullmatch(request.headers.get("If-Match", ""))
        if matched is None:
            raise BadRequestError('If-Match: give the expected configuration version, as in "7"')
        reading = read_deployment(await request.read())
        if reading.is_error():
            problems = tuple(reading.error)
            detail = f"{len(problems)} problems"
            error = OperatorError(ErrorCode.INVALID_CONFIGURATION, detail, problems=problems)
            return error_reply(error)
        return await self._commit(ApplyConfiguration(int(matched[1]), reading.ok))

    async def _grant(self, request: web.Request) -> web.Response:
        issued = issue_key((await _body(request, KeyRequest)).workspace)
        self._record("grant", key_id=issued.grant.key_id)
        result = await self._keeper.commit(GrantKey(issued.grant))
        if result.is_error():
            return refused_reply(result.error)
        grant = issued.grant
        return json_reply(KeyReply(grant.key_id, grant.workspace, issued.key, result.ok.in_force))

    async def _withdraw(self, request: web.Request) -> web.Response:
        return await self._commit(WithdrawKey(request.match_info["key_id"]))

    async def _drain(self, request: web.Request) -> web.Response:
        reason = (await _body(request, ReasonRequest)).reason
        if not reason.strip():
            raise BadRequestError("reason: empty; say why")
        return await self._commit(AddDrain(self._drain_of(request, reason)))

    async def _undrain(self, request: web.Request) -> web.Response:
        return await self._commit(RemoveDrain(self._drain_of(request, "")))

    async def _start_shift(self, request: web.Request) -> web.Response:
        body = await _body(request, ShiftRequest)
        if not 0 < body.share <= 1:
            raise BadRequestError(f"share: {body.share} is not above 0 and up to 1")
        if body.cap_per_s <= 0:
            raise BadRequestError(f"cap_per_s: {body.cap_per_s} is not above 0")
        shift = Shift(request.match_info["shift_id"], **msgspec.structs.asdict(body))
        return await self._commit(StartShift(shift))

    async def _end_shift(self, request: web.Request) -> web.Response:
        return await self._commit(EndShift(request.match_info["shift_id"]))

    async def _forget(self, request: web.Request) -> web.Response:
        return await self._commit(RemoveMember(request.match_info["host"]))

    async def _commit(self, change: Change) -> web.Response:
        self._record(type(change).__name__, scope=change.scope)
        result = await self._keeper.commit(change)
        return json_reply(result.ok) if result.is_ok() else refused_reply(result.error)

    def _drain_of(self, request: web.Request, reason: str) -> Drain:
        kind, name = request.match_info["kind"], request.match_info["name"]
        if kind not in list(DrainKind):
            raise BadRequestError(f"kind {kind}: use one of {', '.join(DrainKind)}")
        state = self._keeper.current
        if state is not None and name not in _drainable(state, DrainKind(kind)):
            raise BadRequestError(f"no {kind} {name}")
        return Drain(DrainKind(kind), name, reason)

    def _record(self, action: str, **fields: object) -> None:
        self._recorder.record("operator.call", action=action, **fields)


async def _body(request: web.Request, body_type: type[B]) -> B:
    try:
        return Decoder.of_json(body_type).decode(await request.read())
    except MalformedValueError as error:
        raise BadRequestError(f"body: {error}") from error


def _no_state() -> OperatorError:
    return OperatorError(ErrorCode.NO_STATE, "no configuration is known; apply one")


def _drainable(state: AgreedState, kind: DrainKind) -> frozenset[str]:
    deployment = state.deployment
    if kind is DrainKind.HOST:
        return frozenset(state.members_by_host) | {
            drain.name for drain in state.drains if drain.kind is kind
        }
    if kind is DrainKind.FAILURE_DOMAIN:
        regions = deployment.places.regions.values()
        return frozenset(name for region in regions for name in region.failure_domains)
    return frozenset(
        f"{service_name}/{target_name}"
        for service_name, service in deployment.services.items()
        for target_name in service.targets
    )


def _state_reply(state: AgreedState) -> StateReply:
    return StateReply(
        version=state.version,
        configuration_version=state.configuration_version,
        deployment=state.deployment,
        keys=tuple(
            KeyEntry(grant.key_id, grant.workspace, grant.withdrawn) for grant in state.grants
        ),
        members=state.members,
        drains=state.drains,
        shifts=state.shifts,
        exceptions=state.deployment.exceptions,
    )
