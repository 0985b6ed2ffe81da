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
    """How an attempt at a target ended."""

    ANSWERED = "answered"
    SHED = "shed"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    SILENT = "silent"
    CANCELLED = "cancelled"


class Reservation(ABC):
    """A slot of a target, held for one attempt."""

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
        """Give the slot back; ``now`` is monotonic time in seconds."""


class TargetChooser(ABC):
    """Chooses a target within this host's shares of regions' and targets' slots."""

    @abstractmethod
    async def reserve(
        self, request: CallerRequest, tried: Collection[str], now: float
    ) -> Reservation | Refusal:
        """Return a slot of a target not in ``tried``, or a refusal ``NOT_RUN``.

        May wait inside the request's deadline for a slot to become free.
        """
