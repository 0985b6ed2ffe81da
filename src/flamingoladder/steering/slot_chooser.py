"""The choice of a target within slots that all hosts share without using one twice."""

from __future__ import annotations

import asyncio
from collections import Counter
from math import inf
from typing import TYPE_CHECKING

from flamingoladder.peers.link import Peer
from flamingoladder.steering.chooser import AttemptOutcome
from flamingoladder.steering.chooser import Reservation
from flamingoladder.steering.chooser import TargetChooser
from flamingoladder.steering.fair_queue import FairQueue
from flamingoladder.steering.fair_queue import Weight
from flamingoladder.steering.reservation import TargetReservation
from flamingoladder.steering.shift_cap import ShiftCaps
from flamingoladder.steering.slot_selector import SlotSelector
from flamingoladder.steering.slot_sharing import SlotSharing
from flamingoladder.upstreams.targets import declared_targets
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.config.model import Deployment
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.members.member import Member
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.steering.fair_queue import QueuedRequest
    from flamingoladder.steering.slot_table import HeldSlot
    from flamingoladder.timeline.recorder import Recorder
    from flamingoladder.upstreams.health import HealthBoard
    from flamingoladder.upstreams.targets import DeclaredTarget

LOOK_AGAIN_S = 0.02
WORTH_TRIPS = 4.0
MAX_WAITING = 1_000
MAX_PASSED = 16
RETRY_AFTER_S = 1.0
MS_PER_S = 1_000


class ServiceQueue:
    """The targets of one service, and the requests that wait for one."""

    __slots__ = ("queue", "service", "targets", "timer")

    def __init__(self, service: str) -> None:
        self.service = service
        self.targets: list[DeclaredTarget] = []
        self.queue = FairQueue()
        self.timer: asyncio.TimerHandle | None = None


