"""Sends requests to targets and says truthfully what became of them."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

import msgspec
from expression import Error
from expression import Ok

from flamingoladder import fields
from flamingoladder.gateway.stages import Dispatcher
from flamingoladder.steering.chooser import AttemptEnd
from flamingoladder.transport.exchange import Exchange
from flamingoladder.upstreams.attempt import AttemptFailure
from flamingoladder.upstreams.retry_budget import RetryBudget
from flamingoladder.upstreams.silence import SilenceWatch
from flamingoladder.upstreams.silence import check_time_s
from flamingoladder.verdict import Answer
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.config.model import Defaults
    from flamingoladder.gateway.permission import Permission
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.steering.chooser import Reservation
    from flamingoladder.steering.chooser import TargetChooser
    from flamingoladder.timeline.recorder import Recorder
    from flamingoladder.upstreams.crash_guard import CrashGuard
    from flamingoladder.upstreams.targets import TargetPools
    from flamingoladder.verdict import Outcome

MS_PER_S = 1_000
SERVICE_UNAVAILABLE = 503
SHED_MARKER = fields.SHED.lower()
SHED_RETRY_S = 1.0

REASON_BY_END = {
    AttemptEnd.ANSWERED: Reason.ANSWER_TOO_LARGE,
    AttemptEnd.UNREACHABLE: Reason.UPSTREAM_UNREACHABLE,
    AttemptEnd.SHED: Reason.UPSTREAM_SHED,
    AttemptEnd.LOST: Reason.UPSTREAM_LOST,
    AttemptEnd.SILENT: Reason.UPSTREAM_SILENT,
    AttemptEnd.CANCELLED: Reason.DEADLINE_PASSED,
}


class Dispatch:
    """One request on its way: the targets tried, and whether any of them may have run it."""

    __slots__ = ("attempts", "may_have_run", "request", "tried")

    def __init__(self, request: CallerRequest) -> None:
        self.request = request
        self.tried: list[str] = []
        self.attempts = 0
        self.may_have_run = False

    def failed(self, target: str, failure: AttemptFailure) -> None:
        """Take in a failed attempt."""
        if not failure.suspect:
            self.tried.append(target)
        self.may_have_run |= failure.may_have_run

    def refused(self, refusal: Refusal) -> Outcome:
        """Return the outcome of ending now with ``refusal``, true to all attempts so far."""
        if not self.may_have_run:
            return Error(refusal)
        return Error(msgspec.structs.replace(refusal, verdict=Verdict.MAY_HAVE_RUN))

    def given_up(self, failure: AttemptFailure) -> Outcome:
        """Return the outcome of ending after ``failure``."""
        if failure.answer is not None:
            return Ok(failure.answer)
        if failure.refusal is not None:
            return self.refused(failure.refusal)
        reason = REASON_BY_END[failure.end]
        retry_after_s = SHED_RETRY_S if failure.end is AttemptEnd.SHED else None
        detail = f"{failure.detail} (attempt {self.attempts})"
        return self.refused(Refusal.not_run(reason, detail, retry_after_s))


class UpstreamDispatcher(Dispatcher):
    """Tries targets until one answers, within deadline, attempts and retry budget.

    A request that may have run is sent again only if its route is idempotent.
    """

    __slots__ = ("_budget", "_chooser", "_guard", "_permission", "_pools", "_recorder", "_state")

    def __init__(
        self,
        *,
        state: StateInForce,
        chooser: TargetChooser,
        pools: TargetPools,
        guard: CrashGuard,
        permission: Permission,
        recorder: Recorder,
    ) -> None:
        self._state = state
        self._chooser = chooser
        self._pools = pools
        self._guard = guard
        self._permission = permission
        self._recorder = recorder
        self._budget = RetryBudget()

    async def dispatch(self, request: CallerRequest) -> Outcome:
        """Return the whole answer of a target, or a refusal with the true verdict."""
        defaults = self._defaults()
        self._budget.deposit(defaults.retry_budget_ratio)
        dispatch = Dispatch(request)
        while True:
            held = await self._reserve(dispatch, defaults)
            if isinstance(held, Refusal):
                return dispatch.refused(held)
            started = asyncio.get_running_loop().time()
            result = await self._attempt(dispatch, held, defaults)
            if isinstance(result, Answer):
                self._guard.saw_answer(request)
                return Ok(result)
            self._take_in(dispatch, held.target, started, result)
            if not self._may_retry(dispatch, result, defaults):
                return dispatch.given_up(result)

    def _defaults(self) -> Defaults:
        state = self._state.current
        if state is None:
            raise RuntimeError("no state is in force")
        return state.deployment.defaults

    async def _reserve(self, dispatch: Dispatch, defaults: Defaults) -> Reservation | Refusal:
        loop = asyncio.get_running_loop()
        request = dispatch.request
        crashing = self._guard.refusal_of(request, defaults.crash_limit, loop.time())
        if crashing is not None:
            return crashing
        return await self._chooser.reserve(request, dispatch.tried, loop.time())

    async def _attempt(
        self, dispatch: Dispatch, held: Reservation, defaults: Defaults
    ) -> Answer | AttemptFailure:
        loop = asyncio.get_running_loop()
        end = AttemptEnd.CANCELLED
        dispatch.attempts += 1
        try:
            sent = await self._send(dispatch, held, defaults)
            result = _without_shed(sent, idempotent=dispatch.request.route.idempotent)
            end = AttemptEnd.ANSWERED if isinstance(result, Answer) else result.end
            return result
        finally:
            held.release(end, loop.time())

    async def _send(
        self, dispatch: Dispatch, held: Reservation, defaults: Defaults
    ) -> Answer | AttemptFailure:
        request = dispatch.request
        connections = self._pools.of(held.address)
        exchange = Exchange(request.deadline, partial(self._permission.refusal_of, request))
        now = asyncio.get_running_loop().time()
        check_s = check_time_s(defaults.silence_ms / MS_PER_S, request.deadline, now)

        def may_abandon() -> bool:
            if not request.route.idempotent or dispatch.attempts >= defaults.attempts:
                return False
            return self._budget.take()

        with SilenceWatch(exchange, connections, check_s, may_abandon):
            return await connections.send(request, exchange)

    def _take_in(
        self, dispatch: Dispatch, target: str, started: float, failure: AttemptFailure
    ) -> None:
        dispatch.failed(target, failure)
        request = dispatch.request
        self._recorder.record(
            "attempt.failed",
            request=request.request_id,
            workspace=request.workspace,
            target=target,
            end=failure.end.value,
            may_have_run=failure.may_have_run,
        )
        if failure.end is AttemptEnd.LOST:
            now = asyncio.get_running_loop().time()
            self._guard.saw_loss(request, target, started, now)

    def _may_retry(self, dispatch: Dispatch, failure: AttemptFailure, defaults: Defaults) -> bool:
        if failure.refusal is not None or failure.end is AttemptEnd.ANSWERED:
            return False
        if dispatch.attempts >= defaults.attempts:
            return False
        if asyncio.get_running_loop().time() >= dispatch.request.deadline:
            return False
        if failure.may_have_run and not dispatch.request.route.idempotent:
            return False
        # No retry from this host adds load if no byte left; a silent attempt has paid already.
        if failure.end in {AttemptEnd.UNREACHABLE, AttemptEnd.SILENT}:
            return True
        return self._budget.take()


def _without_shed(result: Answer | AttemptFailure, *, idempotent: bool) -> Answer | AttemptFailure:
    """Return a shed request as a failure.

    Only the marker says for certain that the target did not run it. An unmarked 503 is the target's
    answer, but makes another attempt worth while if running twice does no harm.
    """
    if not isinstance(result, Answer) or result.status != SERVICE_UNAVAILABLE:
        return result
    if any(header.name.lower() == SHED_MARKER for header in result.headers):
        return AttemptFailure(AttemptEnd.SHED, False, "the target shed the request")
    if not idempotent:
        return result
    return AttemptFailure(AttemptEnd.SHED, True, "the target answered 503", answer=result)
