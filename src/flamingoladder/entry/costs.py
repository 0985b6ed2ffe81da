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
# A tie-breaker: a few ms of delay, and bytes between failure domains cost money.
CROSS_DOMAIN_COST = 0.02
CROSS_DOMAIN_COST_PER_BYTE = 0.04 / 65_536
MAX_PART_OF_POSITION = 0.9


class NetworkCosts:
    """The costs of the network paths from this host to targets, for one request.

    ``near_domain`` is this host's failure domain, or None if no target of the service is in it: all
    targets of the region are then as far.
    """

    __slots__ = ("_crossing", "_near_domain", "_region")

    def __init__(self, region: str, near_domain: str | None, body_bytes: int) -> None:
        self._region = region
        self._near_domain = near_domain
        self._crossing = CROSS_DOMAIN_COST + CROSS_DOMAIN_COST_PER_BYTE * body_bytes

    def of(self, target: TargetState, position_cost: float) -> float:
        """Return the cost of the path to a target.

        Crossing to another failure domain costs less than ``position_cost``, that of a place in its
        queue, so that no request waits for a slot to stay near while another target has one.
        """
        region = CROSS_REGION_COST if target.region != self._region else 0.0
        if self._near_domain in (None, target.record.failure_domain):
            return region
        return region + min(self._crossing, MAX_PART_OF_POSITION * position_cost)


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
