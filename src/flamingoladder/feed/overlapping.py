"""Calls that overlap while the store may be silent: one sent then may never be answered."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

from flamingoladder.storage.exceptions import HistoryLostError
from flamingoladder.storage.exceptions import PlatformUnavailableError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

T = TypeVar("T")


class OverlappingCalls(Generic[T]):
    """Calls again every ``interval_s`` seconds until one call is answered.

    ``on_overdue`` is called once if the first one is not answered in time.
    """

    __slots__ = ("_call", "_interval_s", "_on_overdue", "_pending")

    def __init__(
        self,
        call: Callable[[], Awaitable[T]],
        interval_s: float,
        on_overdue: Callable[[], None],
    ) -> None:
        self._call = call
        self._interval_s = interval_s
        self._on_overdue = on_overdue
        self._pending: set[asyncio.Task[T]] = set()

    async def first_answer(self, first: Awaitable[T], overdue_s: float) -> T:
        """Return the answer to ``first``, or to a later call once that is overdue.

        :raises PlatformUnavailableError: if a call fails while no other one is pending.
        """
        try:
            self._pending.add(asyncio.ensure_future(first))
            answered = await self._answered(overdue_s)
            if answered is None:
                self._on_overdue()
            while answered is None:
                self._pending.add(asyncio.ensure_future(self._call()))
                answered = await self._answered(self._interval_s)
            return answered.result()
        finally:
            for task in self._pending:
                task.cancel()

    async def _answered(self, within_s: float) -> asyncio.Task[T] | None:
        loop = asyncio.get_running_loop()
        until = loop.time() + within_s
        while True:
            left_s = max(0.0, until - loop.time())
            done, _ = await asyncio.wait(
                self._pending, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                return None
            for task in done:
                self._pending.discard(task)
                if not self._pending or not _is_unanswered(task.exception()):
                    return task


def _is_unanswered(error: BaseException | None) -> bool:
    is_answer = isinstance(error, HistoryLostError)
    return isinstance(error, PlatformUnavailableError) and not is_answer
