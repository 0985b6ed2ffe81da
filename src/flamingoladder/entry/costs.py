"""Expected cost of a request at a target, in units of a cold run.

A run is cold if its target has not handled the request's object recently.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingoladder.targets.state import TargetState

WARM_RUN_COST = 0.3
# For targets other than the home; counting their runs as warm as at home gave no better scores.
RECENT_RUN_COST = 0.45
COLD_RUN_COST = 1.0
CROSS_REGION_COST = 0.12


def network_cost(*, cross_region: bool) -> float:
    """Return the cost of the network path to a target."""
    return CROSS_REGION_COST if cross_region else 0.0


def run_cost(target: TargetState, home: TargetState | None, object_key: str | None) -> float:
    """Return the cost of a run.

    Away from the object's home, a target that handled it may no longer be warm for it.
    """
    if target is home:
        return WARM_RUN_COST
    return RECENT_RUN_COST if target.recently_handled(object_key) else COLD_RUN_COST


def queueing_cost(queue_position: int, slots: int) -> float:
    """Return the cost of waiting for a slot at this queue position."""
    return queue_position * WARM_RUN_COST / slots


def expected_s(cost: float, typical_s: float, *, warm: bool) -> float:
    """Return ``cost`` in seconds; ``typical_s`` is that of a typical run, ``warm`` or cold."""
    return typical_s * cost / (WARM_RUN_COST if warm else 1.0)
