"""The time in which a target wants nothing from this host, and its gentle return to use."""

from __future__ import annotations

# A target that needs longer leaves, so a longer pause is more likely an error than a wish.
MAX_PAUSE_S = 60.0
# Hosts that were told to wait until the same moment come back one after the other in this time.
RESUME_SPREAD_S = 0.75
# Until the target has answered, it gets one request of a host in this time.
TRIAL_INTERVAL_S = 0.25


class TargetPause:
    """A pause that a target named. Times are monotonic seconds.

    ``resume_at`` is when this host may send again: after the pause's end, in its turn.
    """

    __slots__ = ("_is_over", "_next_trial_at", "resume_at")

    def __init__(self) -> None:
        self._is_over = True
        self._next_trial_at = 0.0
        self.resume_at = 0.0

    def name(self, seconds: float, turn: float, now: float) -> None:
        """Take in a pause of ``seconds`` from now on; an earlier, longer one still holds.

        ``turn`` is this host's place among all, from 0 to 1.
        """
        ends_at = now + min(seconds, MAX_PAUSE_S)
        self.resume_at = max(self.resume_at, ends_at + turn * RESUME_SPREAD_S)
        self._next_trial_at = self.resume_at
        self._is_over = False

    def note_answer(self, sent_at: float) -> None:
        """Note an answer that names no pause, to a request that was sent at ``sent_at``."""
        if sent_at >= self.resume_at:
            self._is_over = True

    def rests(self, now: float) -> bool:
        """Return whether nothing may be sent."""
        return now < self.resume_at

    def allows_send(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        return self._is_over or now >= self._next_trial_at

    def count_send(self, now: float) -> None:
        """Count a request that is being sent."""
        self._next_trial_at = now + TRIAL_INTERVAL_S
