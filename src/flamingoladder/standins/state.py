"""A state in force that tests and measurements set by hand."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from reactivex.subject import ReplaySubject

from flamingoladder.config.agreed import AgreedState
from flamingoladder.config.agreed import StateInForce

if TYPE_CHECKING:
    from reactivex import Observable

    from flamingoladder.config.model import Defaults


def last_proof_ends_at(defaults: Defaults, now: float) -> float:
    """Return when the last proof ends that a host may have had at ``now``, monotonic seconds."""
    return now + defaults.proof_s * (1 + defaults.clock_drift)


class SettableState(StateInForce):
    """One host's view of the agreed state; ``proven`` is its answer to ``has_proof``.

    ``settles_at`` is its answer to ``division_settles_at``: the term of a proof after ``put``, for
    tests in which every host is given the state by then or loses its proof.
    """

    __slots__ = ("_changes", "_current", "proven", "settles_at")

    def __init__(self, state: AgreedState | None = None) -> None:
        self._changes: ReplaySubject[AgreedState] = ReplaySubject(1)
        self._current: AgreedState | None = None
        self.proven = True
        self.settles_at = math.inf
        if state is not None:
            self.put(state)

    @property
    def changes(self) -> Observable[AgreedState]:
        """Return the stream of states."""
        return self._changes

    @property
    def current(self) -> AgreedState | None:
        """Return the newest state."""
        return self._current

    def has_proof(self, now: float) -> bool:
        """Return ``proven`` once there is a state."""
        return self.proven and self._current is not None

    def division_settles_at(self) -> float:
        """Return ``settles_at``."""
        return self.settles_at

    def settle(self, at: float) -> None:
        """Let the division settle at ``at`` and repeat the state."""
        self.settles_at = at
        if self._current is not None:
            self._changes.on_next(self._current)

    def put(self, state: AgreedState) -> None:
        """Put ``state`` in force."""
        if self._current is None or self._current.division_version != state.division_version:
            now = asyncio.get_running_loop().time()
            self.settles_at = last_proof_ends_at(state.deployment.defaults, now)
        self._current = state
        self._changes.on_next(state)
