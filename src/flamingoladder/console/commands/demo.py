"""``flamingoladder demo``."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

from flamingoladder.console.exit_codes import ExitCode
from flamingoladder.demo.scenario import run_demo


def demo(configuration: Path = Path("examples/tjaldvik.yaml")) -> int:
    """Run a whole deployment on embedded stand-ins under traffic, and check its promises.

    :param configuration: the deployment to run; its targets are moved to local ports
    """
    with tempfile.TemporaryDirectory(prefix="flamingoladder-") as directory:
        kept = asyncio.run(run_demo(configuration, Path(directory)))
    return ExitCode.DONE if kept else ExitCode.PROMISE_BROKEN
