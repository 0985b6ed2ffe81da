"""Sends requests to targets and reads what their answers say."""

from __future__ import annotations

import asyncio
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING

from multidict import CIMultiDict
from yarl import URL

from flamingoladder.entry.results import ProbeResult
from flamingoladder.entry.results import SendResult
from flamingoladder.entry.results import SendStatus
from flamingoladder.entry.target_client import TargetClient
from flamingoladder.header_values import header
from flamingoladder.memory.accounts import Account
from flamingoladder.memory.accounts import AccountKind
from flamingoladder.platform import headers
from flamingoladder.platform.target_notices import notice_of
from flamingoladder.platform.target_notices import slow_start_s_of
from flamingoladder.transport.exchange import Exchange
from flamingoladder.transport.pool import Pool
from flamingoladder.transport.sending import EchoRule
from flamingoladder.transport.sending import FailureKind
from flamingoladder.transport.sending import Outgoing
from flamingoladder.verdict import Answer

if TYPE_CHECKING:
    from collections.abc import Callable

    from reactivex import Observable

    from flamingoladder.entry.request import RoutedRequest
    from flamingoladder.memory.budget import MemoryBudget
    from flamingoladder.targets.state import TargetState
    from flamingoladder.transport.sending import SendFailure
    from flamingoladder.verdict import Refusal

MS_PER_S = 1_000
KEPT_IDLE_S = 6.0
SILENCE_S = 1.0
ECHO = EchoRule(headers.REQUEST_ID, required=True)
PROBE_ECHO = EchoRule(headers.REQUEST_ID, required=False)

# Statuses that promise to a caller that the request never runs.
PROMISED_NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)

# The target answered, but with nothing that can be passed on.
UNUSABLE_ANSWERS = frozenset(
    {FailureKind.INVALID_STATUS, FailureKind.NO_ANSWER, FailureKind.TOO_LARGE}
)


class PlatformTargets(TargetClient):
    """Kept connections to each target.

    ``connections_of`` tells this host's part of the connections that a service's target accepts.
    ``refusal_of`` decides, once a request has its connection, whether it may still be sent.
    ``memory`` bounds the answers of all targets, which are ``HeldAnswer``.
    """

    __slots__ = ("_connections_of", "_memory", "_pools_by_target", "_refusal_of", "_tasks")

    def __init__(
        self,
        removed: Observable[str],
        connections_of: Callable[[str], int],
        refusal_of: Callable[[RoutedRequest, TargetState, float], Refusal | None],
        memory: MemoryBudget,
    ) -> None:
        self._memory = memory
        self._connections_of = connections_of
        self._refusal_of = refusal_of
        self._pools_by_target: dict[str, Pool] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        removed.subscribe(self._drop)

    async def send(self, request: RoutedRequest, target: TargetState) -> SendResult:
        """Send the request once."""
        pool = self._pool(target)
        check = partial(self._refusal_of, request, target)
        exchange = Exchange(request.target_deadline, check, request.connect_by)
        sent = await pool.send(_outgoing(request, target), exchange)
        if isinstance(sent, Answer):
            return _to_result(sent, reused=exchange.reused)
        if sent.kind is FailureKind.TIMEOUT and sent.reused and exchange.answer.steps == 0:
            # The connection may be silent for good, and the others that were kept with it.
            self._drop(target.record.target_id)
        return _to_failed_result(sent, exchange.refusal)

    async def probe(self, target: TargetState, path: str, timeout_s: float) -> ProbeResult:
        """Ask the target whether it is healthy, over a new connection."""
        pool = Pool(1, keep=False, memory=self._memory)
        url = URL(f"http://{target.record.address}{path}", encoded=True)
        exchange = Exchange(asyncio.get_running_loop().time() + timeout_s)
        try:
            sent = await pool.send(
                Outgoing("GET", url, CIMultiDict(), b"", "", PROBE_ECHO), exchange
            )
        finally:
            await pool.retire()
        if not isinstance(sent, Answer):
            return ProbeResult(False, 0.0)
        if header(sent, headers.INSTANCE_ID) != target.record.target_id:
            return ProbeResult(False, 0.0)
        notice = notice_of(sent)
        if sent.status != HTTPStatus.OK:
            return ProbeResult(False, 0.0, notice)
        return ProbeResult(True, slow_start_s_of(sent), notice)

    async def close(self) -> None:
        """Close all connections as their requests end."""
        for name in list(self._pools_by_target):
            await self._pools_by_target.pop(name).retire()

    def _pool(self, target: TargetState) -> Pool:
        target_id = target.record.target_id
        pool = self._pools_by_target.get(target_id)
        if pool is None:
            limit = self._connections_of(target.record.service)
            pool = Pool(
                limit,
                keep=True,
                memory=self._memory,
                keep_s=KEPT_IDLE_S,
                silence_s=SILENCE_S,
                accounts=(Account(AccountKind.TARGET, target_id),),
                parted=True,
            )
            self._pools_by_target[target_id] = pool
        return pool

    def _drop(self, target_id: str) -> None:
        pool = self._pools_by_target.pop(target_id, None)
        if pool is None:
            return
        task = asyncio.ensure_future(pool.retire())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _outgoing(request: RoutedRequest, target: TargetState) -> Outgoing:
    incoming = request.incoming
    fields: CIMultiDict[str] = CIMultiDict()
    for passed in incoming.headers:
        fields.add(passed.name, passed.value)
    left_s = request.target_deadline - asyncio.get_running_loop().time()
    fields[headers.DEADLINE_MS] = str(max(1, int(left_s * MS_PER_S)))
    fields[headers.EXPECT_INSTANCE] = target.record.target_id
    if request.workspace is not None:
        fields[headers.TENANT_ID] = request.workspace.name
    url = URL(f"http://{target.record.address}{incoming.path}", encoded=True)
    return Outgoing(
        incoming.method, url, fields, incoming.body, incoming.request_id, ECHO, incoming.path
    )


def _to_result(answer: Answer, *, reused: bool) -> SendResult:
    if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
        return SendResult(SendStatus.MISDIRECTED, "another target has the address")
    notice = notice_of(answer)
    if header(answer, headers.NOT_EXECUTED) is not None:
        detail = f"the target did not run it (status {answer.status})"
        return SendResult(SendStatus.NOT_RUN, detail, None, reused, notice)
    signed = header(answer, headers.SIGNATURE) is not None
    if answer.status < HTTPStatus.BAD_REQUEST and signed:
        return SendResult(SendStatus.ANSWERED, "", answer, reused, notice)
    if answer.status < HTTPStatus.BAD_REQUEST or answer.status in PROMISED_NOT_RUN_STATUSES:
        detail = f"status {answer.status} that can't be passed on"
        return SendResult(SendStatus.FAILED, detail, None, reused, notice)
    detail = f"the target answered with status {answer.status}"
    return SendResult(SendStatus.FAILED, detail, answer, reused, notice)


def _to_failed_result(failure: SendFailure, refusal: Refusal | None) -> SendResult:
    if failure.kind is FailureKind.REFUSED:
        return SendResult(SendStatus.REFUSED, failure.detail, refusal=refusal)
    if not failure.may_have_run:
        return SendResult(SendStatus.NO_CONNECTION, failure.detail)
    if failure.kind in UNUSABLE_ANSWERS:
        return SendResult(SendStatus.FAILED, failure.detail, reused=failure.reused)
    if failure.kind is FailureKind.TIMEOUT:
        return SendResult(SendStatus.TIMEOUT, failure.detail, reused=failure.reused)
    return SendResult(SendStatus.CONNECTION_LOST, failure.detail, reused=failure.reused)
