"""Changes of drains."""

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
        """Return the drains of other things."""
        key = (self.drain.kind, self.drain.name)
        return tuple(drain for drain in state.drains if (drain.kind, drain.name) != key)


class AddDrain(_DrainChange):
    """Takes a target, failure domain or host out of use for new work."""

    __slots__ = ()

    def apply(self, state: AgreedState) -> AgreedState | Rejection:
        """Add the drain, in place of an earlier one of the same thing."""
        if self.drain in state.drains:
            return state
        return replace(state, drains=(*self._others(state), self.drain))


class RemoveDrain(_DrainChange):
    """Puts a drained target, failure domain or host back to use."""

    __slots__ = ()

    def apply(self, state: AgreedState) -> AgreedState | Rejection:
        """Remove the drain of the same thing, whatever its reason."""
        others = self._others(state)
        if len(others) == len(state.drains):
            return state
        return replace(state, drains=others)
