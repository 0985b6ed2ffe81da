"""What the path of a request needs of the protocol towards targets."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingoladder.entry.request import RoutedRequest
    from flamingoladder.entry.results import ProbeResult
    from flamingoladder.entry.results import SendResult
    from flamingoladder.targets.state import TargetState


class TargetClient(ABC):
    """Sends requests to targets, each once."""

    @abstractmethod
    async def send(self, request: RoutedRequest, target: TargetState) -> SendResult:
        """Send the request once, bounded by its deadline, and say what came of it."""

    @abstractmethod
    async def probe(self, target: TargetState, path: str, timeout_s: float) -> ProbeResult:
        """Ask the target whether it is healthy."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections as their requests end."""
