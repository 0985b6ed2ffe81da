"""Interface of the client that sends requests to targets."""

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
    """Sends requests and health probes to targets, without retries."""

    @abstractmethod
    async def send(self, request: RoutedRequest, target: TargetState) -> SendResult:
        """Send the request once, bounded by its target deadline, and return the result."""

    @abstractmethod
    async def probe(self, target: TargetState, path: str, timeout_s: float) -> ProbeResult:
        """Return the result of a health check on ``path``."""

    @abstractmethod
    async def close(self) -> None:
        """Close each connection when its request has ended."""
