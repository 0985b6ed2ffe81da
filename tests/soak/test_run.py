"""A short soak of real processes; longer ones are run by hand."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.soak.run import run_soak

if TYPE_CHECKING:
    from pathlib import Path

SEED = 26
SECONDS = 6.0
MIN_REQUESTS = 200


async def test_promises_hold_under_overlapping_faults(tmp_path: Path) -> None:
    report = await run_soak(SEED, SECONDS, tmp_path, hosts=3)
    assert report.broken == (), "\n".join(report.lines)
    assert report.requests > MIN_REQUESTS
