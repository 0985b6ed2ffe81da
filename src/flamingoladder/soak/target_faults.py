"""Faults and planned work of targets, and what targets say of themselves."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.soak.faults import Fault
from flamingoladder.soak.history import RateLimitSpan
from flamingoladder.soak.history import Span
from flamingoladder.standins.relay import AnswerFault

if TYPE_CHECKING:
    from flamingoladder.platform.standins.targets import StandinTarget
    from flamingoladder.soak.faults import FaultContext


class TargetConnections(Fault):
    """A target's open connections are reset or go silent for good."""

    async def inject(self, context: FaultContext) -> None:
        """Reset or silence them."""
        async with context.busy_target() as target:
            if target is None:
                return
            is_reset = context.random.random() < 0.5
            what = "reset" if is_reset else "silent"
            context.note(f"{target.target.target_id}: connections {what}")
            if is_reset:
                target.relay.cut()
            else:
                target.relay.stall()


class FaultyAnswers(Fault):
    """A target's answers come twice, the second time late, or break off halfway."""

    async def inject(self, context: FaultContext) -> None:
        """Spoil answers for a while."""
        async with context.busy_target() as target:
            if target is None:
                return
            target.relay.answer_fault = context.random.choice(list(AnswerFault))
            context.note(f"{target.target.target_id}: answers {target.relay.answer_fault}")
            await asyncio.sleep(context.random.uniform(0.5, 3.0))
            target.relay.answer_fault = None
            context.note(f"{target.target.target_id}: answers as they are")


class ReplaceTarget(Fault):
    """A target drains, loses its entry or says that it leaves, serves on for a while and ends."""

    async def inject(self, context: FaultContext) -> None:
        """Start the next one, then let the old one leave."""
        deployment = context.deployment
        async with context.busy_target() as leaving:
            if leaving is None:
                return
            target = leaving.target
            async with context.store_busy:
                added = await deployment.add_target(target.service, context.next_number())
                await self._leave(context, target)
                context.note(f"{added} is new")
            await asyncio.sleep(context.random.uniform(4.0, 7.0))
            async with context.store_busy:
                await deployment.remove_target(target.target_id)
            await deployment.stop_target(target.target_id)
            context.note(f"{target.target_id} ended")

    async def _leave(self, context: FaultContext, target: StandinTarget) -> None:
        name = target.target_id
        how = context.random.choice(("drain", "remove", "say"))
        if how == "say":
            target.says_leaving = True
            context.note(f"{name} says in its answers that it leaves")
            return
        if how == "drain":
            await target.drain(context.deployment.store)
            context.note(f"{name} drains")
        else:
            await context.deployment.remove_target(name)
            context.note(f"{name} has no entry any more")
        context.history.left_at_by_target[name] = context.now


class NamePause(Fault):
    """A target turns all requests away and names the time for which it wants none."""

    async def inject(self, context: FaultContext) -> None:
        """Turn away for some seconds."""
        async with context.busy_target() as resting:
            if resting is None:
                return
            pause_s = context.random.uniform(1.0, 5.0)
            resting.target.pause_until = context.now + pause_s
            context.note(f"{resting.target.target_id} wants a pause of {pause_s:.3f} s")
            await asyncio.sleep(pause_s)


class NameRateLimit(Fault):
    """A target names a limit of the requests that it takes from all hosts."""

    async def inject(self, context: FaultContext) -> None:
        """Name it for some seconds."""
        async with context.busy_target() as limited:
            if limited is None:
                return
            target, since = limited.target, context.now
            per_s = round(context.random.uniform(0.0, 4.0), 1)
            target.rate_limit_per_s = per_s
            context.note(f"{target.target_id} names a limit of {per_s}/s")
            await asyncio.sleep(context.random.uniform(6.0, 9.0))
            target.rate_limit_per_s = None
            span = Span(since, context.now)
            context.history.limits.append(RateLimitSpan(target.target_id, per_s, span))
            context.note(f"{target.target_id} names no limit any more")
