"""CPU time that an entry host takes from the start of its process until it reads its settings."""

from __future__ import annotations

import os
import resource
import subprocess
import sys
from statistics import median

RUNS = 15
QUICK_RUNS = 5
MS_PER_S = 1_000
# Without settings the command ends as soon as it has been imported.
COMMANDS = {
    "bare interpreter": ("-c", "pass"),
    "import aiohttp.web": ("-c", "import aiohttp.web"),
    "flamingoladder entry": ("-m", "flamingoladder", "entry"),
    "flamingoladder entry --log-level INFO": (
        "-m",
        "flamingoladder",
        "entry",
        "--log-level",
        "INFO",
    ),
}


def measure(quick: bool) -> None:
    """Print the median and the least CPU time of each command."""
    environment = {
        name: value
        for name, value in os.environ.items()
        if name not in {"FLAMINGOLADDER_CONFIG", "PYTHONDONTWRITEBYTECODE"}
    }
    print(f"{'command':<40} {'median ms':>10} {'least ms':>9}")
    for name, arguments in COMMANDS.items():
        # The first run may compile modules.
        _, *times_s = (
            _cpu_s(arguments, environment) for _ in range(1 + (QUICK_RUNS if quick else RUNS))
        )
        print(
            f"{name:<40} {MS_PER_S * median(times_s):>10.0f} {MS_PER_S * min(times_s):>9.0f}",
            flush=True,
        )


def _cpu_s(arguments: tuple[str, ...], environment: dict[str, str]) -> float:
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run(
        [sys.executable, *arguments], env=environment, stderr=subprocess.DEVNULL, check=False
    )
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
