"""HTTP connections to one target."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from multidict import CIMultiDict
from yarl import URL

from flamingoladder import fields
from flamingoladder.steering.chooser import AttemptOutcome
from flamingoladder.transport.exchange import Exchange
from flamingoladder.transport.pool import PoolPair
from flamingoladder.transport.sending import FailureKind
from flamingoladder.transport.sending import Outgoing
from flamingoladder.upstreams.attempt import AttemptFailure
from flamingoladder.verdict import Answer

if TYPE_CHECKING:
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.memory.budget import MemoryBudget
    from flamingoladder.transport.pool import Pool
    from flamingoladder.transport.sending import SendFailure

MS_PER_S = 1_000

OUTCOME_BY_FAILURE_KIND = {
    FailureKind.NO_CONNECTION: AttemptOutcome.UNREACHABLE,
    FailureKind.LOST: AttemptOutcome.LOST,
    FailureKind.INVALID_STATUS: AttemptOutcome.INVALID,
    FailureKind.NO_ANSWER: AttemptOutcome.SILENT,
    FailureKind.REFUSED: AttemptOutcome.CANCELLED,
    FailureKind.SILENT: AttemptOutcome.SILENT,
    FailureKind.TIMEOUT: AttemptOutcome.CANCELLED,
    FailureKind.TOO_LARGE: AttemptOutcome.ANSWERED,
}


class TargetConnections:
    """Connection pools for one target, which share ``limit`` connections."""

    __slots__ = ("_base_url", "_pools")

    def __init__(self, address: str, limit: int, memory: MemoryBudget) -> None:
        self._base_url = f"http://{address}"
        self._pools = PoolPair(limit, memory)

    async def send(self, request: CallerRequest, exchange: Exchange) -> Answer | AttemptFailure:
        """Send the request once; return the complete answer or the reason for the failure."""
        url = URL(self._base_url + request.path, encoded=True)
        outgoing = Outgoing(
            request.method,
            url,
            _headers(request),
            request.body,
            request.request_id,
            target=request.path,
        )
        idempotent = request.route.idempotent
        result = await self._pools.send(outgoing, exchange, idempotent=idempotent)
        return result if isinstance(result, Answer) else _attempt_failure(result, exchange)

    async def get(self, path: str, timeout_s: float) -> Answer | None:
        """Return the answer to a GET of ``path``, or None on failure or timeout.

        Tries a kept connection first. If only a new connection works, the kept ones are retired.
        """
        answer = await self._get(self._pools.kept, path, timeout_s)
        if answer is not None:
            return answer
        answer = await self.get_over_new_connection(path, timeout_s)
        if answer is not None:
            await self.renew()
        return answer

    async def get_over_new_connection(self, path: str, timeout_s: float) -> Answer | None:
        """Return the answer to a GET of ``path`` over a new connection, or None on failure."""
        return await self._get(self._pools.fresh, path, timeout_s)

    async def renew(self) -> None:
        """Stop using the kept connections for new requests."""
        await self._pools.renew()

    async def close(self) -> None:
        """Close each connection when its request ends."""
        await self._pools.close()

    async def _get(self, pool: Pool, path: str, timeout_s: float) -> Answer | None:
        url = URL(self._base_url + path)
        now = asyncio.get_running_loop().time()
        outgoing = Outgoing("GET", url, CIMultiDict(), b"", request_id="")
        result = await pool.send(outgoing, Exchange(now + timeout_s))
        return result if isinstance(result, Answer) else None


def _headers(request: CallerRequest) -> CIMultiDict[str]:
    headers: CIMultiDict[str] = CIMultiDict(
        [(header.name, header.value) for header in request.headers]
    )
    remaining_s = request.deadline - asyncio.get_running_loop().time()
    headers[fields.DEADLINE_MS] = str(max(0, int(remaining_s * MS_PER_S)))
    headers[fields.REQUEST_ID] = request.request_id
    if request.workspace is not None:
        headers[fields.WORKSPACE] = request.workspace
    if request.idempotency_key is not None:
        headers[fields.IDEMPOTENCY_KEY] = request.idempotency_key
    return headers


def _attempt_failure(failure: SendFailure, exchange: Exchange) -> AttemptFailure:
    stale_connection = failure.reused and failure.kind is FailureKind.LOST
    outcome = OUTCOME_BY_FAILURE_KIND[failure.kind]
    return AttemptFailure(
        outcome,
        failure.may_have_run,
        failure.detail,
        stale_connection=stale_connection,
        refusal=exchange.refusal,
    )
