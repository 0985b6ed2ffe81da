"""The record of all runs in one upstream process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.standins.upstream_messages import Run
from flamingoladder.standins.upstream_messages import RunsReport
from flamingoladder.standins.upstream_messages import RunState

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

AUTHORIZATION = "authorization"


class RunLog:
    """Runs, and the names of the headers that came with requests for work."""

    __slots__ = ("_header_names", "_runs", "peak_connections", "turned_away")

    def __init__(self) -> None:
        self._runs: list[Run] = []
        self._header_names: set[str] = set()
        self.turned_away = 0
        self.peak_connections = 0

    def saw_headers(self, names: Iterable[str]) -> None:
        """Take in the header names of a request for work."""
        self._header_names.update(name.lower() for name in names)

    def saw_connections(self, count: int) -> None:
        """Take in how many connections a target has."""
        self.peak_connections = max(self.peak_connections, count)

    def start(self, run: Run) -> None:
        """Record the start of a run."""
        self._runs.append(run)

    def end(self, run: Run, state: RunState, now: float) -> None:
        """Record the end of a run, unless it has ended."""
        if run.state == RunState.RUNNING:
            run.state = state
            run.ended = now

    def crash(self, target: str, now: float) -> None:
        """End all runs of ``target`` as crashed."""
        for run in self._runs:
            if run.target == target:
                self.end(run, RunState.CRASHED, now)

    def report(self, filters: Mapping[str, str]) -> RunsReport:
        """Return the runs whose fields equal those in ``filters``."""
        runs = (
            run
            for run in self._runs
            if all(getattr(run, name, None) == value for name, value in filters.items())
        )
        return RunsReport(
            runs=tuple(runs),
            header_names=tuple(sorted(self._header_names)),
            authorization_seen=AUTHORIZATION in self._header_names,
            turned_away=self.turned_away,
            peak_connections=self.peak_connections,
        )
