"""The progress of one request over one connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.transport.answer_progress import AnswerProgress

if TYPE_CHECKING:
    from asyncio import Transport
    from collections.abc import Callable

    from flamingoladder.transport.receive_guard import ReceiveGuard
    from flamingoladder.verdict import Refusal

    LastCheck = Callable[[float], Refusal | None]


class Exchange:
    """The progress of one request.

    ``connected`` is set before the request is written, so no byte can have left while it is False.
    ``reused`` tells a kept connection from a new one. ``silent`` is set while no new byte of the
    answer has come for the check time. ``last_check`` is asked once there is a connection, with no
    wait between its answer and the write; its refusal, if any, is kept as ``refusal``. An exchange
    without a connection ends at ``connect_by``, one with a connection at ``deadline``, both in
    monotonic seconds. ``answer`` counts what came of the answer. ``target`` is the request target
    to write, if it may differ from the URL's, ``body_bytes`` the size of the body. ``restore``
    gives a connection that is kept its bounds back.
    """

    __slots__ = (
        "_connect_by",
        "_last_check",
        "_may_be_kept",
        "_timeout",
        "answer",
        "body_bytes",
        "connected",
        "connection_error",
        "deadline",
        "forbid_reuse",
        "guard",
        "refusal",
        "restore",
        "reused",
        "silent",
        "target",
        "transport",
    )

    def __init__(
        self,
        deadline: float,
        last_check: LastCheck | None = None,
        connect_by: float | None = None,
    ) -> None:
        self.deadline = deadline
        self._connect_by = deadline if connect_by is None else min(deadline, connect_by)
        self._last_check = last_check
        self._may_be_kept = True
        self.refusal: Refusal | None = None
        self.body_bytes = 0
        self.connected = False
        self.connection_error: Callable[[], BaseException | None] = _unknown
        self.forbid_reuse: Callable[[], None] = _nothing
        self.restore: Callable[[], None] = _nothing
        self.silent = False
        self.target = ""
        self.reused = False
        self.answer = AnswerProgress()
        self.guard: ReceiveGuard | None = None
        self.transport: Transport | None = None
        self._timeout: asyncio.Timeout | None = None

    def has_ended(self) -> bool:
        """Return whether the other end has closed the connection in order, and all was parsed.

        Nothing that this host does to a connection passes for that.
        """
        if self.guard is None or self.answer.flooded or self.guard.has_unparsed:
            return False
        return self.guard.ended and not isinstance(self.connection_error(), OSError)

    def may_leave(self) -> bool:
        """Return whether the request may still be written."""
        if self._last_check is not None:
            self.refusal = self._last_check(asyncio.get_running_loop().time())
        return self.refusal is None

    def open(self) -> asyncio.Timeout:
        """Return the context that bounds the wait for a connection, and then the request."""
        self._timeout = asyncio.timeout_at(self._connect_by)
        return self._timeout

    def note_connected(self) -> None:
        """Note that there is a connection, before a byte of the request is written."""
        self.connected = True
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(self.deadline)

    def use_connection_once(self) -> None:
        """Close the connection after the answer, so that no other request goes over it."""
        self._may_be_kept = False
        self.forbid_reuse()

    def abandon(self) -> None:
        """End the request now; its connection is closed."""
        if self._timeout is None or self._timeout.expired():
            return
        self._timeout.reschedule(asyncio.get_running_loop().time())

    def end(self, *, whole: bool) -> None:
        """Note the end; without a whole answer the connection is closed.

        No other request can then meet what still comes from that connection.
        """
        self._timeout = None
        # A kept connection's callbacks hold the context of this exchange for as long as it lives,
        # and the check holds the request with its body.
        self._last_check = None
        is_kept = whole and self._may_be_kept
        if self.guard is not None and self.guard.answer is self.answer:
            self.guard.answer = None
            is_kept = is_kept and not self.guard.has_unparsed
        if self.transport is None:
            return
        if not is_kept:
            self.transport.abort()
        elif not self.transport.is_closing():
            self.restore()


def _unknown() -> BaseException | None:
    return None


def _nothing() -> None:
    pass
