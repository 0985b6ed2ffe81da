"""The daemons' event loop, whose clock also counts the time for which the machine was suspended."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

T = TypeVar("T")


def _boot_time_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SuspensionAwareLoop(asyncio.SelectorEventLoop):
    """An event loop on the time since boot.

    CLOCK_MONOTONIC, which asyncio uses, stands still while the machine is suspended, so leases,
    proofs and deadlines that ended meanwhile would seem to be valid.
    """

    def __init__(self, clock: Callable[[], float] = _boot_time_s) -> None:
        self._clock = clock
        super().__init__()

    def time(self) -> float:
        """Return the seconds since boot."""
        return self._clock()


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run ``main`` to its end on a new ``SuspensionAwareLoop``, and return its result."""
    with asyncio.Runner(loop_factory=SuspensionAwareLoop) as runner:
        return runner.run(main)
