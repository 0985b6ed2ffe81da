"""Sends requests to targets and says truthfully what became of them."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from expression import Ok

from flamingoladder import fields
from flamingoladder.gateway.stages import Dispatcher
from flamingoladder.steering.chooser import AttemptOutcome
from flamingoladder.transport.exchange import Exchange
from flamingoladder.upstreams.attempt import AttemptFailure
from flamingoladder.upstreams.dispatch import Dispatch
from flamingoladder.upstreams.retry_budget import RetryBudget
from flamingoladder.upstreams.silence import SilenceWatch
from flamingoladder.upstreams.silence import check_time_s
from flamingoladder.verdict import Answer
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.config.model import Defaults
    from flamingoladder.gateway.dispatch_check import DispatchCheck
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
        permission: DispatchCheck,
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
            result = await self._attempt(dispatch, held, defaults)
            if isinstance(result, Answer):
                self._guard.saw_answer(request)
                return Ok(result)
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
        """Return the answer of ``held``, or of a second target tried while it was silent."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        end = AttemptOutcome.CANCELLED
        dispatch.attempts += 1
        connections = self._pools.of(held.address)
        exchange = Exchange(
            dispatch.request.deadline, partial(self._permission.refusal_of, dispatch.request)
        )
        check_s = check_time_s(defaults.silence_ms / MS_PER_S, dispatch.request.deadline, started)
        second = partial(self._second_attempt, dispatch, held, defaults)
        try:
            with SilenceWatch(exchange, connections, check_s, second) as watch:
                sent = await connections.send(dispatch.request, exchange)
                result = _without_shed(sent, idempotent=dispatch.request.route.idempotent)
                end = AttemptOutcome.ANSWERED if isinstance(result, Answer) else result.end
                if isinstance(result, Answer):
                    return result
                self._take_in(dispatch, held.target, started, result)
                return await watch.second_answer() or result
        finally:
            held.release(end, loop.time())

    async def _second_attempt(
        self, dispatch: Dispatch, held: Reservation, defaults: Defaults, alive: bool
    ) -> Answer | None:
        """Return the answer of another attempt while ``held`` is silent, or None.

        If there is no other target, the same is tried again if new connections to it work.
        """
        if not dispatch.request.route.idempotent:
            return None
        dispatch.tried.append(held.target)
        while dispatch.attempts < defaults.attempts and self._budget.take():
            another = await self._reserve(dispatch, defaults)
            if isinstance(another, Refusal) and alive:
                alive = False
                dispatch.tried.remove(held.target)
                another = await self._reserve(dispatch, defaults)
            if isinstance(another, Refusal):
                return None
            result = await self._attempt(dispatch, another, defaults)
            if isinstance(result, Answer):
                return result
        return None

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
        if failure.end is AttemptOutcome.LOST:
            now = asyncio.get_running_loop().time()
            self._guard.saw_loss(request, target, started, now)

    def _may_retry(self, dispatch: Dispatch, failure: AttemptFailure, defaults: Defaults) -> bool:
        if failure.refusal is not None or failure.end is AttemptOutcome.ANSWERED:
            return False
        if dispatch.attempts >= defaults.attempts:
            return False
        if asyncio.get_running_loop().time() >= dispatch.request.deadline:
            return False
        if failure.may_have_run and not dispatch.request.route.idempotent:
            return False
        # Without a connection the retry adds no load.
        return failure.end is AttemptOutcome.UNREACHABLE or self._budget.take()


def _without_shed(result: Answer | AttemptFailure, *, idempotent: bool) -> Answer | AttemptFailure:
    """Return a shed request as a failure.

    Only the marker says for certain that the target did not run it. An unmarked 503 is the target's
    answer, but makes another attempt worth while if running twice does no harm.
    """
    if not isinstance(result, Answer) or result.status != SERVICE_UNAVAILABLE:
        return result
    if any(header.name.lower() == SHED_MARKER for header in result.headers):
        return AttemptFailure(AttemptOutcome.SHED, False, "the target shed the request")
    if not idempotent:
        return result
    return AttemptFailure(AttemptOutcome.SHED, True, "the target answered 503", answer=result)
