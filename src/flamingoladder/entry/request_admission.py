"""Admits callers' requests from their heads, then reads their bodies and has them handled."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error

from flamingoladder.memory.accounts import Account
from flamingoladder.memory.accounts import AccountKind
from flamingoladder.memory.body_reader import BodyReader
from flamingoladder.routing.model import RequestLimits
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from aiohttp import web

    from flamingoladder.entry.components import EntryComponents
    from flamingoladder.entry.request import IncomingRequest
    from flamingoladder.entry.request import RoutedRequest
    from flamingoladder.memory.events import MemoryEvents
    from flamingoladder.verdict import Outcome

SEPARATOR_BYTES = 4
DEFAULT_LIMITS = RequestLimits()


class RequestAdmission:
    """Judges requests by their heads; a target gets one only once its body is whole.

    A client that stops short within a body so holds no slot and no connection of a target, and its
    request has truly not run.
    """

    __slots__ = ("_configuration", "_events", "_handler", "_reader")

    def __init__(self, components: EntryComponents, events: MemoryEvents) -> None:
        self._configuration = components.configuration
        self._handler = components.handler
        self._reader = BodyReader(components.memory)
        self._events = events

    async def handle(
        self, request: web.BaseRequest, head: IncomingRequest, started: float
    ) -> Outcome:
        """Return the outcome of a request whose body is not read yet."""
        routing = self._configuration.routing
        limits = DEFAULT_LIMITS if routing is None else routing.limits
        refusal = _head_refusal(request, limits)
        refusal = refusal or self._reader.length_refusal(request, limits.max_body_bytes)
        if refusal is not None:
            return Error(refusal)
        admitted = self._handler.admit(head, started)
        if isinstance(admitted, Refusal):
            return Error(admitted)
        try:
            body = await self._reader.read(
                request, limits.max_body_bytes, admitted.deadline, _accounts(head, admitted)
            )
        except BaseException:
            self._handler.abandon(admitted)
            raise
        if isinstance(body, Refusal):
            size = request.content_length or request.content.total_bytes
            self._events.record_refused(body.reason.value, head.caller, size)
            self._handler.refuse(admitted, body)
            return Error(body)
        content, admitted.reservation = body
        return await self._handler.run(admitted, content)


def _accounts(head: IncomingRequest, admitted: RoutedRequest) -> tuple[Account, ...]:
    client = Account(AccountKind.CLIENT, head.caller)
    if admitted.workspace is None:
        return (client,)
    return (client, Account(AccountKind.WORKSPACE, admitted.workspace.name))


def _head_refusal(request: web.BaseRequest, limits: RequestLimits) -> Refusal | None:
    size = sum(len(name) + len(value) + SEPARATOR_BYTES for name, value in request.raw_headers)
    if size <= limits.max_header_bytes:
        return None
    detail = f"the header fields are over {limits.max_header_bytes} bytes"
    return Refusal.not_run(Reason.HEADERS_TOO_LARGE, detail)
