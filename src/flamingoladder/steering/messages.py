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
    """The queued requests of a service at a host, and the slots that it has for them."""

    requests: int
    slots: int

    @property
    def requests_per_slot(self) -> float:
        """Return the queued requests per slot; one slot is added, as there may be none."""
        return self.requests / (self.slots + 1)


class LeaseRequest(msgspec.Struct, frozen=True, tag="slot_question"):
    """A request for leases on slots; ``held`` are the receiver's slots that the sender holds.

    ``sequence`` rises with each request of one incarnation of the sender. A request invalidates
    the replies to earlier ones: the sender does not use the slots that they grant.
    ``backlogs_by_service`` has the sender's backlog of each service that has one.
    """

    division_version: int
    sequence: int
    held: tuple[Slot, ...]
    wanted_by_service: dict[str, int]
    backlogs_by_service: dict[str, Backlog] = msgspec.field(name="waiting_by_service")


class LeaseReply(msgspec.Struct, frozen=True, tag="slot_answer"):
    """The leases granted and renewed, both for a full term, and how many slots are spare."""

    granted: tuple[Slot, ...]
    renewed: tuple[Slot, ...]
    spare_by_service: dict[str, int]


class SlotsReleased(msgspec.Struct, frozen=True, tag="slots_released"):
    """A notice that the sender, the earlier owner of ``slots``, has stopped using them."""

    division_version: int
    slots: tuple[Slot, ...]


SteeringMessage = LeaseRequest | LeaseReply | SlotsReleased
