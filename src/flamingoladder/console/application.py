"""The ``flamingoladder`` program: finds the commands and runs the one that is named."""

from __future__ import annotations

import importlib
import sys
from typing import TYPE_CHECKING

import defopt

if TYPE_CHECKING:
    from collections.abc import Callable

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


def main() -> None:
    """Run the command that the arguments name; its return value is the exit status.

    Only the named command is imported, as a daemon's memory is bounded.
    """
    sys.argv[0] = PROGRAM
    named = sys.argv[1].replace("-", "_") if len(sys.argv) > 1 else ""
    names = (named,) if named in COMMANDS else COMMANDS
    commands = [_command(name) for name in names]
    by_name = {function.__name__.replace("_", "-"): function for function in commands}
    sys.exit(defopt.run(by_name, no_negated_flags=True))


def _command(name: str) -> Callable[..., int]:
    module = importlib.import_module(f"{COMMANDS_PACKAGE}.{name}")
    command: Callable[..., int] = getattr(module, name)
    return command
