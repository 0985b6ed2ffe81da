"""What a request is expected to take at a target, in units of a run that is not warm."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingoladder.targets.state import TargetState

WARM_RUN_COST = 0.3
RECENT_RUN_COST = 0.45
COLD_RUN_COST = 1.0
CROSS_REGION_COST = 0.12


def network_cost(*, cross_region: bool) -> float:
    """Return what the way to a target takes; ``away`` if it is in another region."""
    return CROSS_REGION_COST if cross_region else 0.0


def run_cost(target: TargetState, home: TargetState | None, object_key: str | None) -> float:
    """Return what a run takes; away from the object's home warmth is less sure."""
    if target is home:
        return WARM_RUN_COST
    return RECENT_RUN_COST if target.recently_handled(object_key) else COLD_RUN_COST


def queueing_cost(queue_position: int, slots: int) -> float:
    """Return the wait for a slot at this place in line."""
    return queue_position * WARM_RUN_COST / slots


def expected_s(cost: float, usual_s: float, *, warm: bool) -> float:
    """Return ``cost`` in seconds, where a run usually takes ``usual_s``, ``warm`` or not."""
    return usual_s * cost / (WARM_RUN_COST if warm else 1.0)
