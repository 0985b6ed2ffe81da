"""Holds each workspace to its rate and burst over all hosts.

Each host keeps an account of the whole limit: it refills with time, and falls with every request
that any host admits. What others admit comes with their reports, so the account runs late. While it
holds more than may be spent unseen, a host admits at once. When it is low, a host admits only its
share of the rate, by its part of the demand. A host that is not heard keeps an even part reserved.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from flamingoladder.limits.token_buckets import DEMAND_DECAY_S
from flamingoladder.limits.token_buckets import WorkspaceBuckets

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from flamingoladder.limits.tolerance import RateTolerance
    from flamingoladder.routing.model import Workspace

DEMAND_FLOOR_PER_S = 0.3
MIN_DEMAND_PER_S = 0.01
PATH_DELAY_S = 0.15
RESTART_UNITS = 8.0


class RateReport(msgspec.Struct, frozen=True, array_like=True):
    """What a host tells the others of one workspace.

    ``admitted`` counts requests since the start of the host and never falls: what is given back is
    taken off later ones. ``demand_per_s`` is what comes in.
    """

    admitted: int
    demand_per_s: float


class RateRefusal(msgspec.Struct, frozen=True):
    """Why a request is over the limit.

    ``left`` is the account in requests, ``share`` this host's part of the rate, ``wait_s`` the time
    until there is a unit; ``heard`` counts the other hosts whose reports went into it.
    """

    workspace: str
    wait_s: float
    fleet_tokens: float
    share: float
    demand_per_s: float
    reporting_hosts: int

    def __str__(self) -> str:
        """Return the figures for a log line."""
        return (
            f"{self.workspace}: {self.fleet_tokens:.1f} left of all, share {self.share:.3f}, "
            f"demand {self.demand_per_s:.1f}/s of all, {self.reporting_hosts} hosts heard"
        )


class FleetRateLimiter:
    """The accounts of this host."""

    __slots__ = (
        "_accounts_by_workspace",
        "_full",
        "_hosts",
        "_report_delay_s",
        "_reported",
        "_reports_by_host",
        "_tolerance",
    )

    def __init__(self, tolerance: RateTolerance, *, start_full: bool) -> None:
        self._tolerance = tolerance
        self._accounts_by_workspace: dict[str, WorkspaceBuckets] = {}
        self._reports_by_host: dict[str, Mapping[str, RateReport]] = {}
        self._reported: dict[str, RateReport] = {}
        self._hosts = 1
        self._report_delay_s = PATH_DELAY_S
        self._full = start_full

    def update(
        self,
        host_count: int,
        reports_by_host: Mapping[str, Mapping[str, RateReport]],
        report_interval_s: float,
    ) -> None:
        """Take in the number of all hosts, and the reports of the others that are heard."""
        self._hosts = max(1, host_count)
        self._report_delay_s = report_interval_s + PATH_DELAY_S
        for host, reports in reports_by_host.items():
            known = self._reports_by_host.get(host)
            if known is None:
                continue
            for name, report in reports.items():
                before = known.get(name)
                self._spent_elsewhere(name, report.admitted - (before.admitted if before else 0))
        self._reports_by_host = dict(reports_by_host)

    def report(self, now: float) -> dict[str, RateReport]:
        """Return what to tell the other hosts.

        The own share is worked out from what was reported last, as the others do with theirs: a
        host that looked at its newest demand would take more than its part while demand rises.
        """
        self._reported = {
            name: RateReport(self._told(name, account), round(account.demand_at(now), 1))
            for name, account in self._accounts_by_workspace.items()
        }
        return self._reported

    def admit(self, workspace: Workspace, now: float) -> RateRefusal | None:
        """Take one unit and return None, or return why there is none."""
        if workspace.rate_per_s <= 0:
            return None
        account = self._account(workspace, now)
        part = 1 - self._silent / self._hosts
        share = self._own_part(workspace.name)
        rate_per_s = workspace.rate_per_s * self._tolerance.rate_factor * part
        own_cap = self._tolerance.host_tokens_cap(workspace.rate_per_s, self._hosts)
        account.refill(rate_per_s, workspace.burst * part, share, own_cap, now)
        account.demand_per_s += 1 / DEMAND_DECAY_S
        if account.fleet_tokens >= 1 + self._unseen(workspace.name, account):
            account.spend()
            return None
        if account.host_tokens >= 1:
            account.host_tokens -= 1
            account.spend()
            return None
        gain_per_s = max(MIN_DEMAND_PER_S, rate_per_s * share)
        wait_s = (1 - account.host_tokens) / gain_per_s
        heard, demand = len(self._reports_by_host), self._demands(workspace.name)
        return RateRefusal(workspace.name, wait_s, account.fleet_tokens, share, demand, heard)

    def refund(self, workspace: Workspace) -> None:
        """Give back the unit of a request that was admitted and certainly has not run."""
        account = self._accounts_by_workspace.get(workspace.name)
        if account is not None and workspace.rate_per_s > 0:
            account.refund()

    def keep_only(self, workspaces: Collection[str]) -> None:
        """Forget workspaces that are no longer configured."""
        for name in self._accounts_by_workspace.keys() - set(workspaces):
            del self._accounts_by_workspace[name]

    def _account(self, workspace: Workspace, now: float) -> WorkspaceBuckets:
        account = self._accounts_by_workspace.get(workspace.name)
        if account is None:
            left = workspace.burst if self._full else min(workspace.burst, RESTART_UNITS)
            account = self._accounts_by_workspace[workspace.name] = WorkspaceBuckets(left, now)
        return account

    def _unseen(self, workspace: str, account: WorkspaceBuckets) -> float:
        """Return what the others may have admitted since their reports, beyond the tolerance.

        They tell their demand late, so what it rose by here is expected at each of them.
        """
        told = self._own_demand(workspace)
        rise = max(0.0, account.demand_per_s - told)
        elsewhere = self._demands(workspace) - told + rise * (self._hosts - 1)
        return max(0.0, elsewhere * self._report_delay_s - self._tolerance.unreported_tokens)

    def _told(self, workspace: str, account: WorkspaceBuckets) -> int:
        reported = self._reported.get(workspace)
        return account.admitted if reported is None else max(reported.admitted, account.admitted)

    def _spent_elsewhere(self, workspace: str, units: int) -> None:
        account = self._accounts_by_workspace.get(workspace)
        if account is not None and units > 0:
            account.fleet_tokens -= units

    @property
    def _silent(self) -> int:
        return max(0, self._hosts - 1 - len(self._reports_by_host))

    def _demands(self, workspace: str) -> float:
        found = self._own_demand(workspace)
        for reports in self._reports_by_host.values():
            report = reports.get(workspace)
            found += 0.0 if report is None else report.demand_per_s
        return found

    def _own_demand(self, workspace: str) -> float:
        own = self._reported.get(workspace)
        return 0.0 if own is None else own.demand_per_s

    def _own_part(self, workspace: str) -> float:
        floor = DEMAND_FLOOR_PER_S
        own_demand = floor + self._own_demand(workspace)
        heard = len(self._reports_by_host)
        all_demand = self._demands(workspace) + floor * (1 + heard)
        return own_demand / all_demand
