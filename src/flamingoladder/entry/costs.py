"""What a request is expected to take at a target, in units of a run that is not warm."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingoladder.targets.state import TargetState

WARM_PART = 0.3
HANDLED_PART = 0.45
COLD_PART = 1.0
AWAY_PART = 0.12


def path(*, away: bool) -> float:
    """Return what the way to a target takes; ``away`` if it is in another region."""
    return AWAY_PART if away else 0.0


def work(target: TargetState, home: TargetState | None, object_key: str | None) -> float:
    """Return what a run takes; away from the object's home warmth is less sure."""
    if target is home:
        return WARM_PART
    return HANDLED_PART if target.recently_handled(object_key) else COLD_PART


def line(in_line: int, slots: int) -> float:
    """Return the wait for a slot at this place in line."""
    return in_line * WARM_PART / slots


def seconds(cost: float, usual_s: float, *, warm: bool) -> float:
    """Return ``cost`` in seconds, where a run usually takes ``usual_s``, ``warm`` or not."""
    return usual_s * cost / (WARM_PART if warm else 1.0)
