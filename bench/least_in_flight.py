"""The baseline choice of a target: least in flight at this host, without regard to other hosts."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from flamingoladder.steering.candidates import eligible_targets
from flamingoladder.steering.chooser import Reservation
from flamingoladder.steering.chooser import TargetChooser
from flamingoladder.steering.reservation import TargetReservation
from flamingoladder.upstreams.targets import declared_targets
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.steering.chooser import AttemptOutcome
    from flamingoladder.upstreams.health import HealthBoard
    from flamingoladder.upstreams.targets import DeclaredTarget

LOOK_AGAIN_S = 0.1
RETRY_AFTER_S = 1.0


class LeastInFlight(TargetChooser):
    """Prefers this host's region, then the target with the smallest part of its slots in use."""

    __slots__ = (
        "_board",
        "_in_flight_by_target",
        "_ramp_s",
        "_random",
        "_region",
        "_subscription",
        "_targets_by_service",
        "_waiting",
    )

    def __init__(
        self, state: StateInForce, board: HealthBoard, region: str, random: Random
    ) -> None:
        self._board = board
        self._random = random
        self._region = region
        self._ramp_s = 0.0
        self._in_flight_by_target: dict[str, int] = {}
        self._targets_by_service: dict[str, list[DeclaredTarget]] = {}
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._subscription = state.changes.subscribe(self._follow)

    async def reserve(
        self, request: CallerRequest, tried: Collection[str], now: float
    ) -> Reservation | Refusal:
        """Return a slot of a target not in ``tried``, or a refusal ``NOT_RUN``."""
        loop = asyncio.get_running_loop()
        while True:
            targets = self._targets_by_service.get(request.service, ())
            usable = eligible_targets(targets, self._board, tried, now)
            if not usable:
                return _refusal("no target takes work")
            free = self._free(usable, now)
            if free:
                return self._take(min(free, key=self._preference))
            if now >= request.deadline:
                return _refusal("all slots were in use until the deadline")
            await self._wait(min(LOOK_AGAIN_S, request.deadline - now))
            now = loop.time()

    def free_slot(self, target: str, end: AttemptOutcome, now: float) -> None:
        """Count one request less at ``target`` and wake the first that waits."""
        self._in_flight_by_target[target] -= 1
        self._board.of(target).record_outcome(end, now)
        self._wake_one()

    def close(self) -> None:
        """Stop following the agreed state."""
        self._subscription.dispose()

    def _free(self, usable: list[DeclaredTarget], now: float) -> list[DeclaredTarget]:
        return [target for target in usable if self._has_free_slot(target, now)]

    def _has_free_slot(self, target: DeclaredTarget, now: float) -> bool:
        health = self._board.of(target.name)
        return self._in_flight(target) < health.usable_slots(target.slots, self._ramp_s, now)

    def _preference(self, target: DeclaredTarget) -> tuple[bool, float, float]:
        part_in_use = self._in_flight(target) / target.slots
        return target.region != self._region, part_in_use, self._random.random()

    def _take(self, target: DeclaredTarget) -> Reservation:
        self._in_flight_by_target[target.name] = self._in_flight(target) + 1
        return HeldSlot(self, target)

    def _in_flight(self, target: DeclaredTarget) -> int:
        return self._in_flight_by_target.get(target.name, 0)

    async def _wait(self, timeout_s: float) -> None:
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await asyncio.wait_for(turn, timeout_s)
        except TimeoutError:
            return
        finally:
            if turn in self._waiting:
                self._waiting.remove(turn)

    def _wake_one(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return

    def _follow(self, state: AgreedState) -> None:
        self._ramp_s = state.deployment.defaults.ramp_s
        self._targets_by_service = {service: [] for service in state.deployment.services}
        for target in declared_targets(state):
            self._targets_by_service[target.service].append(target)


class HeldSlot(TargetReservation):
    """A slot of one target."""

    __slots__ = ("_chooser",)

    def __init__(self, chooser: LeastInFlight, target: DeclaredTarget) -> None:
        super().__init__(target)
        self._chooser = chooser

    def release(self, outcome: AttemptOutcome, now: float) -> None:
        """Give the slot back."""
        self._chooser.free_slot(self._target.name, outcome, now)


def _refusal(detail: str) -> Refusal:
    return Refusal.not_run(Reason.NO_CAPACITY, detail, RETRY_AFTER_S)
