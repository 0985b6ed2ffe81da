"""Requests to single entry hosts, with the verdict of each."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from multidict import CIMultiDict
from yarl import URL

from flamingoladder import fields
from flamingoladder.decoding import Decoder
from flamingoladder.decoding import MalformedValueError
from flamingoladder.memory.budget import MemoryBudget
from flamingoladder.transport.exchange import Exchange
from flamingoladder.transport.pool import PoolPair
from flamingoladder.transport.sending import FailureKind
from flamingoladder.transport.sending import Outgoing
from flamingoladder.verdict import Answer
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from flamingoladder.client.call import Call
    from flamingoladder.client.settings import CallerSettings
    from flamingoladder.transport.sending import SendFailure
    from flamingoladder.verdict import Outcome

ANSWER_MARGIN_S = 0.1
MS_PER_S = 1_000

_refusal_decoder = Decoder.of_json(Refusal)


class EntryHosts:
    """The connections to entry hosts, by base URL."""

    __slots__ = ("_memory", "_pools_by_url", "_settings")

    def __init__(self, settings: CallerSettings) -> None:
        self._settings = settings
        self._memory = MemoryBudget()
        self._pools_by_url: dict[str, PoolPair] = {}

    async def send(self, url: str, call: Call, deadline: float, abort_at: float) -> Outcome:
        """Send the call to the host at ``url``; both times are monotonic seconds.

        The host gets ``deadline`` in a header; at ``abort_at`` the connection is closed.
        """
        headers = self._headers(call.request_id)
        for header in call.headers:
            headers.add(header.name, header.value)
        headers[fields.DEADLINE_MS] = str(_deadline_ms(deadline))
        if not call.idempotent:
            headers[fields.IDEMPOTENCY_KEY] = call.key_in_use
            if call.fresh_key:
                headers[fields.FRESH_KEY] = "1"
        target = URL(f"{url}/services/{call.service}{call.path}", encoded=True)
        outgoing = Outgoing(call.method, target, headers, call.body, call.request_id)
        return await self._send(url, outgoing, abort_at, idempotent=call.idempotent)

    async def get(self, url: str, path: str, request_id: str, abort_at: float) -> Outcome:
        """Return the answer of the host at ``url`` to a GET of one of the system's own paths."""
        target = URL(url + path, encoded=True)
        outgoing = Outgoing("GET", target, self._headers(request_id), b"", request_id)
        return await self._send(url, outgoing, abort_at, idempotent=True)

    async def close(self) -> None:
        """Close all connections."""
        for pools in self._pools_by_url.values():
            await pools.close()
        self._pools_by_url.clear()

    async def _send(
        self, url: str, outgoing: Outgoing, abort_at: float, *, idempotent: bool
    ) -> Outcome:
        pools = self._pools_by_url.get(url)
        if pools is None:
            pools = self._pools_by_url[url] = PoolPair(self._settings.connections, self._memory)
        result = await pools.send(outgoing, Exchange(abort_at), idempotent=idempotent)
        if isinstance(result, Answer):
            return answer_outcome(result)
        if result.kind is FailureKind.TIMEOUT and result.reused:
            await pools.renew()
        return Error(_refusal(url, result))

    def _headers(self, request_id: str) -> CIMultiDict[str]:
        headers: CIMultiDict[str] = CIMultiDict({fields.REQUEST_ID: request_id})
        if self._settings.key is not None:
            headers[fields.AUTHORIZATION] = f"Bearer {self._settings.key}"
        return headers


def _deadline_ms(deadline: float) -> int:
    left_s = deadline - asyncio.get_running_loop().time()
    # The host's deadline is a little earlier than the caller's, so that its verdict arrives.
    margin_s = min(ANSWER_MARGIN_S, left_s / 10)
    return max(1, int((left_s - margin_s) * MS_PER_S))


def answer_outcome(answer: Answer) -> Outcome:
    """Return the answer, or the refusal that it contains.

    If it can't be read as either, the call may have run.
    """
    headers = {header.name.lower(): header.value for header in answer.headers}
    verdict = headers.get(fields.VERDICT.lower())
    if verdict == Verdict.RAN and fields.REASON.lower() not in headers:
        return Ok(answer)
    if verdict is None and answer.status < 400:
        return Ok(answer)
    try:
        return Error(_refusal_decoder.decode(answer.body))
    except MalformedValueError:
        detail = f"the host answered {answer.status} without a verdict"
        return Error(Refusal.may_have_run(Reason.INTERNAL_ERROR, detail))


def _refusal(url: str, failure: SendFailure) -> Refusal:
    detail = f"{url}: {failure.detail}"
    if not failure.may_have_run:
        return Refusal.not_run(Reason.HOST_UNREACHABLE, detail)
    if failure.kind is FailureKind.TIMEOUT:
        return Refusal.may_have_run(Reason.DEADLINE_PASSED, detail)
    return Refusal.may_have_run(Reason.HOST_LOST, detail)
