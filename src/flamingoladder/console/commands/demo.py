"""``flamingoladder demo``."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

from flamingoladder.console.exit_codes import ExitCode
from flamingoladder.demo.platform_scenario import run_platform_demo
from flamingoladder.demo.scenario import run_demo


def demo(configuration: Path = Path("examples/tjaldvik.yaml")) -> int:
    """Run whole deployments on embedded stand-ins under traffic, and check their promises.

    First entry hosts on the platform's store and targets, then the product's own interface.


    :param configuration: the deployment to run; its targets are moved to local ports
    """
    kept_on_platform = asyncio.run(run_platform_demo())
    with tempfile.TemporaryDirectory(prefix="flamingoladder-") as directory:
        kept = asyncio.run(run_demo(configuration, Path(directory)))
    return ExitCode.DONE if kept and kept_on_platform else ExitCode.PROMISE_BROKEN
