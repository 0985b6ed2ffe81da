"""The ``flamingoladder`` program: finds the commands and runs the one that is named."""

from __future__ import annotations

import gc
import importlib
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

PROGRAM = "flamingoladder"
COMMANDS_PACKAGE = "flamingoladder.console.commands"
COMMANDS = (
    "apply",
    "check",
    "daemon",
    "demo",
    "drain",
    "entry",
    "exceptions",
    "forget",
    "grant",
    "keys",
    "shift_end",
    "shift_start",
    "show",
    "soak",
    "standin_platform",
    "standin_upstreams",
    "status",
    "story",
    "timeline",
    "undrain",
    "version",
    "withdraw",
)
# Runs without flags on every host. Parsing flags imports docutils, a fifth of the CPU time that a
# process takes to start.
START_COMMAND = "entry"


def main() -> None:
    """Run the command that the arguments name; its return value is the exit status.

    Only the named command is imported, as a daemon's memory is bounded.
    """
    sys.argv[0] = PROGRAM
    if sys.argv[1:] == [START_COMMAND]:
        sys.exit(_uncollected_command(START_COMMAND)())
    named = sys.argv[1].replace("-", "_") if len(sys.argv) > 1 else ""
    sys.exit(_run_with_flags((named,) if named in COMMANDS else COMMANDS))


def _run_with_flags(names: Sequence[str]) -> int:
    import defopt

    commands = [_command(name) for name in names]
    by_name = {function.__name__.replace("_", "-"): function for function in commands}
    status: int = defopt.run(by_name, no_negated_flags=True)
    return status


def _uncollected_command(name: str) -> Callable[..., int]:
    """Return a command whose modules no garbage collection examines, now or later.

    Collections took a tenth of the CPU time of the imports, which leave hardly any garbage.
    """
    gc.disable()
    try:
        return _command(name)
    finally:
        gc.freeze()
        gc.enable()


def _command(name: str) -> Callable[..., int]:
    module = importlib.import_module(f"{COMMANDS_PACKAGE}.{name}")
    command: Callable[..., int] = getattr(module, name)
    return command
