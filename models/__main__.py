"""Checks every model and each of its mutants: ``python -m models``."""

from __future__ import annotations

import sys
from importlib import import_module
from time import perf_counter
from typing import TYPE_CHECKING

from models.checked import check

if TYPE_CHECKING:
    from models.checked import CheckedModel
    from models.checked import Report

# Each module has ``MODELS: Sequence[CheckedModel]``.
MODULES = (
    "models.at_most_once",
    "models.tickets",
    "models.division",
    "models.freshness",
    "models.store_eras",
    "models.claim_eras",
    "models.poison",
)


def main() -> int:
    """Return 0 if every model holds and every mutant has a counterexample."""
    passed = [_checked(model) for module in MODULES for model in import_module(module).MODELS]
    return 0 if all(passed) else 1


def _checked(model: CheckedModel) -> bool:
    began = perf_counter()
    report = check(model)
    _print(report, perf_counter() - began)
    return report.passed


def _print(report: Report, elapsed_s: float) -> None:
    outcome = "holds" if report.passed else "FAILS"
    print(f"{report.model}: {outcome}, {report.states} states, {elapsed_s:.1f} s")
    print(f"  invariants: {', '.join(report.invariants)}")
    for broken in report.broken:
        print(f"  BROKEN {broken.invariant}: {' / '.join(broken.steps)}")
    for witness in report.missing:
        print(f"  NEVER REACHED {witness}")
    for guard, found in report.by_guard.items():
        text = f"breaks {found.invariant} in {len(found.steps)} steps" if found else "NO EFFECT"
        print(f"  without {guard}: {text}")


if __name__ == "__main__":
    sys.exit(main())
