"""Holds queued requests until they have a place at a target, or are refused."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from flamingoladder.admission.host_queue import MAX_QUEUED
from flamingoladder.admission.host_queue import LeaveReason
from flamingoladder.entry.load_balancer import Choice
from flamingoladder.entry.load_balancer import Overload

if TYPE_CHECKING:
    from collections.abc import Mapping

    from flamingoladder.admission.queue_log import QueueLog
    from flamingoladder.admission.queued_request import QueuedRequest
    from flamingoladder.admission.refuser import Refuser
    from flamingoladder.admission.service_admission import ServiceAdmission
    from flamingoladder.entry.load_balancer import LoadBalancer
    from flamingoladder.fleet.members import MemberRegistry
    from flamingoladder.verdict import Refusal

DRAIN_INTERVAL_S = 0.05


class WaitingRequests:
    """The queued requests of all services, and the timer that tries them again."""

    __slots__ = (
        "_admission_by_service",
        "_balancer",
        "_future_by_queued",
        "_is_stopping",
        "_log",
        "_members",
        "_refuser",
        "_timer",
    )

    def __init__(
        self, balancer: LoadBalancer, members: MemberRegistry, refuser: Refuser, log: QueueLog
    ) -> None:
        self._members = members
        self._balancer = balancer
        self._refuser = refuser
        self._log = log
        self._admission_by_service: dict[str, ServiceAdmission] = {}
        self._future_by_queued: dict[QueuedRequest, asyncio.Future[Choice | Refusal]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._is_stopping = False

    def count_by_workspace(self) -> Mapping[str, int]:
        """Return the number of queued requests by workspace."""
        return Counter(queued.arrival.workspace for queued in self._future_by_queued)

    def count_send(self, admission: ServiceAdmission, choice: Choice, now: float) -> Choice:
        """Count a request that takes its place at a target."""
        self._balancer.count_send(choice.target, now)
        admission.record_send()
        return choice

    def release(self, choice: Choice) -> None:
        """Count the end of an attempt, whatever came of it; its place goes to who waits for it."""
        self._balancer.count_end(choice.target)
        record = choice.target.record
        admission = self._admission_by_service.get(record.service)
        if admission is not None:
            now = asyncio.get_running_loop().time()
            self.drain(admission, 1, now, ended_at=record.target_id)

    def drain_all(self) -> None:
        """Send what has a place now, within the pace, and refuse what is too late."""
        now = asyncio.get_running_loop().time()
        for admission in tuple(self._admission_by_service.values()):
            limit = admission.pace.limit(now)
            admission.pace.take(self.drain(admission, limit, now))

    def drain(self, admission: ServiceAdmission, limit: int, now: float, ended_at: str = "") -> int:
        """Send up to ``limit`` requests that have a place, and refuse what is too late.

        The limit does not hold for a single host, which sees all that is sent. Return the number of
        requests sent.
        """
        sent = 0
        is_alone = self._members.host_count == 1
        if len(admission.queue):
            for queued, reason in admission.queue.take_leaving(now):
                self._resolve(queued, self._refusal(admission, queued, reason, now))
            sent = self._send(admission, MAX_QUEUED if is_alone else limit, now, ended_at)
        self._log.note_depth(admission.service, len(admission.queue), now)
        return 0 if is_alone else sent

    def stop(self) -> None:
        """Refuse all queued requests, and queue no more."""
        self._is_stopping = True
        now = asyncio.get_running_loop().time()
        for admission in self._admission_by_service.values():
            for queued in admission.queue.queued:
                admission.queue.remove(queued)
                self._resolve(queued, self._refusal(admission, queued, LeaveReason.STOPPING, now))

    async def wait(
        self, admission: ServiceAdmission, queued: QueuedRequest, now: float
    ) -> Choice | Refusal:
        """Return the place of a request at a target, counted as sent, or its refusal."""
        if self._is_stopping:
            return self._refusal(admission, queued, LeaveReason.STOPPING, now)
        if admission.queue.would_be_late(queued, now):
            return self._refusal(admission, queued, LeaveReason.LATE, now)
        future: asyncio.Future[Choice | Refusal] = asyncio.get_running_loop().create_future()
        self._future_by_queued[queued] = future
        self._admission_by_service[admission.service] = admission
        displaced = admission.queue.add(queued)
        self._log.note_queued(
            admission.service, len(admission.queue), queued.arrival.workspace, now
        )
        if displaced is not None:
            self._resolve(displaced, self._refusal(admission, displaced, LeaveReason.FULL, now))
        self._schedule(now)
        try:
            return await future
        except asyncio.CancelledError:
            self._abandon(admission, queued, future)
            raise
        finally:
            self._future_by_queued.pop(queued, None)

    def _abandon(
        self,
        admission: ServiceAdmission,
        queued: QueuedRequest,
        future: asyncio.Future[Choice | Refusal],
    ) -> None:
        """Give back what a request holds whose caller left: its position or place at a target."""
        if admission.queue.remove(queued):
            now = asyncio.get_running_loop().time()
            self._refusal(admission, queued, LeaveReason.CALLER_GONE, now)
        elif future.done() and not future.cancelled():
            place = future.result()
            if isinstance(place, Choice):
                self.release(place)

    def _send(self, admission: ServiceAdmission, limit: int, now: float, ended_at: str) -> int:
        if limit < 1:
            return 0
        late: list[QueuedRequest] = []

        def place_of(queued: QueuedRequest) -> Choice | None:
            if self._future_by_queued[queued].done():
                return None
            choice = self._balancer.choose(queued.arrival.request, queued.tried, now)
            if isinstance(choice, Overload) and choice.late_s > 0:
                late.append(queued)
            if isinstance(choice, Choice):
                queued.target_id = choice.target.record.target_id
            if not isinstance(choice, Choice) or not admission.may_send(queued, choice):
                return None
            return self.count_send(admission, choice, now)

        sent = 0
        for queued, choice in admission.queue.take_sendable(place_of, now, limit, ended_at):
            self._resolve(queued, choice)
            sent += 1
        for queued in late:
            admission.queue.remove(queued)
            self._resolve(queued, self._refusal(admission, queued, LeaveReason.LATE, now))
        return sent

    def _resolve(self, queued: QueuedRequest, place: Choice | Refusal) -> None:
        future = self._future_by_queued[queued]
        if not future.done():
            future.set_result(place)

    def _refusal(
        self, admission: ServiceAdmission, queued: QueuedRequest, reason: LeaveReason, now: float
    ) -> Refusal:
        self._log.note_refused(admission.service)
        wait_s = admission.queue.retry_wait_s(queued, now)
        return self._refuser.refuse(queued.arrival, reason, wait_s, now)

    def _schedule(self, now: float) -> None:
        if self._timer is not None:
            return
        times = [
            leave_by
            for admission in self._admission_by_service.values()
            if (leave_by := admission.queue.next_leave_by()) is not None
        ]
        at = min([now + DRAIN_INTERVAL_S, *times])
        self._timer = asyncio.get_running_loop().call_at(at, self._tick)

    def _tick(self) -> None:
        self._timer = None
        try:
            self.drain_all()
        finally:
            if self._future_by_queued or self._log.is_open:
                self._schedule(asyncio.get_running_loop().time())
