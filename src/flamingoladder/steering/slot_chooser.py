"""Chooses a target for each request, within slots that only one host uses at a time."""

from __future__ import annotations

import asyncio
from collections import Counter
from math import inf
from math import isfinite
from typing import TYPE_CHECKING

from flamingoladder.peers.link import Peer
from flamingoladder.steering.candidates import rest_s
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

# Queued requests are retried at this interval, as the passing of time makes more slots eligible.
QUEUE_CHECK_INTERVAL_S = 0.02
# A host is asked for slots only if the wait exceeds this many round trips to it.
MIN_WAIT_ROUND_TRIPS = 4.0
# Limit for each service.
MAX_QUEUED_REQUESTS = 1_000
# How many requests that no free slot suits are skipped in one pass over the queue.
MAX_SKIPPED_REQUESTS = 16
MIN_RETRY_AFTER_S = 1.0
MS_PER_S = 1_000


class ServiceQueue:
    """The targets of one service, and the requests queued for them."""

    __slots__ = ("requests", "service", "targets", "timer")

    def __init__(self, service: str) -> None:
        self.service = service
        self.targets: list[DeclaredTarget] = []
        self.requests = FairQueue()
        self.timer: asyncio.TimerHandle | None = None


class SlotChooser(TargetChooser):
    """Assigns slots to queued requests by weighted fair queueing of their workspaces."""

    __slots__ = (
        "_deployment",
        "_health_board",
        "_queues_by_service",
        "_selector",
        "_sharing",
        "_shift_caps",
        "_state",
        "_subscription",
    )

    def __init__(
        self,
        own: Member,
        state: StateInForce,
        links: PeerLinks,
        recorder: Recorder,
        health_board: HealthBoard,
        random: Random,
    ) -> None:
        self._health_board = health_board
        self._state = state
        self._selector = SlotSelector(health_board, own.region, random)
        self._deployment: Deployment
        self._queues_by_service: dict[str, ServiceQueue] = {}
        peer = Peer(own.host, own.incarnation)
        self._sharing = SlotSharing(peer, state, links, recorder, self._serve_all)
        self._shift_caps = ShiftCaps(peer, own.region, state, random)
        self._subscription = state.changes.subscribe(self._apply_state)

    def close(self) -> None:
        """Unsubscribe from the agreed state and stop requesting leases."""
        self._subscription.dispose()
        self._sharing.close()
        for service_queue in self._queues_by_service.values():
            if service_queue.timer is not None:
                service_queue.timer.cancel()

    async def reserve(
        self, request: CallerRequest, tried: Collection[str], now: float
    ) -> Reservation | Refusal:
        """Return a reservation of a target not in ``tried``, or a refusal ``NOT_RUN``."""
        service_queue = self._queues_by_service.get(request.service)
        if service_queue is None:
            return _no_capacity("no target takes work", None)
        untried_rest_s = self._rest_s(service_queue, tried, now)
        if untried_rest_s > 0:
            return _no_capacity("no target takes work", untried_rest_s)
        if not self._state.has_proof(now):
            return _no_proof()
        weight = self._weight_of(request.workspace or "")
        self._sharing.forecasts_by_service[request.service].record_arrival(now)
        queued = service_queue.requests.enqueue(request, tried, weight, now)
        queued.shift_to_region = self._shift_caps.draw_region(request.service, now)
        self._serve(service_queue, now)
        wait_s = (
            0.0 if queued.reservation.done() else self._expected_wait_s(service_queue, queued, now)
        )
        if now + wait_s > request.deadline or len(service_queue.requests) > MAX_QUEUED_REQUESTS:
            self._cancel(service_queue, queued, weight)
            return _no_capacity("all slots are in use beyond the deadline", wait_s)
        return await self._wait(service_queue, queued, weight)

    def release(
        self,
        held: HeldSlot,
        target: DeclaredTarget,
        reserved_at: float,
        outcome: AttemptOutcome,
        now: float,
    ) -> None:
        """Record the outcome of an attempt, and free its slot for the next request."""
        stats = self._selector.stats_of(target.name)
        stats.in_flight -= 1
        if outcome is AttemptOutcome.ANSWERED:
            stats.record_latency(now - reserved_at)
        if outcome is AttemptOutcome.SHED:
            stats.shed_at = now
        self._health_board.of(target.name).record_outcome(outcome, now)
        forecast = self._sharing.forecasts_by_service.get(target.service)
        if forecast is not None:
            forecast.record_duration(now - reserved_at)
        self._sharing.release(held, now)
        service_queue = self._queues_by_service.get(target.service)
        if service_queue is not None:
            self._serve(service_queue, now)

    async def _wait(
        self, service_queue: ServiceQueue, queued: QueuedRequest, weight: Weight
    ) -> Reservation | Refusal:
        try:
            async with asyncio.timeout_at(queued.request.deadline):
                return await queued.reservation
        except TimeoutError:
            if queued.reservation.done() and not queued.reservation.cancelled():
                return queued.reservation.result()
            self._cancel(service_queue, queued, weight)
            return _no_capacity("all slots were in use until the deadline", None)
        except asyncio.CancelledError:
            _release_unused(queued.reservation, asyncio.get_running_loop().time())
            self._cancel(service_queue, queued, weight)
            raise

    def _cancel(self, service_queue: ServiceQueue, queued: QueuedRequest, weight: Weight) -> None:
        service_queue.requests.cancel(queued, weight)
        self._sharing.queue_lengths_by_service[service_queue.service] = len(service_queue.requests)

    def _serve_all(self, now: float) -> None:
        for service_queue in self._queues_by_service.values():
            self._serve(service_queue, now)

    def _serve(self, service_queue: ServiceQueue, now: float) -> None:
        """Assign free slots to queued requests; request leases if there are too few slots."""
        self._sharing.reply_to_pending(service_queue.service, now)
        if len(service_queue.requests) and self._state.has_proof(now):
            self._assign_slots(service_queue, now)
        self._sharing.queue_lengths_by_service[service_queue.service] = len(service_queue.requests)
        max_round_trip_s = 0.0
        if len(service_queue.requests):
            local_wait_s = self._local_wait_s(service_queue, len(service_queue.requests), now)
            max_round_trip_s = (
                max(local_wait_s, service_queue.requests.head_wait_s(now)) / MIN_WAIT_ROUND_TRIPS
            )
        self._sharing.borrow_if_short(service_queue.service, now, max_round_trip_s)
        self._borrow_for_shifts(service_queue, now)
        if len(service_queue.requests) and service_queue.timer is None:
            loop = asyncio.get_running_loop()
            service_queue.timer = loop.call_later(
                QUEUE_CHECK_INTERVAL_S, self._recheck_queue, service_queue
            )

    def _recheck_queue(self, service_queue: ServiceQueue) -> None:
        service_queue.timer = None
        self._serve(service_queue, asyncio.get_running_loop().time())

    def _assign_slots(self, service_queue: ServiceQueue, now: float) -> None:
        free = [
            held
            for held in self._sharing.table.slots_of(service_queue.service)
            if held.is_free(now, now)
        ]
        skipped = 0
        all_rest_s = self._rest_s(service_queue, (), now)
        for queued in service_queue.requests.in_order():
            untried_rest_s = all_rest_s
            if queued.tried:
                untried_rest_s = self._rest_s(service_queue, queued.tried, now)
            if untried_rest_s > 0:
                refusal = _no_capacity("no target takes work any more", untried_rest_s)
                service_queue.requests.grant(queued, refusal)
                continue
            if not free or skipped >= MAX_SKIPPED_REQUESTS:
                return
            local_wait_s = self._local_wait_s(service_queue, skipped + 1, now)
            exhausted_regions = self._shift_caps.exhausted_regions(service_queue.service, now)
            selected = self._selector.select(
                free, service_queue.targets, queued, local_wait_s, exhausted_regions, now
            )
            if selected is None:
                skipped += 1
                continue
            self._shift_caps.charge(service_queue.service, selected[1].region, now)
            free.remove(selected[0])
            service_queue.requests.grant(queued, self._reserve_slot(*selected, now))

    def _rest_s(self, service_queue: ServiceQueue, tried: Collection[str], now: float) -> float:
        return rest_s(service_queue.targets, self._health_board, tried, now)

    def _borrow_for_shifts(self, service_queue: ServiceQueue, now: float) -> None:
        counts = Counter(
            queued.shift_to_region or "" for queued in service_queue.requests.shifted()
        )
        for region, count in counts.items():
            self._sharing.borrow_in_region(service_queue.service, region, count, now)

    def _reserve_slot(self, held: HeldSlot, target: DeclaredTarget, now: float) -> Reservation:
        held.busy = True
        self._selector.stats_of(target.name).in_flight += 1
        self._health_board.of(target.name).count_send(now)
        return SlotReservation(self, held, target, now)

    def _local_wait_s(self, service_queue: ServiceQueue, position: int, now: float) -> float:
        """Return the expected wait in seconds for a slot of this host's region.

        ``position`` is the request's place in the queue, counted from 1. The wait is infinite if
        no slot of the region is usable.
        """
        regions_by_target = {target.name: target.region for target in service_queue.targets}
        count = sum(
            regions_by_target.get(held.slot.target) == self._selector.region
            and not held.is_lent(now)
            for held in self._sharing.table.slots_of(service_queue.service)
            if held.usable_from <= now
        )
        forecast = self._sharing.forecasts_by_service[service_queue.service]
        return position * forecast.duration_s / count if count else inf

    def _expected_wait_s(
        self, service_queue: ServiceQueue, queued: QueuedRequest, now: float
    ) -> float:
        """Return the expected wait of a request in seconds; 0 if no slot is usable."""
        count = self._sharing.table.usable_count(service_queue.service, now)
        if not count:
            return 0.0
        duration_s = self._sharing.forecasts_by_service[service_queue.service].duration_s
        return (1 + service_queue.requests.count_ahead_of(queued)) * duration_s / count

    def _weight_of(self, workspace: str) -> Weight:
        deployment = self._deployment
        if workspace in deployment.workspaces:
            return Weight(deployment.rate_of(workspace), deployment.burst_of(workspace))
        defaults = deployment.defaults
        return Weight(defaults.workspace_rate_per_s, defaults.workspace_burst)

    def _apply_state(self, state: AgreedState) -> None:
        self._deployment = state.deployment
        self._selector.ramp_s = state.deployment.defaults.ramp_s
        delays = state.deployment.places.delays
        self._selector.round_trip_s = 2 * delays.between_regions_ms / MS_PER_S
        for service in state.deployment.services:
            self._queues_by_service.setdefault(service, ServiceQueue(service))
        for service_queue in self._queues_by_service.values():
            service_queue.targets = []
        for target in declared_targets(state):
            self._queues_by_service[target.service].targets.append(target)
        self._shift_caps.update(state)
        self._sharing.adopt(state)
        self._serve_all(asyncio.get_running_loop().time())


