"""The caller library: sends calls to entry hosts and reports the verdict."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING
from urllib.parse import quote
from uuid import uuid4

import msgspec
from expression import Error

from flamingoladder.client.entry_hosts import MS_PER_S
from flamingoladder.client.entry_hosts import EntryHosts
from flamingoladder.client.lookups import Lookups
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from flamingoladder.client.call import Call
    from flamingoladder.client.settings import CallerSettings
    from flamingoladder.verdict import Outcome

RETRY_ELSEWHERE_REASONS = frozenset(
    {
        Reason.CLAIM_OWNER_UNREACHABLE,
        Reason.CLAIM_STORE_UNAVAILABLE,
        Reason.HOST_LEAVING,
        Reason.HOST_LOST,
        Reason.HOST_UNREACHABLE,
        Reason.INTERNAL_ERROR,
        Reason.LINK_BUDGET,
        Reason.NO_CAPACITY,
        Reason.NO_PROOF,
        Reason.TICKET_INVALID,
        Reason.UPSTREAM_SHED,
        Reason.UPSTREAM_UNREACHABLE,
    }
)


class Caller:
    """Calls services through the entry hosts that the system names.

    A non-idempotent call is retried only after ``NOT_RUN``; after ``MAY_HAVE_RUN``, ``outcome_of``
    returns its outcome.
    """

    __slots__ = ("_hosts", "_lookups", "_settings")

    def __init__(self, settings: CallerSettings, random: Random | None = None) -> None:
        self._settings = settings
        self._hosts = EntryHosts(settings)
        self._lookups = Lookups(self._hosts, settings.entry_urls, random or Random())

    async def __aenter__(self) -> Caller:
        """Return the caller itself."""
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """Close all connections."""
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        await self._hosts.close()

    async def call(self, call: Call) -> Outcome:
        """Send the call, with retries at other entry hosts where that is safe."""
        deadline = self._now() + self._settings.deadline_ms / MS_PER_S
        urls = await self._lookups.urls_for(call.service, deadline)
        if call.ticket_in_doubt and call.host is not None:
            urls = [call.host, *(url for url in urls if url != call.host)]
        last = Refusal.not_run(Reason.HOST_UNREACHABLE, "no entry host is known")
        may_have_run = False
        for position, url in enumerate(urls):
            if self._now() >= deadline:
                break
            is_last = position + 1 == len(urls)
            outcome = await self._send(url, call, deadline, is_last=is_last)
            if outcome.is_ok():
                return outcome
            last = outcome.error
            may_have_run |= last.verdict is not Verdict.NOT_RUN
            if not _is_retryable_elsewhere(call, last):
                break
            urls += [other for other in last.hosts if other not in urls]
        return Error(_with_verdict(last, may_have_run))

    async def outcome_of(self, call: Call) -> Outcome:
        """Return the recorded outcome of an earlier non-idempotent call.

        ``NOT_RUN`` promises that it has not run and that its idempotency key cannot run it.
        """
        deadline = self._now() + self._settings.deadline_ms / MS_PER_S
        path = f"/v1/outcomes/{quote(call.key_in_use, safe='')}"
        urls = [call.host] if call.host else []
        urls += [
            url for url in await self._lookups.urls_for(call.service, deadline) if url not in urls
        ]
        outcome: Outcome = Error(Refusal.may_have_run(Reason.HOST_UNREACHABLE, "no host reply"))
        for url in urls:
            reply = await self._hosts.get(url, path, uuid4().hex, self._midpoint_until(deadline))
            if reply.is_ok() or reply.error.reason not in RETRY_ELSEWHERE_REASONS:
                return reply
            outcome = Error(Refusal.may_have_run(reply.error.reason, reply.error.detail))
        return outcome

    async def _send(self, url: str, call: Call, deadline: float, *, is_last: bool) -> Outcome:
        abort_at = self._midpoint_until(deadline) if call.idempotent and not is_last else deadline
        call.host = url
        if call.ticket_in_doubt:
            return await self._send_once(url, call, deadline, abort_at)
        call.ticket = None
        outcome = await self._send_once(url, call, deadline, abort_at)
        if outcome.is_ok() or not _offers_ticket(call, outcome.error):
            return outcome
        call.ticket = outcome.error.ticket
        return await self._send_once(url, call, deadline, abort_at)

    async def _send_once(self, url: str, call: Call, deadline: float, abort_at: float) -> Outcome:
        was_fresh = call.fresh_key
        outcome: Outcome | None = None
        try:
            outcome = await self._hosts.send(url, call, deadline, abort_at)
            return outcome
        finally:
            not_run = _has_not_run(outcome)
            call.fresh_key = was_fresh and not_run
            call.ticket_in_doubt |= call.ticket is not None and not not_run

    def _midpoint_until(self, deadline: float) -> float:
        return (self._now() + deadline) / 2

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _has_not_run(outcome: Outcome | None) -> bool:
    """Return whether a call with this outcome has certainly not run; None means no outcome."""
    if outcome is None or outcome.is_ok():
        return False
    return outcome.error.verdict is Verdict.NOT_RUN


def _offers_ticket(call: Call, refusal: Refusal) -> bool:
    if call.idempotent or refusal.verdict is not Verdict.NOT_RUN:
        return False
    return refusal.reason is Reason.CLAIM_STORE_UNAVAILABLE and refusal.ticket is not None


def _is_retryable_elsewhere(call: Call, refusal: Refusal) -> bool:
    if refusal.verdict is not Verdict.NOT_RUN and not call.idempotent:
        return False
    if refusal.reason is Reason.DEADLINE_PASSED:
        return call.idempotent
    return refusal.reason in RETRY_ELSEWHERE_REASONS


def _with_verdict(refusal: Refusal, may_have_run: bool) -> Refusal:
    if not may_have_run:
        return refusal
    return msgspec.structs.replace(refusal, verdict=Verdict.MAY_HAVE_RUN)
