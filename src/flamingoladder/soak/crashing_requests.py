"""A request that ends each target that begins to run it, sent again and again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.soak.caller_connection import CallerConnection
from flamingoladder.soak.callers import Call
from flamingoladder.soak.callers import send_once
from flamingoladder.soak.faults import Fault
from flamingoladder.storage.exceptions import PlatformError

if TYPE_CHECKING:
    from random import Random

    from flamingoladder.platform.standins.targets import TargetRun
    from flamingoladder.soak.deployment import SoakTarget
    from flamingoladder.soak.faults import FaultContext

REPEAT_S = 0.5
REPEATS = 24
WORKSPACE = "turf"
END_AFTER_S = 0.02
MAX_DOWN_S = 3.0
REGISTER_AGAIN_S = 0.3


class CrashingRequest(Fault):
    """Its targets reset their connections and refuse, or fall silent; then they start again."""

    async def inject(self, context: FaultContext) -> None:
        """Send it at random hosts."""
        number = context.next_number()
        is_booking = context.random.random() < 0.3
        path = f"/bookings/crash-{number}" if is_booking else f"/kit/crash-{number}"
        is_silent = context.random.random() < 0.5
        context.note(f"{path}: its targets {'fall silent' if is_silent else 'refuse'}")
        history = context.history
        history.crashes_by_path[path] = []
        ending: set[asyncio.Task[None]] = set()

        def end(run: TargetRun) -> None:
            target = context.deployment.targets_by_id.get(run.target_id)
            if target is not None:
                task = asyncio.create_task(_end(context, target, path, is_silent=is_silent))
                ending.add(task)

        context.deployment.on_run[path] = end
        for repeat in range(REPEATS):
            call = Call(
                request_id=f"crash-{number}-{repeat}",
                workspace=WORKSPACE,
                key=context.caller_keys[WORKSPACE][-1],
                path=path,
                number=number,
                body=b"crash" if is_booking else b"",
            )
            await _send(context, call, context.random)
            await asyncio.sleep(REPEAT_S)
        await asyncio.gather(*ending)
        context.note(f"{path}: {len(history.crashes_by_path[path])} targets ended")


async def _send(context: FaultContext, call: Call, random: Random) -> None:
    host, address = random.choice(sorted(context.deployment.addresses_by_host.items()))
    try:
        connection = await CallerConnection.open(host, address.address, address.port)
    except OSError:
        return
    await send_once(connection, call, context.history)
    connection.close()


async def _end(context: FaultContext, target: SoakTarget, path: str, *, is_silent: bool) -> None:
    """End the target, and start it again later unless it was stopped meanwhile."""
    await asyncio.sleep(END_AFTER_S)
    relay, name = target.relay, target.target.target_id
    if target.is_down or name not in context.deployment.targets_by_id:
        return
    target.is_down = True
    context.history.crashes_by_path[path].append(context.now)
    if is_silent:
        relay.silence()
    else:
        await relay.refuse()
        relay.cut()
    await asyncio.sleep(context.random.uniform(0.2, MAX_DOWN_S))
    if name not in context.deployment.targets_by_id:
        return
    target.is_down = relay.is_silent = False
    relay.cut()
    if not is_silent:
        await relay.start()
    await _register_again(context, target)


async def _register_again(context: FaultContext, target: SoakTarget) -> None:
    deployment = context.deployment
    while deployment.has_entry(target.target.target_id):
        try:
            await target.target.start_again(deployment.store)
        except PlatformError:
            await asyncio.sleep(REGISTER_AGAIN_S)
        else:
            return
