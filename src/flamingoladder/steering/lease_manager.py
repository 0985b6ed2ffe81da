"""One host's side of the leases on slots: what it asks, grants and gives back."""

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

IDLE_RETURN_S = 0.1
FAR_RESERVE = 1


class LeaseManager:
    """Leases of one host, with all other hosts."""

    __slots__ = (
        "_book",
        "_heard_by_peer",
        "_needs_by_service",
        "_sequence",
        "_waiting_by_service",
        "division_version",
        "drift",
        "far_hosts",
        "term_s",
    )

    def __init__(
        self,
        book: SlotTable,
        needs_by_service: Mapping[str, SlotForecast],
        waiting_by_service: Mapping[str, int],
    ) -> None:
        self._book = book
        self._needs_by_service = needs_by_service
        self._waiting_by_service = waiting_by_service
        self._sequence = 0
        self._heard_by_peer: dict[Peer, int] = {}
        self.division_version = 0
        self.drift = 0.0
        self.far_hosts: frozenset[str] = frozenset()
        self.term_s = 0.0

    def adopt(self, division_version: int, longest_deadline_s: float, drift: float) -> None:
        """Go over to a division; the term of later leases holds the longest request."""
        self.division_version = division_version
        self.term_s = longest_deadline_s + LEASE_MARGIN_S
        self.drift = drift

    def question(self, giver: Peer, wanted: Mapping[str, int], now: float) -> LeaseRequest:
        """Return a question to ``giver``, after letting go of what is idle."""
        self._sequence += 1
        for held in self._book.borrowed_from(giver, now):
            if self.is_idle(held, now):
                self._book.give_up(held)
        slots = tuple(held.slot for held in self._book.borrowed_from(giver, now))
        return LeaseRequest(
            self.division_version, self._sequence, slots, dict(wanted), self._waiting(now)
        )

    def hear(self, taker: Peer, question: LeaseRequest, now: float) -> bool:
        """Take in what ``taker`` still holds; return whether the question is to be answered."""
        if question.division_version != self.division_version:
            return False
        if question.sequence <= self._heard_by_peer.get(taker, 0):
            return False
        self._heard_by_peer[taker] = question.sequence
        self._take_back(taker, question.held, now)
        return True

    def could_grant(self, taker: Peer, question: LeaseRequest, now: float) -> bool:
        """Return whether an answer would grant what waiting requests of the asker want."""
        services = question.waiting_by_service.keys() & question.wanted_by_service.keys()
        return any(
            self._spare(service, now, urgent=True, far=taker.host in self.far_hosts)
            for service in services
        )

    def answer(
        self, taker: Peer, question: LeaseRequest, now: float, wins: str | None = None
    ) -> LeaseReply | None:
        """Return the answer to a question, after deducting what it grants.

        For the service ``wins``, the asker's waiting requests go before this host's.
        There is none if a later question or division has voided it since it was heard.
        """
        if question.division_version != self.division_version:
            return None
        if question.sequence != self._heard_by_peer.get(taker):
            return None
        renewed = self._renew(taker, now)
        granted: list[Slot] = []
        for service, wanted in question.wanted_by_service.items():
            if service == wins:
                granted += self._lend(taker, self._book.lendable(service, now)[:1], now)
                continue
            urgent = service in question.waiting_by_service
            far = taker.host in self.far_hosts
            spare = self._spare(service, now, urgent=urgent, far=far)
            granted += self._lend(taker, spare[:wanted], now)
        left = {service: len(self._spare(service, now)) for service in self._needs_by_service}
        return LeaseReply(tuple(granted), tuple(renewed), left)

    def credit(self, giver: Peer, answer: LeaseReply, asked_at: float, now: float) -> None:
        """Use what an answer grants; its question must be the last one to ``giver``."""
        usable_until = asked_at + self.term_s
        renewed = frozenset(answer.renewed)
        for held in self._book.borrowed_from(giver, now):
            if held.slot in renewed:
                held.usable_until = max(held.usable_until, usable_until)
            else:
                self._book.give_up(held)
        for slot in answer.granted:
            self._book.borrow(slot, giver, usable_until, now)

    def give_back_free(self, owner: Peer, question: LeaseRequest, now: float) -> bool:
        """Give up the free slots of an owner whose own requests wait; return whether any was."""
        services = question.waiting_by_service.keys()
        found = False
        for held in self._book.borrowed_from(owner, now):
            if held.service in services and not held.busy:
                self._book.give_up(held)
                found = True
        return found

    def waiting_here(self, service: str, now: float) -> Backlog:
        """Return this host's waiting requests of a service."""
        slots = self._book.usable_count(service, now)
        return Backlog(self._waiting_by_service.get(service, 0), slots)

    def _waiting(self, now: float) -> dict[str, Backlog]:
        counts = self._waiting_by_service
        return {name: self.waiting_here(name, now) for name, count in counts.items() if count}

    def has_idle(self, giver: Peer, now: float) -> bool:
        """Return whether a slot of ``giver`` is to go back."""
        return any(self.is_idle(held, now) for held in self._book.borrowed_from(giver, now))

    def is_idle(self, held: HeldSlot, now: float) -> bool:
        """Return whether a borrowed slot is free and more than this host needs."""
        if held.busy or now - held.idle_since < IDLE_RETURN_S:
            return False
        service = held.service
        need = self._needs_by_service.get(service)
        if need is None:
            return True
        return self._book.usable_count(service, now) > need.slots(now)

    def _take_back(self, taker: Peer, held: tuple[Slot, ...], now: float) -> None:
        kept = frozenset(held)
        for lent in self._book.lent_to(taker, now):
            if lent.slot not in kept:
                lent.lease = None

    def _renew(self, taker: Peer, now: float) -> list[Slot]:
        renewed = []
        for lent in self._book.lent_to(taker, now):
            if self._waiting_by_service.get(lent.service, 0):
                continue
            lent.lease = self._lease(taker, now)
            renewed.append(lent.slot)
        return renewed

    def _lend(self, taker: Peer, slots: list[HeldSlot], now: float) -> list[Slot]:
        for held in slots:
            held.lease = self._lease(taker, now)
        return [held.slot for held in slots]

    def _lease(self, taker: Peer, now: float) -> Lease:
        return Lease(taker, now + self.term_s * (1 + self.drift))

    def _spare(
        self, service: str, now: float, *, urgent: bool = False, far: bool = False
    ) -> list[HeldSlot]:
        """Return the free own slots beyond what this host, and those near it, may need."""
        need = self._needs_by_service.get(service)
        if need is None:
            return []
        free = self._book.lendable(service, now)
        waiting = self._waiting_by_service.get(service, 0)
        if urgent:
            reserve = FAR_RESERVE if far and need.slots(now) else 0
            return free[waiting + reserve :]
        held = self._book.slots(service)
        busy = sum(slot.busy for slot in held)
        kept = max(need.slots(now) - busy, 1) + waiting
        return free[kept:]
