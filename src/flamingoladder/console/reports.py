"""Texts that several commands print."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingoladder.freshness.commit_results import CommitReport


def report_text(report: CommitReport) -> str:
    """Return a line about a committed change."""
    force = "in force everywhere" if report.in_force else "committed, not yet in force everywhere"
    hosts = ",".join(report.in_force_on)
    return f"version {report.version} {force} after {report.seconds:.2f} s on {hosts}"
