"""Faults and planned work of hosts, store and operators; each records what it disturbs."""

from __future__ import annotations

import asyncio
from abc import ABC
from abc import abstractmethod
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from flamingoladder.standins.platform import FaultSettings

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from random import Random

    from flamingoladder.soak.deployment import SoakDeployment
    from flamingoladder.soak.deployment import SoakHost
    from flamingoladder.soak.deployment import SoakTarget
    from flamingoladder.soak.history import History

# Longer than the longest bound of a planned stop and what a process takes to end.
STOP_TIMEOUT_S = 8.0
STORE_OUTAGES = (FaultSettings(down=True), FaultSettings(refuse=True))
STORE_FAULTS = (
    *STORE_OUTAGES,
    FaultSettings(delay_s=0.2),
    FaultSettings(lost_answers=3),
)


class FaultContext:
    """What faults act on; ``store_busy`` and ``targets_busy`` keep them from undoing each other.

    Callers use the keys in ``caller_keys``, by workspace: the newest and the one before it.
    """

    __slots__ = (
        "_added",
        "caller_keys",
        "deployment",
        "history",
        "random",
        "store_busy",
        "targets_busy",
    )

    def __init__(
        self,
        deployment: SoakDeployment,
        caller_keys: dict[str, list[str]],
        history: History,
        random: Random,
    ) -> None:
        self.deployment = deployment
        self.caller_keys = caller_keys
        self.history = history
        self.random = random
        self.store_busy = asyncio.Lock()
        self.targets_busy: set[str] = set()
        self._added = 0

    @property
    def now(self) -> float:
        """Return the time in seconds of the event loop."""
        return asyncio.get_running_loop().time()

    def note(self, text: str) -> None:
        """Add a line to the time line."""
        self.history.note(self.now, text)

    def next_number(self) -> int:
        """Return a number that no target had yet."""
        self._added += 1
        return 100 + self._added

    @asynccontextmanager
    async def disturbed_host(self) -> AsyncIterator[SoakHost]:
        """Choose a host that no other fault is at, and note the disturbance."""
        host = self.random.choice(self.deployment.hosts)
        async with host.busy:
            self.history.begin_fault(host.settings.host, self.now)
            try:
                yield host
            finally:
                self.history.end_fault(host.settings.host, self.now)

    @asynccontextmanager
    async def busy_target(self) -> AsyncIterator[SoakTarget | None]:
        """Choose a target that no other fault is at, or None if there is none."""
        free = [name for name in self.deployment.targets_by_id if name not in self.targets_busy]
        if not free:
            yield None
            return
        name = self.random.choice(sorted(free))
        self.targets_busy.add(name)
        try:
            yield self.deployment.targets_by_id[name]
        finally:
            self.targets_busy.discard(name)


class Fault(ABC):
    """One kind of fault or planned work."""

    @abstractmethod
    async def inject(self, context: FaultContext) -> None:
        """Cause the fault and return when it is over."""


class KillHost(Fault):
    """A host's process is killed and starts again."""

    async def inject(self, context: FaultContext) -> None:
        """Kill, wait, start."""
        async with context.disturbed_host() as host:
            host.process.kill()
            context.note(f"{host.settings.host} killed")
            await host.process.wait()
            await asyncio.sleep(context.random.uniform(0.1, 1.5))
            host.process.start()
            await host.wait_until_ready()
            context.note(f"{host.settings.host} is back")


class StopHost(Fault):
    """A planned stop of a host, which then starts again; until its end it is undisturbed."""

    async def inject(self, context: FaultContext) -> None:
        """Stop, wait for the end, start."""
        host = context.random.choice(context.deployment.hosts)
        async with host.busy:
            name = host.settings.host
            host.process.terminate()
            context.note(f"{name} asked to stop")
            status = await host.process.wait(STOP_TIMEOUT_S)
            context.note(f"{name} ended with status {status}")
            context.history.begin_fault(name, context.now)
            host.process.start()
            await host.wait_until_ready()
            context.history.end_fault(name, context.now)


class FreezeHost(Fault):
    """A host's process stands still for some seconds."""

    async def inject(self, context: FaultContext) -> None:
        """Freeze, wait, thaw."""
        async with context.disturbed_host() as host:
            host.process.freeze()
            context.note(f"{host.settings.host} frozen")
            await asyncio.sleep(context.random.uniform(0.3, 5.0))
            host.process.thaw()
            context.note(f"{host.settings.host} thawed")


class CutHostFromStore(Fault):
    """A host's connections to the store go silent, and new ones are refused."""

    async def inject(self, context: FaultContext) -> None:
        """Cut, wait, mend."""
        async with context.disturbed_host() as host:
            host.store_relay.stall()
            await host.store_relay.refuse()
            context.note(f"{host.settings.host} cut from the store")
            await asyncio.sleep(context.random.uniform(1.0, 5.0))
            host.store_relay.cut()
            await host.store_relay.start()
            context.note(f"{host.settings.host} reaches the store again")


class StoreTrouble(Fault):
    """The store is down, refuses calls, is slow, or loses answers to writes."""

    async def inject(self, context: FaultContext) -> None:
        """Set a fault, wait, end it."""
        async with context.store_busy:
            faults = context.random.choice(STORE_FAULTS)
            context.history.begin_fault(context.history.STORE, context.now)
            context.deployment.state.faults = faults
            context.note(f"store: {faults}")
            await asyncio.sleep(context.random.uniform(0.5, 4.0))
            context.deployment.state.faults = FaultSettings()
            context.history.end_fault(context.history.STORE, context.now)
            context.note("store: no fault")


class StoreGoesBack(Fault):
    """The store is away and comes back from an older copy; its writers write again."""

    async def inject(self, context: FaultContext) -> None:
        """Keep a copy, let others change things, and come back from it."""
        deployment, random = context.deployment, context.random
        copy = deployment.state.copy()
        await asyncio.sleep(random.uniform(1.0, 8.0))
        async with context.store_busy:
            context.history.begin_fault(context.history.STORE, context.now)
            deployment.state.faults = random.choice(STORE_OUTAGES)
            await asyncio.sleep(random.uniform(0.0, 2.0))
            deployment.state.restore(copy)
            deployment.state.faults = FaultSettings()
            context.history.end_fault(context.history.STORE, context.now)
            context.note(f"store: back in era {deployment.state.tables.era}")
            await deployment.write_again(random)


class WithdrawKey(Fault):
    """A workspace's key is withdrawn and another one granted; callers go on with both."""

    async def inject(self, context: FaultContext) -> None:
        """Write the configuration."""
        deployment = context.deployment
        async with context.store_busy:
            workspace = context.random.choice(sorted(deployment.keys_by_workspace))
            old = deployment.keys_by_workspace[workspace][0]
            new = f"k-{workspace}-{context.next_number()}"
            deployment.keys_by_workspace[workspace] = [new]
            await deployment.configure()
            context.caller_keys[workspace] = [old, new]
            context.history.withdrawn_at_by_key[old] = context.now
            context.history.granted_at_by_key[new] = context.now
            context.note(f"{old} withdrawn, {new} granted")
