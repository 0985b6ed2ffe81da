"""The slots that one host may use: those it owns and has not lent, and those it has borrowed.

Only one host uses a slot at a time. The lender stops using a slot before it sends the lease, and
counts the lease term from then, extended by the clock drift. The borrower counts the term from
before it sent its request, and starts a request on the slot only if that ends before the lease.
"""

from __future__ import annotations

from math import inf
from math import isinf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingoladder.peers.link import Peer
    from flamingoladder.steering.messages import Slot
    from flamingoladder.steering.slot_division import SlotDivision

# Least time between the deadline of a request and the end of the lease that it runs on.
DEADLINE_MARGIN_S = 0.25
# Added to the longest deadline to get the lease term.
LEASE_MARGIN_S = 3.0


class Lease:
    """A slot lent to ``borrower`` until ``expires_at`` by the lender's clock."""

    __slots__ = ("borrower", "expires_at")

    def __init__(self, borrower: Peer, expires_at: float) -> None:
        self.borrower = borrower
        self.expires_at = expires_at


class HeldSlot:
    """A slot that this host owns (``lender`` is None) or has borrowed.

    Requests may start from ``usable_from`` on if they end by ``usable_until``; both are monotonic
    seconds. ``usable_from`` is infinite while an earlier owner may still use the slot for an
    unknown time. ``idle_since`` is when the last request ended.
    """

    __slots__ = (
        "busy",
        "idle_since",
        "lease",
        "lender",
        "service",
        "slot",
        "usable_from",
        "usable_until",
    )

    def __init__(
        self, slot: Slot, lender: Peer | None, usable_from: float, usable_until: float, now: float
    ) -> None:
        self.slot = slot
        self.service = slot.service
        self.lender = lender
        self.usable_from = usable_from
        self.usable_until = usable_until
        self.busy = False
        self.lease: Lease | None = None
        self.idle_since = now

    def is_free(self, deadline: float, now: float) -> bool:
        """Return whether a request that ends by ``deadline`` may start on the slot."""
        if self.busy or self.is_lent(now) or now < self.usable_from:
            return False
        return deadline + DEADLINE_MARGIN_S <= self.usable_until

    def is_lent(self, now: float) -> bool:
        """Return whether another host may be using the slot."""
        if self.lease is not None and self.lease.expires_at <= now:
            self.lease = None
        return self.lease is not None


class SlotTable:
    """All slots that one host holds."""

    __slots__ = ("_borrowed_by_slot", "_owned_by_slot")

    def __init__(self) -> None:
        self._owned_by_slot: dict[Slot, HeldSlot] = {}
        self._borrowed_by_slot: dict[Slot, HeldSlot] = {}

    def set_owned(
        self, owned: Iterable[Slot], division: SlotDivision, now: float
    ) -> list[HeldSlot]:
        """Set the owned slots, and return the ones that are no longer owned.

        A newly owned slot is unusable until ``set_usable_from`` is called. A borrowed slot is kept
        if its owner is unchanged.
        """
        previous = self._owned_by_slot
        self._owned_by_slot = {}
        for slot in owned:
            held = previous.pop(slot, None)
            self._owned_by_slot[slot] = held or HeldSlot(slot, None, inf, inf, now)
        for borrowed in tuple(self._borrowed_by_slot.values()):
            if division.owner_of(borrowed.slot) != borrowed.lender:
                self.stop_using(borrowed)
        return list(previous.values())

    def set_usable_from(self, at: float) -> None:
        """Make the owned slots that earlier owners may still use usable from ``at`` on."""
        for owned in self._owned_by_slot.values():
            if isinf(owned.usable_from):
                owned.usable_from = at

    def suspend(self) -> None:
        """Stop using all slots, as other hosts may have owned them in between.

        Owned slots are unusable until ``set_usable_from`` is called. Granted leases stay in force:
        their borrowers may not have received the new division yet.
        """
        for owned in self._owned_by_slot.values():
            owned.usable_from = inf
        for borrowed in tuple(self._borrowed_by_slot.values()):
            self.stop_using(borrowed)

    def use_released(self, slots: Iterable[Slot], now: float) -> None:
        """Make the slots that their earlier owner has released usable at once."""
        for slot in slots:
            held = self._owned_by_slot.get(slot)
            if held is not None:
                held.usable_from = min(held.usable_from, now)

    def slots_of(self, service: str) -> list[HeldSlot]:
        """Return the owned and borrowed slots of a service."""
        held = [*self._owned_by_slot.values(), *self._borrowed_by_slot.values()]
        return [slot for slot in held if slot.service == service]

    def usable_count(self, service: str, now: float) -> int:
        """Return how many slots of a service this host may use, including busy ones."""
        return sum(
            held.usable_from <= now < held.usable_until and not held.is_lent(now)
            for held in self.slots_of(service)
        )

    def lendable_slots(self, service: str, now: float) -> list[HeldSlot]:
        """Return the free owned slots of a service."""
        owned = self._owned_by_slot.values()
        return [held for held in owned if held.service == service and held.is_free(now, now)]

    def lent_to(self, borrower: Peer, now: float) -> list[HeldSlot]:
        """Return the owned slots that ``borrower`` may be using."""
        return [
            held
            for held in self._owned_by_slot.values()
            if held.is_lent(now) and held.lease is not None and held.lease.borrower == borrower
        ]

    def borrowed_from(self, lender: Peer, now: float) -> list[HeldSlot]:
        """Return the slots borrowed from ``lender``, and busy ones whose lease has expired."""
        for held in tuple(self._borrowed_by_slot.values()):
            if held.usable_until <= now:
                self.stop_using(held)
        return [held for held in self._borrowed_by_slot.values() if held.lender == lender]

    def borrow(self, slot: Slot, lender: Peer, usable_until: float, now: float) -> None:
        """Add a slot of ``lender`` for requests that end by ``usable_until``."""
        if slot not in self._borrowed_by_slot:
            self._borrowed_by_slot[slot] = HeldSlot(slot, lender, now, usable_until, now)

    def stop_using(self, held: HeldSlot) -> None:
        """Start no more requests on a borrowed slot, and remove it unless it is busy."""
        held.usable_until = -inf
        if not held.busy:
            self._borrowed_by_slot.pop(held.slot, None)

    def release(self, held: HeldSlot, now: float) -> None:
        """Mark the slot as free after its request has ended."""
        held.busy = False
        held.idle_since = now
        if held.lender is not None and held.usable_until <= now:
            self.stop_using(held)
