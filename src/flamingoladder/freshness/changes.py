"""The base class of changes to the agreed state, such as ``keys.changes.GrantKey``."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.storage.table import Condition

# The version before the first commit.
NO_STATE_VERSION = 0


class Rejection(msgspec.Struct, frozen=True):
    """Why a change does not apply; ``conflict`` if only because of the expected version."""

    reason: str
    conflict: bool = False


class Change(ABC):
    """A change of the agreed state; if it has no effect, ``apply`` returns the same object."""

    __slots__ = ()

    @property
    @abstractmethod
    def scope(self) -> str:
        """Return the part of the state that the change affects, such as ``key:<id>``."""

    @abstractmethod
    def apply(self, state: AgreedState) -> AgreedState | Rejection:
        """Return the changed state, still with ``state``'s version, or a rejection."""

    @property
    def suspended_key(self) -> str | None:
        """Return the id of the key that is refused while the change is being committed."""
        return None

    @property
    def conditions(self) -> tuple[Condition, ...]:
        """Return the table conditions that the commit requires besides an unchanged head."""
        return ()

    def create(self) -> AgreedState | Rejection:
        """Return the initial state if the change can create one, or a rejection."""
        return Rejection("no configuration has been applied yet")
