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


class RunCosts:
    """The costs of runs of one service, by whether the target handled the object recently.

    Away from the object's home, a target that handled it may no longer be warm for it.
    """

    __slots__ = ("recent", "warm")

    def __init__(self, warm: float) -> None:
        self.warm = warm
        gain = (COLD_RUN_COST - warm) / (COLD_RUN_COST - WARM_RUN_COST)
        self.recent = warm + gain * (RECENT_RUN_COST - WARM_RUN_COST)

    def run(self, target: TargetState, *, is_home: bool, object_key: str | None) -> float:
        """Return the cost of a run."""
        if is_home:
            return self.warm
        return self.recent if target.recently_handled(object_key) else COLD_RUN_COST

    def queueing(self, queue_position: int, slots: int) -> float:
        """Return the cost of waiting for a slot at this queue position."""
        return queue_position * self.warm / slots

    def expected_s(self, cost: float, typical_s: float, *, warm: bool) -> float:
        """Return ``cost`` in seconds; ``typical_s`` is that of a typical run, warm or cold."""
        return typical_s * cost / (self.warm if warm else COLD_RUN_COST)


USUAL_RUN_COSTS = RunCosts(WARM_RUN_COST)
# Where affinity gains nothing, runs take the same time everywhere.
EVEN_RUN_COSTS = RunCosts(COLD_RUN_COST)
