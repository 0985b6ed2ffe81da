"""What a change of the agreed state is; the slices that own its parts define the changes."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.storage.table import Condition

NO_STATE_VERSION = 0


class Rejection(msgspec.Struct, frozen=True):
    """Why a change does not apply; ``conflict`` if only because of the expected version."""

    reason: str = msgspec.field(name="why")
    conflict: bool = False


class Change(ABC):
    """A change of the agreed state. Applying one that already holds returns the state itself."""

    __slots__ = ()

    @property
    @abstractmethod
    def scope(self) -> str:
        """Return what the change is about, such as ``key:<id>``."""

    @abstractmethod
    def apply(self, state: AgreedState) -> AgreedState | Rejection:
        """Return the changed state, with ``state``'s version, or why there is none."""

    @property
    def suspended_key(self) -> str | None:
        """Return the id of the key that is refused while the change is being committed."""
        return None

    @property
    def conditions(self) -> tuple[Condition, ...]:
        """Return what the commit requires besides the unchanged head."""
        return ()

    def create(self) -> AgreedState | Rejection:
        """Return the first state, where there is none yet."""
        return Rejection("no configuration has been applied yet")
