"""Sends requests to targets, with retries and hedging, and returns accurate verdicts."""

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
from flamingoladder.upstreams.dispatch_state import DispatchState
from flamingoladder.upstreams.retry_budget import RetryBudget
from flamingoladder.upstreams.stall_watchdog import StallWatchdog
from flamingoladder.upstreams.stall_watchdog import stall_timeout_for
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
    from flamingoladder.upstreams.notices import UpstreamNotices
    from flamingoladder.upstreams.poison_watch import PoisonWatch
    from flamingoladder.upstreams.targets import TargetPools
    from flamingoladder.verdict import Outcome

MS_PER_S = 1_000
SERVICE_UNAVAILABLE = 503
SHED_MARKER = fields.SHED.lower()


class UpstreamDispatcher(Dispatcher):
    """Tries targets until one answers or the deadline, attempts or retry budget run out.

    A request that may have run is sent again only if its route is idempotent.
    """

    __slots__ = (
        "_chooser",
        "_notices",
        "_permission",
        "_poison_watch",
        "_pools",
        "_recorder",
        "_retry_budget",
        "_state",
    )

    def __init__(
        self,
        *,
        state: StateInForce,
        chooser: TargetChooser,
        pools: TargetPools,
        poison_watch: PoisonWatch,
        notices: UpstreamNotices,
        permission: DispatchCheck,
        recorder: Recorder,
    ) -> None:
        self._state = state
        self._chooser = chooser
        self._pools = pools
        self._poison_watch = poison_watch
        self._notices = notices
        self._permission = permission
        self._recorder = recorder
        self._retry_budget = RetryBudget()

    async def dispatch(self, request: CallerRequest) -> Outcome:
        """Return the complete answer of a target, or a refusal with the accurate verdict."""
        defaults = self._defaults()
        self._retry_budget.deposit(defaults.retry_budget_ratio)
        dispatch = DispatchState(request)
        while True:
            reservation = await self._reserve(dispatch)
            if isinstance(reservation, Refusal):
                return dispatch.refusal_outcome(reservation)
            result = await self._attempt(dispatch, reservation, defaults)
            if isinstance(result, Answer):
                return Ok(result)
            if not self._may_retry(dispatch, result, defaults):
                return dispatch.failure_outcome(result)

    def _defaults(self) -> Defaults:
        state = self._state.current
        if state is None:
            raise RuntimeError("no state is in force")
        return state.deployment.defaults

    async def _reserve(self, dispatch: DispatchState) -> Reservation | Refusal:
        loop = asyncio.get_running_loop()
        request = dispatch.request
        held_back = self._poison_watch.refusal_of(dispatch.fingerprints, loop.time())
        if held_back is not None:
            return held_back
        reservation = await self._chooser.reserve(request, dispatch.tried, loop.time())
        if isinstance(reservation, Refusal):
            return reservation
        held_back = self._poison_watch.refusal_of(dispatch.fingerprints, loop.time())
        if held_back is not None:
            reservation.release(AttemptOutcome.CANCELLED, loop.time())
        return held_back or reservation

    async def _attempt(
        self, dispatch: DispatchState, reservation: Reservation, defaults: Defaults
    ) -> Answer | AttemptFailure:
        """Return the result of an attempt at the reserved target, or the answer of its hedge."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        outcome = AttemptOutcome.CANCELLED
        dispatch.attempts += 1
        connections = self._pools.of(reservation.address)
        exchange = Exchange(
            dispatch.request.deadline, partial(self._permission.refusal_of, dispatch.request)
        )
        stall_timeout_s = stall_timeout_for(
            defaults.silence_ms / MS_PER_S, dispatch.request.deadline, started
        )
        hedge = partial(self._hedge, dispatch, reservation, defaults)
        work = self._poison_watch.begin(dispatch.fingerprints, reservation.target, started)
        result: Answer | AttemptFailure | None = None
        try:
            with StallWatchdog(exchange, connections, stall_timeout_s, hedge) as watchdog:
                response = await connections.send(dispatch.request, exchange)
                if isinstance(response, Answer):
                    self._notices.learn(reservation.target, response, started, loop.time())
                result = _shed_as_failure(response, idempotent=dispatch.request.route.idempotent)
                self._poison_watch.end(work, result, loop.time())
                outcome = AttemptOutcome.ANSWERED if isinstance(result, Answer) else result.outcome
                if isinstance(result, Answer):
                    return result
                self._record_failure(dispatch, reservation.target, result)
                return await watchdog.hedge_answer() or result
        finally:
            if result is None:
                self._poison_watch.cancel(work, loop.time())
            reservation.release(outcome, loop.time())

    async def _hedge(
        self, dispatch: DispatchState, reservation: Reservation, defaults: Defaults, reachable: bool
    ) -> Answer | None:
        """Return the answer of a hedge attempt while the reserved target is silent, or None.

        Prefers another target; if there is none, retries the same one if it is ``reachable``.
        """
        if not dispatch.request.route.idempotent:
            return None
        dispatch.tried.append(reservation.target)
        while dispatch.attempts < defaults.attempts and self._retry_budget.try_withdraw():
            alternative = await self._reserve(dispatch)
            if isinstance(alternative, Refusal) and reachable:
                reachable = False
                dispatch.tried.remove(reservation.target)
                alternative = await self._reserve(dispatch)
            if isinstance(alternative, Refusal):
                return None
            result = await self._attempt(dispatch, alternative, defaults)
            if isinstance(result, Answer):
                return result
        return None

    def _record_failure(
        self, dispatch: DispatchState, target: str, failure: AttemptFailure
    ) -> None:
        dispatch.record_failure(target, failure)
        request = dispatch.request
        self._recorder.record(
            "attempt.failed",
            request=request.request_id,
            workspace=request.workspace,
            target=target,
            end=failure.outcome.value,
            may_have_run=failure.may_have_run,
        )

    def _may_retry(
        self, dispatch: DispatchState, failure: AttemptFailure, defaults: Defaults
    ) -> bool:
        """Return whether to retry; take it from the budget unless no connection was made."""
        if failure.refusal is not None or failure.outcome is AttemptOutcome.ANSWERED:
            return False
        if dispatch.attempts >= defaults.attempts:
            return False
        if asyncio.get_running_loop().time() >= dispatch.request.deadline:
            return False
        if failure.may_have_run and not dispatch.request.route.idempotent:
            return False
        # An attempt that got no connection added no load, so its retry is not budgeted.
        return failure.outcome is AttemptOutcome.UNREACHABLE or self._retry_budget.try_withdraw()


def _shed_as_failure(
    result: Answer | AttemptFailure, *, idempotent: bool
) -> Answer | AttemptFailure:
    """Return the failure for a shed request, or else ``result``.

    Only the shed header proves that the target did not run the request. A 503 without it is the
    target's own answer; it is retried only if the request is idempotent.
    """
    if not isinstance(result, Answer) or result.status != SERVICE_UNAVAILABLE:
        return result
    if any(header.name.lower() == SHED_MARKER for header in result.headers):
        return AttemptFailure(AttemptOutcome.SHED, False, "the target shed the request")
    if not idempotent:
        return result
    return AttemptFailure(AttemptOutcome.SHED, True, "the target answered 503", answer=result)
