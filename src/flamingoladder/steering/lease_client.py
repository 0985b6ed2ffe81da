"""The task that asks one other host for leases on slots."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.steering.messages import LeaseReply

if TYPE_CHECKING:
    from collections.abc import Callable

    import msgspec

    from flamingoladder.peers.link import Peer
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.steering.lease_manager import LeaseManager
    from flamingoladder.steering.messages import Backlog
    from flamingoladder.steering.slot_table import SlotTable

RENEW_S = 1.0
LOOK_S = 0.25
ANSWER_MARGIN_S = 0.02
ASK_AGAIN_S = 0.5
HOLD_S = 0.2
PROMPT_TRIPS = 1.5
PROMPT_MARGIN_S = 0.005


class LeaseClient:
    """Asks one host, one question at a time; each renews and returns leases, too.

    ``waiting_by_service`` is what the host last said of its own requests that wait.
    While it is ``unsure``, the host may have granted leases in an answer that was lost.
    """

    __slots__ = (
        "_book",
        "_leasing",
        "_links",
        "_on_credit",
        "_prompt_until",
        "_spare_by_service",
        "_spare_known_until",
        "_task",
        "_wake",
        "peer",
        "region",
        "round_trip_s",
        "unsure",
        "waiting_by_service",
        "wanted_by_service",
    )

    def __init__(
        self,
        peer: Peer,
        round_trip_s: float,
        links: PeerLinks,
        leasing: LeaseManager,
        book: SlotTable,
        on_credit: Callable[[float], None],
    ) -> None:
        self.peer = peer
        self.region = ""
        self.round_trip_s = round_trip_s
        self.wanted_by_service: dict[str, int] = {}
        self.waiting_by_service: dict[str, Backlog] = {}
        self.unsure = False
        self._links = links
        self._leasing = leasing
        self._book = book
        self._on_credit = on_credit
        self._spare_by_service: dict[str, int] = {}
        self._spare_known_until = 0.0
        self._prompt_until = 0.0
        self._wake = asyncio.Event()
        self._task = asyncio.create_task(self._run())

    def close(self) -> None:
        """Stop asking."""
        self._task.cancel()

    def may_ask(self, service: str, now: float, *, urgent: bool) -> bool:
        """Return whether the host may have slots of the service to spare.

        An urgent question is held there until a slot becomes free, so it may be put at any time.
        """
        if service in self.wanted_by_service:
            return False
        if urgent or now >= self._spare_known_until:
            return True
        return self._spare_by_service.get(service, 0) > 0

    def expected(self, service: str, now: float) -> int:
        """Return how many slots the question under way will probably bring.

        A question without a prompt answer is held there, as nothing is free.
        """
        if now >= self._prompt_until:
            return 0
        return self.wanted_by_service.get(service, 0)

    def ask(self, service: str, wanted: int) -> None:
        """Ask for slots with the next question."""
        self.wanted_by_service[service] = wanted
        self._wake.set()

    def wake(self) -> None:
        """Put a question at once, to tell what is held."""
        self._wake.set()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        renew_at = loop.time() + RENEW_S
        while True:
            woken = await self._woken(loop.time() + LOOK_S)
            now = loop.time()
            if (
                woken
                or self.unsure
                or self._leasing.has_idle(self.peer, now)
                or (now >= renew_at and self._book.borrowed_from(self.peer, now))
            ):
                await self._exchange()
            else:
                continue
            renew_at = loop.time() + RENEW_S

    async def _woken(self, until: float) -> bool:
        try:
            async with asyncio.timeout_at(until):
                return await self._wake.wait()
        except TimeoutError:
            return False

    async def _exchange(self) -> None:
        loop = asyncio.get_running_loop()
        self._wake.clear()
        self.unsure = True
        asked_at = loop.time()
        asked = dict(self.wanted_by_service)
        question = self._leasing.question(self.peer, asked, asked_at)
        self._prompt_until = asked_at + PROMPT_TRIPS * self.round_trip_s + PROMPT_MARGIN_S
        timeout_s = 2 * self.round_trip_s + HOLD_S + ANSWER_MARGIN_S
        asking = asyncio.create_task(self._links.ask(self.peer.host, question, timeout_s))
        try:
            if not await self._is_answered(asking):
                return
        finally:
            asking.cancel()
        now = loop.time()
        for service in asked:
            del self.wanted_by_service[service]
        self._spare_known_until = now + ASK_AGAIN_S
        self._spare_by_service = {}
        reply = asking.result()
        if isinstance(reply, LeaseReply):
            self.unsure = False
            self._spare_by_service = reply.spare_by_service
            self._leasing.credit(self.peer, reply, asked_at, now)
        self._on_credit(now)

    async def _is_answered(self, asking: asyncio.Task[msgspec.Struct | None]) -> bool:
        """Wait for the answer; return whether it came before there was something else to ask.

        The next question voids this one.
        """
        delay_s = self._prompt_until - asyncio.get_running_loop().time()
        await asyncio.wait({asking}, timeout=delay_s)
        waking = asyncio.create_task(self._wake.wait())
        try:
            await asyncio.wait({asking, waking}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            waking.cancel()
        return asking.done()
