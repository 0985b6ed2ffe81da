"""The ``flamingoladder`` program: finds the commands and runs the one that is named."""

from __future__ import annotations

import sys

import defopt

from flamingoladder.console.commands.standin_platform import standin_platform
from flamingoladder.console.commands.version import version

COMMANDS = [
    standin_platform,
    version,
]


def main() -> None:
    """Run the command that the arguments name; its return value is the exit status."""
    sys.exit(defopt.run(COMMANDS, cli_options="has_default", no_negated_flags=True))
