"""Changes of the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from flamingoladder.config.agreed import AgreedState
from flamingoladder.freshness.changes import NO_STATE_VERSION
from flamingoladder.freshness.changes import Change
from flamingoladder.freshness.changes import Rejection

if TYPE_CHECKING:
    from flamingoladder.config.model import Deployment


class ApplyConfiguration(Change):
    """Puts a configuration in place of another.

    ``expected_version`` is the configuration version that it was made from; 0 expects none.
    """

    __slots__ = ("deployment", "expected_version")

    def __init__(self, expected_version: int, deployment: Deployment) -> None:
        self.expected_version = expected_version
        self.deployment = deployment

    @property
    def scope(self) -> str:
        """Return ``config``."""
        return "config"

    def apply(self, state: AgreedState) -> AgreedState | Rejection:
        """Replace the deployment if no other was committed since the expected version."""
        if state.deployment == self.deployment:
            return state
        if state.configuration_version != self.expected_version:
            return self._conflict(state.configuration_version)
        return replace(state, deployment=self.deployment)

    def create(self) -> AgreedState | Rejection:
        """Return the first state."""
        if self.expected_version != NO_STATE_VERSION:
            return self._conflict(NO_STATE_VERSION)
        version = NO_STATE_VERSION
        return AgreedState(version, version, version, self.deployment)

    def _conflict(self, present: int) -> Rejection:
        return Rejection(f"expected version {self.expected_version}, found {present}", True)