class SlotReservation(TargetReservation):
    """A reserved slot of one target."""

    __slots__ = ("_chooser", "_held", "_reserved_at")

    def __init__(
        self, chooser: SlotChooser, held: HeldSlot, target: DeclaredTarget, reserved_at: float
    ) -> None:
        super().__init__(target)
        self._chooser = chooser
        self._held = held
        self._reserved_at = reserved_at

    def release(self, outcome: AttemptOutcome, now: float) -> None:
        """Release the slot."""
        self._chooser.release(self._held, self._target, self._reserved_at, outcome, now)


def _release_unused(granted: asyncio.Future[Reservation | Refusal], now: float) -> None:
    """Release the slot of a request that went away while it was granted."""
    if not granted.done() or granted.cancelled():
        return
    result = granted.result()
    if not isinstance(result, Refusal):
        result.release(AttemptOutcome.CANCELLED, now)


def _no_capacity(detail: str, wait_s: float | None) -> Refusal:
    is_known = wait_s is not None and isfinite(wait_s)
    retry_after_s = max(wait_s or 0.0, MIN_RETRY_AFTER_S) if is_known else MIN_RETRY_AFTER_S
    return Refusal.not_run(Reason.NO_CAPACITY, detail, retry_after_s)


def _no_proof() -> Refusal:
    detail = "this host has no proof of its slots"
    return Refusal.not_run(Reason.NO_PROOF, detail, MIN_RETRY_AFTER_S)
