"""The client that requests, renews and returns leases on the slots of one other host."""

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

RENEW_INTERVAL_S = 1.0
IDLE_CHECK_INTERVAL_S = 0.25
# Added to the round trips and the hold time to get the time-out of a request.
REPLY_MARGIN_S = 0.02
# How long the numbers of spare slots in a reply are used before they are out of date.
SPARE_LIFETIME_S = 0.5
# How long the lender may hold a request until a slot becomes free.
MAX_HOLD_S = 0.2
# A reply that takes longer than this many round trips is being held by the lender.
PROMPT_ROUND_TRIPS = 1.5
# Added to these round trips.
PROMPT_MARGIN_S = 0.005


class LeaseClient:
    """Sends lease requests to one host, one at a time; each also renews and returns leases.

    ``backlogs_by_service`` are the backlogs that the host last reported. While
    ``has_unconfirmed_request`` is set, the host may have granted leases in a reply that was lost.
    ``on_slots_usable`` is called with the current time after each reply or time-out.
    """

    __slots__ = (
        "_lease_manager",
        "_links",
        "_on_slots_usable",
        "_prompt_until",
        "_spare_by_service",
        "_spare_fresh_until",
        "_table",
        "_task",
        "_wake",
        "backlogs_by_service",
        "has_unconfirmed_request",
        "peer",
        "region",
        "requested_by_service",
        "round_trip_s",
    )

    def __init__(
        self,
        peer: Peer,
        round_trip_s: float,
        links: PeerLinks,
        lease_manager: LeaseManager,
        table: SlotTable,
        on_slots_usable: Callable[[float], None],
    ) -> None:
        self.peer = peer
        self.region = ""
        self.round_trip_s = round_trip_s
        self.requested_by_service: dict[str, int] = {}
        self.backlogs_by_service: dict[str, Backlog] = {}
        self.has_unconfirmed_request = False
        self._links = links
        self._lease_manager = lease_manager
        self._table = table
        self._on_slots_usable = on_slots_usable
        self._spare_by_service: dict[str, int] = {}
        self._spare_fresh_until = 0.0
        self._prompt_until = 0.0
        self._wake = asyncio.Event()
        self._task = asyncio.create_task(self._run())

    def close(self) -> None:
        """Stop sending requests."""
        self._task.cancel()

    def may_request(self, service: str, now: float, *, urgent: bool) -> bool:
        """Return whether to request slots of the service, as the host may have spare ones.

        A request is urgent if this host has requests queued for the service. The host holds an
        urgent request until a slot becomes free, so it may be sent at any time.
        """
        if service in self.requested_by_service:
            return False
        if urgent or now >= self._spare_fresh_until:
            return True
        return self._spare_by_service.get(service, 0) > 0

    def expected_slots(self, service: str, now: float) -> int:
        """Return how many slots the request in flight will probably get.

        If the reply is not prompt, the host has no free slot and is holding the request.
        """
        if now >= self._prompt_until:
            return 0
        return self.requested_by_service.get(service, 0)

    def request(self, service: str, wanted: int) -> None:
        """Request slots with the next message to the host."""
        self.requested_by_service[service] = wanted
        self._wake.set()

    def wake(self) -> None:
        """Send a request at once, to report which slots are held."""
        self._wake.set()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        renew_at = loop.time() + RENEW_INTERVAL_S
        while True:
            woken = await self._wait_until_woken(loop.time() + IDLE_CHECK_INTERVAL_S)
            now = loop.time()
            if (
                woken
                or self.has_unconfirmed_request
                or self._lease_manager.has_idle_slot(self.peer, now)
                or (now >= renew_at and self._table.borrowed_from(self.peer, now))
            ):
                await self._send_request()
            else:
                continue
            renew_at = loop.time() + RENEW_INTERVAL_S

    async def _wait_until_woken(self, until: float) -> bool:
        try:
            async with asyncio.timeout_at(until):
                return await self._wake.wait()
        except TimeoutError:
            return False

    async def _send_request(self) -> None:
        loop = asyncio.get_running_loop()
        self._wake.clear()
        self.has_unconfirmed_request = True
        sent_at = loop.time()
        requested = dict(self.requested_by_service)
        lease_request = self._lease_manager.make_request(self.peer, requested, sent_at)
        self._prompt_until = sent_at + PROMPT_ROUND_TRIPS * self.round_trip_s + PROMPT_MARGIN_S
        timeout_s = 2 * self.round_trip_s + MAX_HOLD_S + REPLY_MARGIN_S
        reply_task = asyncio.create_task(
            self._links.request(self.peer.host, lease_request, timeout_s)
        )
        try:
            if not await self._wait_for_reply(reply_task):
                return
        finally:
            reply_task.cancel()
        now = loop.time()
        for service in requested:
            del self.requested_by_service[service]
        self._spare_fresh_until = now + SPARE_LIFETIME_S
        self._spare_by_service = {}
        reply = reply_task.result()
        if isinstance(reply, LeaseReply):
            self.has_unconfirmed_request = False
            self._spare_by_service = reply.spare_by_service
            self._lease_manager.apply_reply(self.peer, reply, sent_at, now)
        self._on_slots_usable(now)

    async def _wait_for_reply(self, reply_task: asyncio.Task[msgspec.Struct | None]) -> bool:
        """Wait for the reply; return whether it arrived before another request had to be sent.

        The next request invalidates this one.
        """
        delay_s = self._prompt_until - asyncio.get_running_loop().time()
        await asyncio.wait({reply_task}, timeout=delay_s)
        wake_task = asyncio.create_task(self._wake.wait())
        try:
            await asyncio.wait({reply_task, wake_task}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            wake_task.cancel()
        return reply_task.done()
