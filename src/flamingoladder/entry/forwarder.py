"""Has a target serve a request, and tries others as far as that is safe and within the budget."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok

from flamingoladder.entry.chooser import Choice
from flamingoladder.entry.chooser import Overload
from flamingoladder.entry.outcomes import SendEnd
from flamingoladder.entry.outcomes import SendResult
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from flamingoladder.entry.chooser import TargetChooser
    from flamingoladder.entry.crashes import CrashGuard
    from flamingoladder.entry.probing import TargetProber
    from flamingoladder.entry.request import RoutedRequest
    from flamingoladder.entry.wire import TargetWire
    from flamingoladder.limits.retry_budgets import RetryBudgets
    from flamingoladder.targets.state import TargetState
    from flamingoladder.timeline.recorder import Recorder
    from flamingoladder.verdict import Outcome

RETRY_AFTER_S = 0.25
MIN_TIME_LEFT_S = 0.02
MAX_UNREACHED = 3
MS_PER_S = 1_000

REASONS_BY_END = {
    SendEnd.NOT_RUN: Reason.UPSTREAM_SHED,
    SendEnd.OTHER_TARGET: Reason.UPSTREAM_SHED,
    SendEnd.NO_CONNECTION: Reason.UPSTREAM_UNREACHABLE,
    SendEnd.FAILED: Reason.UPSTREAM_LOST,
    SendEnd.LOST: Reason.UPSTREAM_LOST,
    SendEnd.TIMEOUT: Reason.UPSTREAM_SILENT,
}


class Journey:
    """The sends of one request."""

    __slots__ = ("maybe_ran", "request", "sends", "tried", "unreached")

    def __init__(self, request: RoutedRequest) -> None:
        self.request = request
        self.sends = 0
        self.unreached = 0
        self.tried: list[str] = []
        self.maybe_ran = False

    def take_in(self, target: TargetState, result: SendResult) -> None:
        """Count a send that did not bring a good answer."""
        self.tried.append(target.record.target_id)
        if result.end is SendEnd.NO_CONNECTION:
            self.unreached += 1
        else:
            self.sends += 1
        self.maybe_ran |= result.may_have_run

    def refusal(self, reason: Reason, detail: str, retry_after_s: float) -> Refusal:
        """Return a refusal that is true to all sends so far."""
        if self.maybe_ran:
            return Refusal.may_have_run(reason, detail)
        return Refusal.not_run(reason, detail, retry_after_s)


class Forwarder:
    """Sends requests to targets."""

    __slots__ = ("_budgets", "_chooser", "_crashes", "_prober", "_recorder", "_running", "_wire")

    def __init__(
        self,
        chooser: TargetChooser,
        wire: TargetWire,
        budgets: RetryBudgets,
        crashes: CrashGuard,
        prober: TargetProber,
        recorder: Recorder,
    ) -> None:
        self._chooser = chooser
        self._wire = wire
        self._budgets = budgets
        self._crashes = crashes
        self._prober = prober
        self._recorder = recorder
        self._running: set[asyncio.Task[SendResult]] = set()

    async def forward(self, request: RoutedRequest) -> Outcome:
        """Return the target's answer, or a refusal that says whether the request may have run."""
        loop = asyncio.get_running_loop()
        journey = Journey(request)
        self._budgets.deposit(request.service, loop.time())
        last = SendResult(SendEnd.NOT_RUN, "no target can take the request")
        while True:
            choice = self._chooser.choose(request, journey.tried, loop.time())
            if choice is None:
                return self._refused(journey, last)
            if isinstance(choice, Overload):
                return self._overloaded(journey, choice)
            last = await self._send(request, choice)
            self._record(journey, choice, last, loop.time())
            if last.end is SendEnd.ANSWERED and last.answer is not None:
                return Ok(last.answer)
            journey.take_in(choice.target, last)
            if not self._may_go_on(journey, last, loop.time()):
                return self._refused(journey, last)

    async def _send(self, request: RoutedRequest, choice: Choice) -> SendResult:
        task = asyncio.create_task(self._run(request, choice))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        try:
            async with asyncio.timeout_at(request.deadline):
                return await asyncio.shield(task)
        except TimeoutError:
            return SendResult(SendEnd.TIMEOUT, "no whole answer in time")
        except asyncio.CancelledError:
            task.cancel()
            raise

    async def _run(self, request: RoutedRequest, choice: Choice) -> SendResult:
        loop = asyncio.get_running_loop()
        target, started = choice.target, loop.time()
        self._chooser.sending(target, started)
        try:
            result = await self._wire.send(request, target)
        finally:
            target.in_flight -= 1
        now = loop.time()
        if result.end is SendEnd.ANSWERED:
            self._chooser.saw_run(request, choice, now - started)
        self._take_in(request, choice, result, now)
        return result

    def _take_in(
        self, request: RoutedRequest, choice: Choice, result: SendResult, now: float
    ) -> None:
        target = choice.target
        if result.load is not None:
            target.update_load(result.load, now)
        if result.end is SendEnd.ANSWERED:
            target.record_success()
            self._crashes.saw_answer(request.fingerprint)
            return
        if result.end is SendEnd.TIMEOUT and choice.in_line:
            target.queue_limit.record_timeout(choice.in_line)
            return
        if result.end is SendEnd.NOT_RUN:
            # A full target is sound; leaving it would make its objects' work cold elsewhere.
            return
        if result.end is SendEnd.NO_CONNECTION:
            self._saw_no_connection(request, target, now)
            return
        if result.end is SendEnd.LOST:
            self._crashes.saw_loss(request.fingerprint, target.record.target_id, now)
            self._prober.check(target)
        if result.end is SendEnd.OTHER_TARGET:
            self._prober.found_down(target)
        elif target.record_failure(now):
            self._recorder.record("target.ejected", target=target.record.target_id)

    def _saw_no_connection(self, request: RoutedRequest, target: TargetState, now: float) -> None:
        if now >= request.work_until:
            # The request's own time was too short to tell.
            self._prober.check(target)
            return
        self._prober.found_down(target)
        self._crashes.saw_down(target.record.target_id, now)

    def _record(self, journey: Journey, choice: Choice, result: SendResult, now: float) -> None:
        request, target = journey.request, choice.target
        self._recorder.record(
            "request.sent",
            request=request.arrived.request_id,
            workspace=request.workspace_name,
            route=request.route.name,
            target=target.record.target_id,
            send=journey.sends + journey.unreached + 1,
            end=result.end.value,
            object=request.arrived.affinity,
            home=choice.is_home,
            load=choice.load,
            cost=round(choice.cost, 2),
            cold=target.in_slow_start(now),
            reused=result.reused,
            elapsed_ms=round((now - request.started) * MS_PER_S),
            left_ms=round((request.deadline - now) * MS_PER_S),
            detail=result.detail,
        )

    def _may_go_on(self, journey: Journey, last: SendResult, now: float) -> bool:
        request = journey.request
        if request.caller_left:
            return False
        if now + MIN_TIME_LEFT_S >= request.deadline or last.end is SendEnd.TIMEOUT:
            return False
        if journey.maybe_ran and not request.route.idempotent:
            return False
        if journey.sends >= request.route.max_targets or journey.unreached >= MAX_UNREACHED:
            return False
        if self._crashes.refuses(request.fingerprint, now):
            return False
        return last.end is SendEnd.NO_CONNECTION or self._budgets.take(request.service, now)

    def _overloaded(self, journey: Journey, overload: Overload) -> Outcome:
        best = overload.best
        detail = (
            f"all targets are busy: {best.target.record.target_id} is the best with"
            f" {best.load} requests, and would {overload.why}"
        )
        wait_s = max(RETRY_AFTER_S, overload.late_s)
        return Error(journey.refusal(Reason.NO_CAPACITY, detail, wait_s))

    def _refused(self, journey: Journey, last: SendResult) -> Outcome:
        if last.answer is not None:
            return Ok(last.answer)
        reason = REASONS_BY_END[last.end] if journey.tried else Reason.NO_CAPACITY
        return Error(journey.refusal(reason, last.detail, RETRY_AFTER_S))
