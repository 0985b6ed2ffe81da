"""Transfers that have made no progress for long."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

# A host's slowest link brings a part of 64 KiB in 0.1 s.
STALL_S = 2.0


class Transfer:
    """A body that is being received, or an answer that is being written out.

    ``timeout`` bounds its task, whose end frees ``held_bytes()``. ``ended`` is set if the transfer
    was ended early.
    """

    __slots__ = ("_timeout", "ended", "held_bytes", "progress_at")

    def __init__(self, timeout: asyncio.Timeout, held_bytes: Callable[[], int], now: float) -> None:
        self._timeout = timeout
        self.held_bytes = held_bytes
        self.progress_at = now
        self.ended = False

    def end(self, now: float) -> None:
        """Let the task's timeout expire at once."""
        self.ended = True
        if not self._timeout.expired():
            self._timeout.reschedule(now)


class Transfers:
    """Transfers in the order of their last progress.

    Load: clients that stop within a body or answer and keep the connection open.
    """

    __slots__ = ("_by_progress",)

    def __init__(self) -> None:
        self._by_progress: dict[Transfer, None] = {}

    def add(self, transfer: Transfer) -> None:
        """Watch a transfer."""
        self._by_progress[transfer] = None

    def note_progress(self, transfer: Transfer, now: float) -> None:
        """Note that the transfer went on, if it is watched."""
        if transfer in self._by_progress:
            self.remove(transfer)
            transfer.progress_at = now
            self.add(transfer)

    def remove(self, transfer: Transfer) -> None:
        """Watch the transfer no more."""
        self._by_progress.pop(transfer, None)

    def end_stalled(self, wanted_bytes: int, now: float) -> int:
        """End the transfers that are stalled longest, until ``wanted_bytes`` are to be freed.

        Return how many ended. Their bytes are free once their tasks have run.
        """
        ended: list[Transfer] = []
        for transfer in self._by_progress:
            if wanted_bytes <= 0 or now - transfer.progress_at < STALL_S:
                break
            wanted_bytes -= transfer.held_bytes()
            ended.append(transfer)
        for transfer in ended:
            self.remove(transfer)
            transfer.end(now)
        return len(ended)
