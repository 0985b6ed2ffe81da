"""Shares slots between hosts: applies the slot division, lends and borrows free slots."""

from __future__ import annotations

import asyncio
from math import isinf
from typing import TYPE_CHECKING

from flamingoladder.peers.link import Peer
from flamingoladder.steering.lease_client import MAX_HOLD_S
from flamingoladder.steering.lease_client import LeaseClient
from flamingoladder.steering.lease_manager import LeaseManager
from flamingoladder.steering.messages import Backlog
from flamingoladder.steering.messages import LeaseRequest
from flamingoladder.steering.messages import SlotsReleased
from flamingoladder.steering.slot_division import SlotDivision
from flamingoladder.steering.slot_division import longest_deadline_s
from flamingoladder.steering.slot_forecast import SlotForecast
from flamingoladder.steering.slot_table import DEADLINE_MARGIN_S
from flamingoladder.steering.slot_table import SlotTable

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.steering.messages import LeaseReply
    from flamingoladder.steering.messages import Slot
    from flamingoladder.steering.slot_table import HeldSlot
    from flamingoladder.timeline.recorder import Recorder

MAX_SLOTS_PER_REQUEST = 4
# A slot moves to another host if the backlog per slot there is more than this many times the local
# one. Moving slots for any difference took 300 messages/s a host.
MIN_BACKLOG_RATIO = 1.5
NO_BACKLOG = Backlog(0, 0)


class PendingLeaseRequest:
    """A lease request held until a slot of one of its services is free."""

    __slots__ = ("_reply", "peer", "request")

    def __init__(self, peer: Peer, request: LeaseRequest) -> None:
        self.peer = peer
        self.request = request
        self._reply: asyncio.Future[LeaseReply | None] = asyncio.Future()

    @property
    def has_reply(self) -> bool:
        """Return whether the reply has been set."""
        return self._reply.done()

    def backlog(self, service: str) -> Backlog:
        """Return the sender's backlog of a service; empty if it requests no slot of it."""
        if service not in self.request.wanted_by_service:
            return NO_BACKLOG
        return self.request.backlogs_by_service.get(service, NO_BACKLOG)

    def set_reply(self, reply: LeaseReply | None) -> None:
        """Set the reply to the request."""
        self._reply.set_result(reply)

    async def reply(self) -> LeaseReply | None:
        """Return the reply, or None if there is none within ``MAX_HOLD_S``."""
        try:
            async with asyncio.timeout(MAX_HOLD_S):
                return await self._reply
        except TimeoutError:
            return None


