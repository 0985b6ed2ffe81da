"""Sends a request to a target, and retries at others while that is safe and within the budget."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok

from flamingoladder.entry.load_balancer import Choice
from flamingoladder.entry.load_balancer import Overload
from flamingoladder.entry.results import SendResult
from flamingoladder.entry.results import SendStatus
from flamingoladder.entry.target_ends import start_of
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from flamingoladder.admission.arrival import Arrival
    from flamingoladder.admission.control import AdmissionControl
    from flamingoladder.entry.load_balancer import LoadBalancer
    from flamingoladder.entry.probing import TargetProber
    from flamingoladder.entry.request import RoutedRequest
    from flamingoladder.entry.target_client import TargetClient
    from flamingoladder.entry.target_ends import TargetEnds
    from flamingoladder.limits.retry_budgets import RetryBudgets
    from flamingoladder.poison.at_work import Work
    from flamingoladder.poison.detector import PoisonDetector
    from flamingoladder.targets.notice_learner import NoticeLearner
    from flamingoladder.targets.state import TargetState
    from flamingoladder.timeline.recorder import Recorder
    from flamingoladder.verdict import Outcome

RETRY_AFTER_S = 0.25
MIN_TIME_LEFT_S = 0.02
MAX_CONNECT_FAILURES = 3
MS_PER_S = 1_000

TARGET_LEFT = Reason.UPSTREAM_UNREACHABLE
UNSENT_STATUSES = frozenset({SendStatus.NO_CONNECTION, SendStatus.REFUSED})
# Callers read these as "never run", whatever the verdict.
NEVER_RUN_REASONS = frozenset({Reason.KEY_UNKNOWN, Reason.UNKNOWN_ROUTE})

REASONS_BY_STATUS = {
    SendStatus.NOT_RUN: Reason.UPSTREAM_SHED,
    SendStatus.MISDIRECTED: Reason.UPSTREAM_SHED,
    SendStatus.NO_CONNECTION: Reason.UPSTREAM_UNREACHABLE,
    SendStatus.REFUSED: Reason.UPSTREAM_UNREACHABLE,
    SendStatus.FAILED: Reason.UPSTREAM_LOST,
    SendStatus.CONNECTION_LOST: Reason.UPSTREAM_LOST,
    SendStatus.TIMEOUT: Reason.UPSTREAM_SILENT,
}


class Attempts:
    """The attempts to send one request.

    ``sent`` counts attempts that reached a target, ``unconnected`` those that were not sent.
    """

    __slots__ = ("may_have_run", "request", "sent", "tried", "unconnected")

    def __init__(self, request: RoutedRequest) -> None:
        self.request = request
        self.sent = 0
        self.unconnected = 0
        self.tried: list[str] = []
        self.may_have_run = False

    def add(self, target: TargetState, result: SendResult) -> None:
        """Record an attempt that failed."""
        self.tried.append(target.record.target_id)
        if result.status in UNSENT_STATUSES:
            self.unconnected += 1
        else:
            self.sent += 1
        self.may_have_run |= result.may_have_run

    def refusal(self, reason: Reason, detail: str, retry_after_s: float) -> Refusal:
        """Return a refusal whose verdict covers all attempts so far."""
        return self.refusal_of(Refusal.not_run(reason, detail, retry_after_s))

    def refusal_of(self, last: Refusal) -> Refusal:
        """Return the refusal of a request whose last attempt was not sent, or did not run."""
        if not self.may_have_run:
            return last
        reason = Reason.UPSTREAM_LOST if last.reason in NEVER_RUN_REASONS else last.reason
        return Refusal.may_have_run(reason, last.detail)


class Forwarder:
    """Forwards requests to targets, with retries."""

    __slots__ = (
        "_admission",
        "_balancer",
        "_budgets",
        "_client",
        "_ends",
        "_notices",
        "_poison_detector",
        "_prober",
        "_recorder",
        "_send_tasks",
    )

    def __init__(
        self,
        balancer: LoadBalancer,
        admission: AdmissionControl,
        client: TargetClient,
        budgets: RetryBudgets,
        poison_detector: PoisonDetector,
        ends: TargetEnds,
        prober: TargetProber,
        notices: NoticeLearner,
        recorder: Recorder,
    ) -> None:
        self._balancer = balancer
        self._admission = admission
        self._client = client
        self._budgets = budgets
        self._poison_detector = poison_detector
        self._ends = ends
        self._prober = prober
        self._notices = notices
        self._recorder = recorder
        self._send_tasks: set[asyncio.Task[SendResult]] = set()

    async def forward(self, request: RoutedRequest) -> Outcome:
        """Return the target's answer, or a refusal that says whether the request may have run."""
        loop = asyncio.get_running_loop()
        attempts = Attempts(request)
        arrival = self._admission.arrive(request, loop.time())
        self._budgets.deposit(request.service, loop.time())
        last = SendResult(SendStatus.NOT_RUN, "no target can take the request")
        while True:
            held_back = self._poison_detector.refusal_of(request.fingerprints, loop.time())
            if held_back is not None:
                return Error(attempts.refusal_of(held_back))
            choice = await self._admission.admit(arrival, attempts.tried)
            if choice is None:
                wait_s = self._balancer.rest_s(request, loop.time())
                return self._failure(attempts, last, wait_s)
            if isinstance(choice, Refusal):
                return Error(attempts.refusal_of(choice))
            if isinstance(choice, Overload):
                return self._overloaded(attempts, arrival, choice)
            # Others may have shown that it ends targets while it waited.
            held_back = self._poison_detector.refusal_of(request.fingerprints, loop.time())
            if held_back is not None:
                self._admission.release(choice)
                return Error(attempts.refusal_of(held_back))
            last = await self._send(arrival, choice)
            self._record(attempts, choice, last, loop.time())
            if last.status is SendStatus.ANSWERED and last.answer is not None:
                return Ok(last.answer)
            attempts.add(choice.target, last)
            if last.refusal is not None and last.refusal.reason is not TARGET_LEFT:
                return Error(attempts.refusal_of(last.refusal))
            if not self._may_retry(attempts, last, loop.time()):
                return self._failure(attempts, last)

    async def _send(self, arrival: Arrival, choice: Choice) -> SendResult:
        request = arrival.request
        sent_at = asyncio.get_running_loop().time()
        work = self._poison_detector.begin(request.fingerprints, start_of(choice.target), sent_at)
        task = asyncio.create_task(self._send_to(arrival, choice, work))
        self._send_tasks.add(task)
        task.add_done_callback(self._send_tasks.discard)
        task.add_done_callback(lambda _: self._admission.release(choice))
        try:
            async with asyncio.timeout_at(request.deadline):
                return await asyncio.shield(task)
        except TimeoutError:
            return SendResult(SendStatus.TIMEOUT, "no whole answer in time")
        except asyncio.CancelledError:
            task.cancel()
            raise

    async def _send_to(self, arrival: Arrival, choice: Choice, work: Work) -> SendResult:
        request, target = arrival.request, choice.target
        loop = asyncio.get_running_loop()
        try:
            result = await self._client.send(request, target)
        except BaseException:
            self._poison_detector.abandon(work, loop.time())
            raise
        now = loop.time()
        if result.status is SendStatus.ANSWERED:
            self._balancer.record_run(request, choice, now - work.began)
            self._admission.record_run(request, choice, now - work.began)
        if result.may_have_run:
            self._admission.record_end(arrival, now)
        if result.notice is not None:
            self._notices.learn(target, result.notice, work.began, now)
        self._end_work(work, result, now)
        self._apply_result(request, choice, result, now)
        return result

    def _end_work(self, work: Work, result: SendResult, now: float) -> None:
        """Tell the detector of poison requests how the target's work on a request ended."""
        detector = self._poison_detector
        if result.status is SendStatus.CONNECTION_LOST:
            detector.lost(work, now)
        elif result.status is SendStatus.TIMEOUT:
            detector.abandon(work, now)
        elif result.may_have_run and result.is_from_target:
            detector.answered(work, now)
        elif result.may_have_run:
            detector.abandon(work, now)
        else:
            detector.not_run(work, now, heard=result.is_from_target)

    def _apply_result(
        self, request: RoutedRequest, choice: Choice, result: SendResult, now: float
    ) -> None:
        target = choice.target
        if result.status is SendStatus.ANSWERED:
            target.record_success()
            return
        if result.status is SendStatus.TIMEOUT and choice.queue_position:
            target.queue_limit.record_timeout(choice.queue_position)
            return
        if result.status is SendStatus.REFUSED:
            return
        if result.status is SendStatus.NOT_RUN:
            # A full target is healthy; ejecting it would move its objects to cold targets.
            return
        if result.status is SendStatus.NO_CONNECTION:
            self._apply_connect_failure(request, target, now)
            return
        if result.status is SendStatus.CONNECTION_LOST:
            self._prober.check(target)
        if result.status is SendStatus.MISDIRECTED:
            self._ends.note_gone(target, now)
            self._prober.mark_down(target)
        elif target.record_failure(now):
            self._recorder.record("target.ejected", target=target.record.target_id)

    def _apply_connect_failure(
        self, request: RoutedRequest, target: TargetState, now: float
    ) -> None:
        if now >= request.connect_by:
            # The request's deadline was too short to connect, so the target may be up.
            self._prober.check(target)
            return
        self._prober.mark_down(target)
        self._ends.note_refusing(target, now)

    def _record(self, attempts: Attempts, choice: Choice, result: SendResult, now: float) -> None:
        request, target = attempts.request, choice.target
        self._recorder.record(
            "request.sent",
            request=request.incoming.request_id,
            workspace=request.workspace_name,
            route=request.route.name,
            fingerprint=f"{request.fingerprints[-1]:016x}",
            target=target.record.target_id,
            send=attempts.sent + attempts.unconnected + 1,
            end=result.status.value,
            object=request.incoming.affinity_key,
            home=choice.is_home,
            load=choice.load,
            cost=round(choice.cost, 2),
            cold=target.in_slow_start(now),
            reused=result.reused,
            elapsed_ms=round((now - request.started) * MS_PER_S),
            left_ms=round((request.deadline - now) * MS_PER_S),
            detail=result.detail,
        )

    def _may_retry(self, attempts: Attempts, last: SendResult, now: float) -> bool:
        request = attempts.request
        if request.caller_disconnected:
            return False
        if now + MIN_TIME_LEFT_S >= request.deadline or last.status is SendStatus.TIMEOUT:
            return False
        if attempts.may_have_run and not request.route.idempotent:
            return False
        if (
            attempts.sent >= request.route.max_targets
            or attempts.unconnected >= MAX_CONNECT_FAILURES
        ):
            return False
        if last.status is SendStatus.CONNECTION_LOST and self._is_suspect(request, now):
            return False
        return last.status in UNSENT_STATUSES or self._budgets.take(request.service, now)

    def _is_suspect(self, request: RoutedRequest, now: float) -> bool:
        return self._poison_detector.standing(request.fingerprints, now).causes > 0

    def _overloaded(self, attempts: Attempts, arrival: Arrival, overload: Overload) -> Outcome:
        best = overload.best
        detail = (
            f"all targets are busy: {best.target.record.target_id} is the best with"
            f" {best.load} requests, and would {overload.reason}"
        )
        wait_s = self._admission.refuse_busy(arrival, max(RETRY_AFTER_S, overload.late_s))
        return Error(attempts.refusal(Reason.NO_CAPACITY, detail, wait_s))

    def _failure(self, attempts: Attempts, last: SendResult, wait_s: float = 0.0) -> Outcome:
        if last.answer is not None:
            return Ok(last.answer)
        reason = REASONS_BY_STATUS[last.status] if attempts.tried else Reason.NO_CAPACITY
        return Error(attempts.refusal(reason, last.detail, max(RETRY_AFTER_S, wait_s)))
