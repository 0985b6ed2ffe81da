"""The interface between the choice of a target and the dispatch of a request to it."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.verdict import Refusal


class AttemptOutcome(StrEnum):
    """The outcome of an attempt at a target.

    ``INVALID``: an answer with a status that no final answer has; ``UNREACHABLE``: no connection;
    ``LOST``: the connection broke; ``SILENT``: the connection stayed open, but nothing came;
    ``CANCELLED``: ended by this host or its caller.
    """

    ANSWERED = "answered"
    INVALID = "invalid"
    SHED = "shed"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    SILENT = "silent"
    CANCELLED = "cancelled"


class Reservation(ABC):
    """A slot of a target, reserved for one attempt."""

    @property
    @abstractmethod
    def target(self) -> str:
        """Return the target's name, ``service/target``."""

    @property
    @abstractmethod
    def address(self) -> str:
        """Return the target's ``ip:port``."""

    @property
    @abstractmethod
    def region(self) -> str:
        """Return the target's region."""

    @abstractmethod
    def release(self, outcome: AttemptOutcome, now: float) -> None:
        """Release the slot; ``now`` is monotonic time in seconds."""


class TargetChooser(ABC):
    """Chooses a target within the slots that this host may use."""

    @abstractmethod
    async def reserve(
        self, request: CallerRequest, tried: Collection[str], now: float
    ) -> Reservation | Refusal:
        """Return a reservation of a target not in ``tried``, or a refusal ``NOT_RUN``.

        May wait for a free slot until the request's deadline.
        """
