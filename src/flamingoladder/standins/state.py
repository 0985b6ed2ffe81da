"""A state in force that tests and measurements set by hand."""

from __future__ import annotations

from typing import TYPE_CHECKING

from reactivex import operators
from reactivex.subject import ReplaySubject

from flamingoladder.config.agreed import AgreedState
from flamingoladder.config.agreed import StateInForce

if TYPE_CHECKING:
    from reactivex import Observable


class SettableState(StateInForce):
    """One host's view of the agreed state; ``proven`` is its answer to ``has_proof``."""

    __slots__ = ("_changes", "_current", "proven")

    def __init__(self, state: AgreedState | None = None) -> None:
        self._changes: ReplaySubject[AgreedState] = ReplaySubject(1)
        self._current: AgreedState | None = None
        self.proven = True
        if state is not None:
            self.put(state)

    @property
    def changes(self) -> Observable[AgreedState]:
        """Return the stream of states."""
        return self._changes.pipe(operators.distinct_until_changed())

    @property
    def current(self) -> AgreedState | None:
        """Return the newest state."""
        return self._current

    def has_proof(self, now: float) -> bool:
        """Return ``proven`` once there is a state."""
        return self.proven and self._current is not None

    def put(self, state: AgreedState) -> None:
        """Put ``state`` in force."""
        self._current = state
        self._changes.on_next(state)
