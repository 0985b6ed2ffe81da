"""Requests, grants, renews and returns leases on slots for one host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.steering.messages import Backlog
from flamingoladder.steering.messages import LeaseReply
from flamingoladder.steering.messages import LeaseRequest
from flamingoladder.steering.messages import Slot
from flamingoladder.steering.slot_table import LEASE_MARGIN_S
from flamingoladder.steering.slot_table import Lease

if TYPE_CHECKING:
    from collections.abc import Mapping

    from flamingoladder.peers.link import Peer
    from flamingoladder.steering.slot_forecast import SlotForecast
    from flamingoladder.steering.slot_table import HeldSlot
    from flamingoladder.steering.slot_table import SlotTable

# A borrowed slot that this host doesn't need is returned after being idle for this long.
IDLE_RETURN_S = 0.1
# Number of free slots that an urgent request from another region leaves to this host.
REMOTE_REGION_RESERVE_SLOTS = 1


class LeaseManager:
    """The leases between one host and all other hosts."""

    __slots__ = (
        "_forecasts_by_service",
        "_queue_lengths_by_service",
        "_sequence",
        "_sequences_by_peer",
        "_table",
        "clock_drift",
        "division_version",
        "remote_region_hosts",
        "term_s",
    )

    def __init__(
        self,
        table: SlotTable,
        forecasts_by_service: Mapping[str, SlotForecast],
        queue_lengths_by_service: Mapping[str, int],
    ) -> None:
        self._table = table
        self._forecasts_by_service = forecasts_by_service
        self._queue_lengths_by_service = queue_lengths_by_service
        self._sequence = 0
        self._sequences_by_peer: dict[Peer, int] = {}
        self.division_version = 0
        self.clock_drift = 0.0
        self.remote_region_hosts: frozenset[str] = frozenset()
        self.term_s = 0.0

    def set_division(
        self, division_version: int, longest_deadline_s: float, clock_drift: float
    ) -> None:
        """Adopt a division; the term of later leases covers the longest deadline."""
        self.division_version = division_version
        self.term_s = longest_deadline_s + LEASE_MARGIN_S
        self.clock_drift = clock_drift

    def make_request(self, lender: Peer, wanted: Mapping[str, int], now: float) -> LeaseRequest:
        """Return a lease request to ``lender``, after returning idle slots."""
        self._sequence += 1
        for held in self._table.borrowed_from(lender, now):
            if self.is_idle(held, now):
                self._table.stop_using(held)
        slots = tuple(held.slot for held in self._table.borrowed_from(lender, now))
        return LeaseRequest(
            self.division_version, self._sequence, slots, dict(wanted), self._local_backlogs(now)
        )

    def accept_request(self, borrower: Peer, request: LeaseRequest, now: float) -> bool:
        """Update which slots ``borrower`` holds; return False for a stale request."""
        if request.division_version != self.division_version:
            return False
        if request.sequence <= self._sequences_by_peer.get(borrower, 0):
            return False
        self._sequences_by_peer[borrower] = request.sequence
        self._end_returned_leases(borrower, request.held, now)
        return True

    def could_grant(self, borrower: Peer, request: LeaseRequest, now: float) -> bool:
        """Return whether a reply would grant a slot to queued requests of the borrower."""
        services = request.backlogs_by_service.keys() & request.wanted_by_service.keys()
        return any(
            self._spare_slots(
                service, now, urgent=True, is_remote=borrower.host in self.remote_region_hosts
            )
            for service in services
        )

    def make_reply(
        self,
        borrower: Peer,
        request: LeaseRequest,
        now: float,
        preferred_service: str | None = None,
    ) -> LeaseReply | None:
        """Return the reply to a lease request, after marking the slots that it grants as lent.

        For ``preferred_service``, the borrower's queued requests go before this host's.
        Return None if a later request or division has made this request stale.
        """
        if request.division_version != self.division_version:
            return None
        if request.sequence != self._sequences_by_peer.get(borrower):
            return None
        renewed = self._renew(borrower, now)
        granted: list[Slot] = []
        for service, wanted in request.wanted_by_service.items():
            if service == preferred_service:
                granted += self._lend(borrower, self._table.lendable_slots(service, now)[:1], now)
                continue
            urgent = service in request.backlogs_by_service
            is_remote = borrower.host in self.remote_region_hosts
            spare = self._spare_slots(service, now, urgent=urgent, is_remote=is_remote)
            granted += self._lend(borrower, spare[:wanted], now)
        spare_by_service = {
            service: len(self._spare_slots(service, now)) for service in self._forecasts_by_service
        }
        return LeaseReply(tuple(granted), tuple(renewed), spare_by_service)

    def apply_reply(self, lender: Peer, reply: LeaseReply, sent_at: float, now: float) -> None:
        """Use the slots that a reply grants; it must be to the last request to ``lender``."""
        usable_until = sent_at + self.term_s
        renewed = frozenset(reply.renewed)
        for held in self._table.borrowed_from(lender, now):
            if held.slot in renewed:
                held.usable_until = max(held.usable_until, usable_until)
            else:
                self._table.stop_using(held)
        for slot in reply.granted:
            self._table.borrow(slot, lender, usable_until, now)

    def return_free_slots(self, owner: Peer, request: LeaseRequest, now: float) -> bool:
        """Release free slots of an owner that has a backlog; return whether there were any."""
        services = request.backlogs_by_service.keys()
        any_returned = False
        for held in self._table.borrowed_from(owner, now):
            if held.service in services and not held.busy:
                self._table.stop_using(held)
                any_returned = True
        return any_returned

    def local_backlog(self, service: str, now: float) -> Backlog:
        """Return this host's backlog of a service."""
        slots = self._table.usable_count(service, now)
        return Backlog(self._queue_lengths_by_service.get(service, 0), slots)

    def _local_backlogs(self, now: float) -> dict[str, Backlog]:
        counts = self._queue_lengths_by_service
        return {name: self.local_backlog(name, now) for name, count in counts.items() if count}

    def has_idle_slot(self, lender: Peer, now: float) -> bool:
        """Return whether any slot borrowed from ``lender`` is idle and so is to be returned."""
        return any(self.is_idle(held, now) for held in self._table.borrowed_from(lender, now))

    def is_idle(self, held: HeldSlot, now: float) -> bool:
        """Return whether a borrowed slot has been free for a while and isn't needed."""
        if held.busy or now - held.idle_since < IDLE_RETURN_S:
            return False
        service = held.service
        forecast = self._forecasts_by_service.get(service)
        if forecast is None:
            return True
        return self._table.usable_count(service, now) > forecast.needed_slots(now)

    def _end_returned_leases(self, borrower: Peer, held: tuple[Slot, ...], now: float) -> None:
        kept = frozenset(held)
        for lent in self._table.lent_to(borrower, now):
            if lent.slot not in kept:
                lent.lease = None

    def _renew(self, borrower: Peer, now: float) -> list[Slot]:
        renewed = []
        for lent in self._table.lent_to(borrower, now):
            if self._queue_lengths_by_service.get(lent.service, 0):
                continue
            lent.lease = self._new_lease(borrower, now)
            renewed.append(lent.slot)
        return renewed

    def _lend(self, borrower: Peer, slots: list[HeldSlot], now: float) -> list[Slot]:
        for held in slots:
            held.lease = self._new_lease(borrower, now)
        return [held.slot for held in slots]

    def _new_lease(self, borrower: Peer, now: float) -> Lease:
        return Lease(borrower, now + self.term_s * (1 + self.clock_drift))

    def _spare_slots(
        self, service: str, now: float, *, urgent: bool = False, is_remote: bool = False
    ) -> list[HeldSlot]:
        """Return the free owned slots that this host can lend.

        A request is ``urgent`` if the borrower has requests queued, and ``is_remote`` if it comes
        from another region. An urgent request may get all slots that this host's queue leaves, but
        for ``REMOTE_REGION_RESERVE_SLOTS`` if it is remote. Other requests may get what the queue
        and the forecast leave, but never the last free slot.
        """
        forecast = self._forecasts_by_service.get(service)
        if forecast is None:
            return []
        free = self._table.lendable_slots(service, now)
        queue_length = self._queue_lengths_by_service.get(service, 0)
        if urgent:
            reserve = REMOTE_REGION_RESERVE_SLOTS if is_remote and forecast.needed_slots(now) else 0
            return free[queue_length + reserve :]
        held = self._table.slots_of(service)
        busy = sum(slot.busy for slot in held)
        kept = max(forecast.needed_slots(now) - busy, 1) + queue_length
        return free[kept:]
