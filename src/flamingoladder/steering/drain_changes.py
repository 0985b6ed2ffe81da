"""Changes that add and remove drains."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from flamingoladder.freshness.changes import Change

if TYPE_CHECKING:
    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.config.agreed import Drain
    from flamingoladder.freshness.changes import Rejection


class _DrainChange(Change):
    """A change of one drain."""

    __slots__ = ("drain",)

    def __init__(self, drain: Drain) -> None:
        self.drain = drain

    @property
    def scope(self) -> str:
        """Return ``drain:<kind>/<name>``."""
        return f"drain:{self.drain.kind}/{self.drain.name}"

    def _others(self, state: AgreedState) -> tuple[Drain, ...]:
        """Return all drains but those of this change's target, failure domain or host."""
        key = (self.drain.kind, self.drain.name)
        return tuple(drain for drain in state.drains if (drain.kind, drain.name) != key)


class AddDrain(_DrainChange):
    """Stops new requests to a target, failure domain or host."""

    __slots__ = ()

    def apply(self, state: AgreedState) -> AgreedState | Rejection:
        """Add the drain, replacing an earlier one of the same kind and name."""
        if self.drain in state.drains:
            return state
        return replace(state, drains=(*self._others(state), self.drain))


class RemoveDrain(_DrainChange):
    """Allows new requests to a drained target, failure domain or host again."""

    __slots__ = ()

    def apply(self, state: AgreedState) -> AgreedState | Rejection:
        """Remove the drain of the same kind and name, whatever its reason."""
        others = self._others(state)
        if len(others) == len(state.drains):
            return state
        return replace(state, drains=others)
