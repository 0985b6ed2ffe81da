"""Answers of targets that are held until they are written out."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.memory.body import BodyPayload
from flamingoladder.memory.body import Content
from flamingoladder.memory.stalls import Transfer
from flamingoladder.verdict import Answer

if TYPE_CHECKING:
    from aiohttp.abc import AbstractStreamWriter

    from flamingoladder.memory.reservation import Reservation
    from flamingoladder.memory.stalls import Transfers


class HeldAnswer(Answer, frozen=True, weakref=True):
    """An answer with its memory; ``content`` is its body, and ``body`` is empty if that is parted.

    The reservation is released when the answer is freed, if not when it is written out.
    """

    content: Content
    reservation: Reservation


class AnswerPayload(BodyPayload):
    """Writes a large answer to a caller, and gives its memory back once that has ended.

    A caller that stalls is cut while others want the memory.
    """

    def __init__(self, answer: HeldAnswer, transfers: Transfers) -> None:
        super().__init__(answer.content)
        self._reservation = answer.reservation
        self._transfers = transfers

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the whole answer.

        :raises ConnectionError: if the caller stalled and was cut.
        """
        loop = asyncio.get_running_loop()
        timeout = asyncio.timeout(None)
        transfer = Transfer(timeout, lambda: self._reservation.held_bytes, loop.time())
        self._transfers.add(transfer)
        try:
            async with timeout:
                for part in self.parts():
                    await writer.write(part)
                    self._transfers.note_progress(transfer, loop.time())
        except TimeoutError as error:
            raise ConnectionResetError("the caller stalled within an answer") from error
        finally:
            self._transfers.remove(transfer)
            self.forget()
            self._reservation.release()
