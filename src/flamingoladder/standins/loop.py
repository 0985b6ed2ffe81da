"""An event loop on injected time: it jumps to the next timer instead of waiting."""

from __future__ import annotations

import asyncio
import selectors
from math import inf
from math import nextafter
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")


class _JumpingSelector(selectors.SelectSelector):
    """A selector that advances the loop's time by the timeout instead of sleeping."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("all tasks wait for something that no timer brings")
        if timeout > 0:
            # A timer less than a rounding step ahead would never come due otherwise.
            step = nextafter(self.elapsed_s, inf)
            self.elapsed_s = max(self.elapsed_s + timeout, step)
        return super().select(0)


class InjectedTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time starts at 0 and passes only by timers."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the injected time in seconds."""
        return self._jumping.elapsed_s


def run_on_injected_time(main: Coroutine[Any, Any, T]) -> T:
    """Run ``main`` to its end on a new loop with injected time, and return its result."""
    with asyncio.Runner(loop_factory=InjectedTimeLoop) as runner:
        return runner.run(main)
