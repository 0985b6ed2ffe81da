"""Runs the measurements: ``python -m bench [--quick] [NAME ...]``."""

from __future__ import annotations

import importlib
import sys
from time import perf_counter

import defopt

NAMES = (
    "rates",
    "freshness",
    "ledger",
    "steering",
    "gateway",
    "platform",
    "floods",
    "capacity",
    "start",
    "idle",
    "links",
    "entry",
    "placement",
    "placement_replay",
)


def bench(names: list[str] | None = None, *, quick: bool = False) -> int:
    """Run measurements and print their tables.

    :param names: which to run; all by default
    :param quick: take less time and give coarser figures
    """
    for name in names or NAMES:
        started = perf_counter()
        print(f"== {name}", flush=True)
        importlib.import_module(f"bench.{name}").measure(quick)
        print(f"-- {name} took {perf_counter() - started:.1f} s", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(bench))
