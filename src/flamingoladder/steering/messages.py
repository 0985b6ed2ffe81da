"""Messages between hosts about slots of targets."""

from __future__ import annotations

import msgspec


class Slot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One slot of a target; ``target`` is ``service/target``, ``index`` counts from 0."""

    target: str
    index: int

    @property
    def service(self) -> str:
        """Return the service of the target."""
        return self.target.partition("/")[0]


class Backlog(msgspec.Struct, frozen=True, array_like=True):
    """How many requests of a service wait at a host, and how many slots it has for them."""

    requests: int
    slots: int

    @property
    def requests_per_slot(self) -> float:
        """Return how many requests wait for each slot, counting one more slot."""
        return self.requests / (self.slots + 1)


class LeaseRequest(msgspec.Struct, frozen=True, tag="slot_question"):
    """Asks for leases on slots, and states which of the receiver's slots the sender holds.

    ``sequence`` rises with each question of one run of the sender. A question voids every answer
    to an earlier one: the sender will not use what such an answer grants. ``waiting_by_service``
    has the sender's requests that wait for a slot, where there are any.
    """

    division_version: int
    sequence: int
    held: tuple[Slot, ...]
    wanted_by_service: dict[str, int]
    waiting_by_service: dict[str, Backlog]


class LeaseReply(msgspec.Struct, frozen=True, tag="slot_answer"):
    """The leases granted and renewed, both for a whole term, and what could still be granted."""

    granted: tuple[Slot, ...]
    renewed: tuple[Slot, ...]
    spare_by_service: dict[str, int]


class SlotsReleased(msgspec.Struct, frozen=True, tag="slots_released"):
    """The sender, earlier owner of ``slots``, has stopped using them for good."""

    division_version: int
    slots: tuple[Slot, ...]


SteeringMessage = LeaseRequest | LeaseReply | SlotsReleased