class SlotSharing:
    """The slots of one host, shared with all other hosts by leases.

    ``on_slots_usable`` is called with the current time when slots may have become usable.
    ``_releasing`` are busy slots that now belong to another host: it is notified when their
    requests have ended. ``_early_release`` is such a notice for a division not yet received here.
    """

    __slots__ = (
        "_adopted_state",
        "_clients_by_host",
        "_early_release",
        "_lease_manager",
        "_links",
        "_max_request_s",
        "_on_slots_usable",
        "_own",
        "_pending",
        "_recorder",
        "_releasing",
        "_state",
        "_timer",
        "division",
        "forecasts_by_service",
        "queue_lengths_by_service",
        "table",
    )

    def __init__(
        self,
        own: Peer,
        state: StateInForce,
        links: PeerLinks,
        recorder: Recorder,
        on_slots_usable: Callable[[float], None],
    ) -> None:
        self.table = SlotTable()
        self.division = SlotDivision(0, {}, {})
        self.forecasts_by_service: dict[str, SlotForecast] = {}
        self.queue_lengths_by_service: dict[str, int] = {}
        self._own = own
        self._state = state
        self._links = links
        self._recorder = recorder
        self._on_slots_usable = on_slots_usable
        self._adopted_state: AgreedState | None = None
        self._max_request_s = 0.0
        self._lease_manager = LeaseManager(
            self.table, self.forecasts_by_service, self.queue_lengths_by_service
        )
        self._clients_by_host: dict[str, LeaseClient] = {}
        self._releasing: set[HeldSlot] = set()
        self._pending: list[PendingLeaseRequest] = []
        self._early_release: SlotsReleased | None = None
        self._timer: asyncio.TimerHandle | None = None
        links.register(LeaseRequest, self._receive_request)
        links.register(SlotsReleased, self._receive_released)

    def close(self) -> None:
        """Stop requesting leases from other hosts."""
        if self._timer is not None:
            self._timer.cancel()
        for client in self._clients_by_host.values():
            client.close()
        self._clients_by_host = {}

    def adopt(self, state: AgreedState) -> None:
        """Apply the division of ``state``, if it is a new one."""
        previous = self._adopted_state
        self._adopted_state = state
        now = asyncio.get_running_loop().time()
        if previous is not None and previous.division_version >= state.division_version:
            self._schedule_new_slots(now)
            return
        self.division = SlotDivision.from_state(state)
        for service in state.deployment.services:
            self.forecasts_by_service.setdefault(service, SlotForecast(now))
        self._max_request_s = _max_request_s(previous or state, state)
        contiguous = previous is not None and state.follows(previous)
        self._set_owned(now, contiguous=contiguous)
        defaults = state.deployment.defaults
        self._lease_manager.set_division(
            state.division_version, longest_deadline_s(state), defaults.clock_drift
        )
        self._start_clients(state)
        self._schedule_new_slots(now)
        self._recorder.record("slots.divided", version=state.division_version, kept=contiguous)

    def release(self, held: HeldSlot, now: float) -> None:
        """Free the slot after its request; pass it on if its lender or new owner needs it."""
        self.table.release(held, now)
        self._return_if_lender_needs(held, now)
        if held in self._releasing:
            self._releasing.discard(held)
            self._send_released([held.slot])

    def borrow_if_short(self, service: str, now: float, max_round_trip_s: float) -> None:
        """Request leases from the nearest hosts if slots may be missing.

        Hosts with a round trip of more than ``max_round_trip_s`` get no request.
        """
        clients = self._clients_by_host.values()
        missing = self._missing_slots(service, now)
        missing -= sum(client.expected_slots(service, now) for client in clients)
        urgent = self.queue_lengths_by_service.get(service, 0) > 0
        for client in clients:
            if missing <= 0 or client.round_trip_s > max_round_trip_s:
                return
            if client.may_request(service, now, urgent=urgent):
                wanted = min(missing, MAX_SLOTS_PER_REQUEST)
                client.request(service, wanted)
                missing -= client.expected_slots(service, now)

    def borrow_in_region(self, service: str, region: str, wanted: int, now: float) -> None:
        """Request leases from the hosts of a region, for requests that a shift moves there."""
        for client in self._clients_by_host.values():
            if wanted <= 0:
                return
            if client.region == region and client.may_request(service, now, urgent=True):
                client.request(service, min(wanted, MAX_SLOTS_PER_REQUEST))
                wanted -= MAX_SLOTS_PER_REQUEST

    def reply_to_pending(self, service: str, now: float) -> None:
        """Reply to held requests of hosts with a larger backlog of the service than this one."""
        local_backlog = (
            self._lease_manager.local_backlog(service, now) if self._pending else NO_BACKLOG
        )
        for pending in tuple(self._pending):
            if not self.table.lendable_slots(service, now):
                return
            if pending.has_reply or not self._may_lend(pending.peer, now):
                continue
            if not _is_worth_moving(pending.backlog(service), local_backlog):
                continue
            if (
                local_backlog.requests
                and pending.peer.host in self._lease_manager.remote_region_hosts
            ):
                continue
            pending.set_reply(
                self._lease_manager.make_reply(
                    pending.peer, pending.request, now, preferred_service=service
                )
            )

    def _missing_slots(self, service: str, now: float) -> int:
        queue_length = self.queue_lengths_by_service.get(service, 0)
        if queue_length:
            return queue_length
        held = self.table.slots_of(service)
        if any(slot.is_free(now, now) for slot in held) or not any(slot.busy for slot in held):
            return 0
        return 1

    def _set_owned(self, now: float, *, contiguous: bool) -> None:
        if not contiguous:
            self.table.suspend()
        owned = self.division.owned_by(self._own)
        dropped = self.table.set_owned(owned, self.division, now)
        # This host can't release a slot that was not usable yet or that it has lent.
        releasable = [
            held
            for held in dropped
            if contiguous and held.usable_from <= now and not held.is_lent(now)
        ]
        self._releasing = {held for held in releasable if held.busy}
        self._send_released([held.slot for held in releasable if not held.busy])
        early_release = self._early_release
        if early_release is not None and early_release.division_version == self.division.version:
            self.table.use_released(early_release.slots, now)

    def _send_released(self, slots: Iterable[Slot]) -> None:
        slots_by_host: dict[str, list[Slot]] = {}
        for slot in slots:
            owner = self.division.owner_of(slot)
            if owner is not None:
                slots_by_host.setdefault(owner.host, []).append(slot)
        for host, released in slots_by_host.items():
            self._links.send(host, SlotsReleased(self.division.version, tuple(released)))

    async def _receive_released(self, _peer: Peer, message: SlotsReleased) -> None:
        version = self.division.version
        if message.division_version == version:
            now = asyncio.get_running_loop().time()
            self.table.use_released(message.slots, now)
            self._on_slots_usable(now)
        elif message.division_version > version:
            self._early_release = _merge_releases(self._early_release, message)

    async def _receive_request(self, peer: Peer, request: LeaseRequest) -> LeaseReply | None:
        loop = asyncio.get_running_loop()
        if not self._may_lend(peer, loop.time()):
            return None
        if not self._lease_manager.accept_request(peer, request, loop.time()):
            return None
        self._on_slots_usable(loop.time())
        self._return_free_slots(peer, request, loop.time())
        if request.wanted_by_service and request.backlogs_by_service:
            reply = await self._hold_request(peer, request)
            if reply is not None:
                return reply
        if not self._may_lend(peer, loop.time()):
            return None
        return self._lease_manager.make_reply(peer, request, loop.time())

    def _return_if_lender_needs(self, held: HeldSlot, now: float) -> None:
        client = self._clients_by_host.get(held.lender.host) if held.lender else None
        if client is None:
            return
        lender_backlog = client.backlogs_by_service.get(held.service, NO_BACKLOG)
        if _is_worth_moving(lender_backlog, self._lease_manager.local_backlog(held.service, now)):
            self.table.stop_using(held)
            client.wake()

    def _may_lend(self, peer: Peer, now: float) -> bool:
        return self._state.has_proof(now) and self.division.is_member(peer)

    def _return_free_slots(self, owner: Peer, request: LeaseRequest, now: float) -> None:
        client = self._clients_by_host.get(owner.host)
        if client is None:
            return
        client.backlogs_by_service = request.backlogs_by_service
        if self._lease_manager.return_free_slots(owner, request, now):
            client.wake()

    async def _hold_request(self, peer: Peer, request: LeaseRequest) -> LeaseReply | None:
        """Hold the lease request until a slot can be granted to the borrower's backlog."""
        now = asyncio.get_running_loop().time()
        if self._lease_manager.could_grant(peer, request, now):
            return None
        pending = PendingLeaseRequest(peer, request)
        self._pending.append(pending)
        try:
            return await pending.reply()
        finally:
            self._pending.remove(pending)

    def _start_clients(self, state: AgreedState) -> None:
        unconfirmed = {
            client.peer
            for client in self._clients_by_host.values()
            if client.has_unconfirmed_request
        }
        self.close()
        own_member = state.members_by_host.get(self._own.host)
        if own_member is None or own_member.incarnation != self._own.incarnation:
            return
        places = state.deployment.places
        others = [member for member in state.members if member.host != self._own.host]
        self._lease_manager.remote_region_hosts = frozenset(
            member.host for member in others if member.region != own_member.region
        )
        others.sort(key=lambda member: places.round_trip_s(own_member.region, member.region))
        for member in others:
            client = LeaseClient(
                Peer(member.host, member.incarnation),
                places.round_trip_s(own_member.region, member.region),
                self._links,
                self._lease_manager,
                self.table,
                self._on_slots_usable,
            )
            client.region = member.region
            client.has_unconfirmed_request = client.peer in unconfirmed
            self._clients_by_host[member.host] = client

    def _schedule_new_slots(self, now: float) -> None:
        """Use new slots once no earlier owner can start requests or have any running."""
        settles_at = self._state.division_settles_at()
        if isinf(settles_at):
            return
        usable_from = max(settles_at + self._max_request_s, now)
        self.table.set_usable_from(usable_from)
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(
            usable_from, self._on_slots_usable, usable_from
        )


def _max_request_s(earlier: AgreedState, later: AgreedState) -> float:
    """Return the longest time for which a request of an earlier slot owner may run, in seconds."""
    longest_s = max(longest_deadline_s(earlier), longest_deadline_s(later))
    return longest_s * (1 + later.deployment.defaults.clock_drift) + DEADLINE_MARGIN_S


def _is_worth_moving(remote: Backlog, local: Backlog) -> bool:
    """Return whether the remote backlog exceeds the local one enough to move a slot."""
    if not local.requests:
        return remote.requests > 0
    return remote.requests_per_slot > MIN_BACKLOG_RATIO * local.requests_per_slot


def _merge_releases(stored: SlotsReleased | None, message: SlotsReleased) -> SlotsReleased:
    if stored is None or stored.division_version < message.division_version:
        return message
    if stored.division_version > message.division_version:
        return stored
    return SlotsReleased(message.division_version, stored.slots + message.slots)