class SlotChooser(TargetChooser):
    """Gives slots to waiting requests in the order of their workspaces' weights."""

    __slots__ = (
        "_board",
        "_deployment",
        "_preference",
        "_queues_by_service",
        "_sharing",
        "_shifts",
        "_state",
        "_subscription",
    )

    def __init__(
        self,
        own: Member,
        state: StateInForce,
        links: PeerLinks,
        recorder: Recorder,
        board: HealthBoard,
        random: Random,
    ) -> None:
        self._board = board
        self._state = state
        self._preference = SlotSelector(board, own.region, random)
        self._deployment: Deployment
        self._queues_by_service: dict[str, ServiceQueue] = {}
        peer = Peer(own.host, own.incarnation)
        self._sharing = SlotSharing(peer, state, links, recorder, self._serve_all)
        self._shifts = ShiftCaps(peer, own.region, state, random)
        self._subscription = state.changes.subscribe(self._follow)

    def close(self) -> None:
        """Stop following the agreed state and asking other hosts."""
        self._subscription.dispose()
        self._sharing.close()
        for queue in self._queues_by_service.values():
            if queue.timer is not None:
                queue.timer.cancel()

    async def reserve(
        self, request: CallerRequest, tried: Collection[str], now: float
    ) -> Reservation | Refusal:
        """Return a slot of a target not in ``tried``, or a refusal ``NOT_RUN``."""
        service = self._queues_by_service.get(request.service)
        if service is None or not any(target.name not in tried for target in service.targets):
            return _no_capacity("no target takes work", None)
        if not self._state.has_proof(now):
            return _no_proof()
        weight = self._weight_of(request.workspace or "")
        self._sharing.needs_by_service[request.service].arrive(now)
        waiter = service.queue.join(request, tried, weight, now)
        waiter.moves_to = self._shifts.draw(request.service, now)
        self._serve(service, now)
        wait_s = 0.0 if waiter.turn.done() else self._expected_wait_s(service, waiter, now)
        if now + wait_s > request.deadline or len(service.queue) > MAX_WAITING:
            self._give_up(service, waiter, weight)
            return _no_capacity("all slots are in use beyond the deadline", wait_s)
        return await self._wait(service, waiter, weight)

    def freed(
        self,
        held: HeldSlot,
        target: DeclaredTarget,
        taken_at: float,
        end: AttemptOutcome,
        now: float,
    ) -> None:
        """Take in how an attempt ended, and give its slot to the next request."""
        observed = self._preference.observed(target.name)
        observed.in_flight -= 1
        if end is AttemptOutcome.ANSWERED:
            observed.took(now - taken_at)
        if end is AttemptOutcome.SHED:
            observed.shed_at = now
        self._board.of(target.name).observe(end, now)
        need = self._sharing.needs_by_service.get(target.service)
        if need is not None:
            need.ended(now - taken_at)
        self._sharing.finish(held, now)
        service = self._queues_by_service.get(target.service)
        if service is not None:
            self._serve(service, now)

    async def _wait(
        self, service: ServiceQueue, waiter: QueuedRequest, weight: Weight
    ) -> Reservation | Refusal:
        try:
            async with asyncio.timeout_at(waiter.request.deadline):
                return await waiter.turn
        except TimeoutError:
            if waiter.turn.done() and not waiter.turn.cancelled():
                return waiter.turn.result()
            self._give_up(service, waiter, weight)
            return _no_capacity("all slots were in use until the deadline", None)
        except asyncio.CancelledError:
            if waiter.turn.done() and not waiter.turn.cancelled():
                now = asyncio.get_running_loop().time()
                waiter.turn.result().release(AttemptOutcome.CANCELLED, now)
            self._give_up(service, waiter, weight)
            raise

    def _give_up(self, service: ServiceQueue, waiter: QueuedRequest, weight: Weight) -> None:
        service.queue.give_up(waiter, weight)
        self._sharing.waiting_by_service[service.service] = len(service.queue)

    def _serve_all(self, now: float) -> None:
        for service in self._queues_by_service.values():
            self._serve(service, now)

    def _serve(self, service: ServiceQueue, now: float) -> None:
        """Give free slots to waiting requests, and ask other hosts if they don't suffice."""
        self._sharing.lend_to_waiting(service.service, now)
        if len(service.queue) and self._state.has_proof(now):
            self._give_slots(service, now)
        self._sharing.waiting_by_service[service.service] = len(service.queue)
        patience_s = 0.0
        if len(service.queue):
            local_wait_s = self._local_wait_s(service, len(service.queue), now)
            patience_s = max(local_wait_s, service.queue.first_waits_s(now)) / WORTH_TRIPS
        self._sharing.borrow_if_short(service.service, now, patience_s)
        self._borrow_for_shifts(service, now)
        if len(service.queue) and service.timer is None:
            loop = asyncio.get_running_loop()
            service.timer = loop.call_later(LOOK_AGAIN_S, self._look_again, service)

    def _look_again(self, service: ServiceQueue) -> None:
        service.timer = None
        self._serve(service, asyncio.get_running_loop().time())

    def _give_slots(self, service: ServiceQueue, now: float) -> None:
        free = [h for h in self._sharing.book.slots(service.service) if h.is_free(now, now)]
        passed = 0
        for waiter in service.queue.in_order():
            if not free or passed >= MAX_PASSED:
                return
            local_wait_s = self._local_wait_s(service, passed + 1, now)
            closed = self._shifts.closed_regions(service.service, now)
            best = self._preference.best(free, service.targets, waiter, local_wait_s, closed, now)
            if best is None:
                passed += 1
                continue
            self._shifts.pay(service.service, best[1].region, now)
            free.remove(best[0])
            service.queue.serve(waiter, self._take(*best, now))

    def _borrow_for_shifts(self, service: ServiceQueue, now: float) -> None:
        counts = Counter(waiter.moves_to or "" for waiter in service.queue.shifted())
        for region, count in counts.items():
            self._sharing.borrow_in_region(service.service, region, count, now)

    def _take(self, held: HeldSlot, target: DeclaredTarget, now: float) -> Reservation:
        held.busy = True
        self._preference.observed(target.name).in_flight += 1
        return SlotReservation(self, held, target, now)

    def _local_wait_s(self, service: ServiceQueue, place: int, now: float) -> float:
        regions = {target.name: target.region for target in service.targets}
        count = sum(
            regions.get(held.slot.target) == self._preference.region and not held.is_lent(now)
            for held in self._sharing.book.slots(service.service)
            if held.usable_at <= now
        )
        need = self._sharing.needs_by_service[service.service]
        return place * need.duration_s / count if count else inf

    def _expected_wait_s(self, service: ServiceQueue, waiter: QueuedRequest, now: float) -> float:
        """Return how long a request will probably wait."""
        count = self._sharing.book.usable_count(service.service, now)
        if not count:
            return 0.0
        duration_s = self._sharing.needs_by_service[service.service].duration_s
        return (1 + service.queue.before(waiter)) * duration_s / count

    def _weight_of(self, workspace: str) -> Weight:
        deployment = self._deployment
        if workspace in deployment.workspaces:
            return Weight(deployment.rate_of(workspace), deployment.burst_of(workspace))
        defaults = deployment.defaults
        return Weight(defaults.workspace_rate_per_s, defaults.workspace_burst)

    def _follow(self, state: AgreedState) -> None:
        self._deployment = state.deployment
        self._preference.ramp_s = state.deployment.defaults.ramp_s
        delays = state.deployment.places.delays
        self._preference.round_trip_s = 2 * delays.between_regions_ms / MS_PER_S
        for service in state.deployment.services:
            self._queues_by_service.setdefault(service, ServiceQueue(service))
        for queue in self._queues_by_service.values():
            queue.targets = []
        for target in declared_targets(state):
            self._queues_by_service[target.service].targets.append(target)
        self._shifts.adopt(state)
        self._sharing.adopt(state)
        self._serve_all(asyncio.get_running_loop().time())


class SlotReservation(TargetReservation):
    """A slot of one target."""

    __slots__ = ("_chooser", "_held", "_taken_at")

    def __init__(
        self, chooser: SlotChooser, held: HeldSlot, target: DeclaredTarget, taken_at: float
    ) -> None:
        super().__init__(target)
        self._chooser = chooser
        self._held = held
        self._taken_at = taken_at

    def release(self, outcome: AttemptOutcome, now: float) -> None:
        """Give the slot back."""
        self._chooser.freed(self._held, self._target, self._taken_at, outcome, now)


def _no_capacity(detail: str, wait_s: float | None) -> Refusal:
    retry_after_s = RETRY_AFTER_S if wait_s is None else max(wait_s, RETRY_AFTER_S)
    return Refusal.not_run(Reason.NO_CAPACITY, detail, retry_after_s)


def _no_proof() -> Refusal:
    detail = "this host has no proof of its slots"
    return Refusal.not_run(Reason.NO_PROOF, detail, RETRY_AFTER_S)
