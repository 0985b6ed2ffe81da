"""Compares targets for one request by their expected costs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from flamingoladder.entry.costs import COLD_RUN_COST
from flamingoladder.entry.costs import USUAL_RUN_COSTS
from flamingoladder.targets.state import TargetState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingoladder.entry.costs import NetworkCosts
    from flamingoladder.entry.costs import RunCosts


class Choice(msgspec.Struct, frozen=True):
    """A chosen target, with its ``load`` in requests and its ``cost`` in units of a cold run.

    ``is_home`` is set if the target is the object's home. ``is_warm`` is set if the target has
    probably handled the object recently, or if the request concerns no object; ``handled`` if it
    certainly has, and ``is_new`` if no host is known to have asked for the object before. Work at
    the target takes ``pace`` times its usual duration now.
    """

    target: TargetState
    is_home: bool
    is_warm: bool
    load: int
    cost: float
    pace: float = 1.0
    handled: bool = False
    is_new: bool = False

    @property
    def queue_position(self) -> int:
        """Return the request's position in the target's queue, 0 if a slot is free."""
        return self.target.queue_position(self.load)


class Overload(msgspec.Struct, frozen=True):
    """A rejection because all allowed targets are busy.

    ``best`` is the cheapest target, ``reason`` completes the sentence "it would ...", and
    ``late_s`` is by how much the request would miss its admission deadline there.
    """

    best: Choice
    late_s: float
    reason: str


class TargetComparison:
    """Compares targets for a request, whose ``object_key`` is None if affinity does not count."""

    __slots__ = ("_network_costs", "_now", "_object_key", "run_costs")

    def __init__(
        self,
        run_costs: RunCosts,
        network_costs: NetworkCosts,
        object_key: str | None,
        now: float,
    ) -> None:
        self.run_costs = run_costs
        self._network_costs = network_costs
        self._object_key = object_key
        self._now = now

    def without_object(self) -> TargetComparison:
        """Return a comparison to which all runs are cold."""
        return TargetComparison(USUAL_RUN_COSTS, self._network_costs, None, self._now)

    def of(self, target: TargetState, home: TargetState | None = None) -> Choice:
        """Return the target with its expected cost."""
        load, slots, key = target.load(self._now), target.record.slots, self._object_key
        run = self.run_costs.run(target, is_home=target is home, object_key=key)
        position_cost = self.run_costs.queueing(1, slots)
        queueing = target.queue_position(load) * position_cost
        is_warm = key is None or run < COLD_RUN_COST
        pace = target.pace_factor(self._now)
        cost = self._network_costs.of(target, position_cost) + (run + queueing) * pace
        return Choice(target, target is home, is_warm, load, cost, pace)

    def cheapest(
        self, targets: Iterable[TargetState], home: TargetState | None = None
    ) -> Choice | None:
        """Return the cheapest of the targets, the first of them if several cost the same."""
        return min((self.of(target, home) for target in targets), key=_cost_of, default=None)

    def less_loaded(self, homes: Iterable[TargetState]) -> TargetState:
        """Return the cheapest of some homes of the object, among equal ones the less loaded."""
        return min((self.of(home, home) for home in homes), key=_cost_and_load_of).target


def _cost_of(choice: Choice) -> float:
    return choice.cost


def _cost_and_load_of(choice: Choice) -> tuple[float, float]:
    return choice.cost, choice.load / max(1, choice.target.record.slots)
