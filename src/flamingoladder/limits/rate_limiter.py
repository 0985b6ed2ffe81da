"""Rate limiter of each workspace over all hosts, by token buckets.

Each host keeps a bucket for the whole limit: it refills with time, and every request that any host
admits takes a token. Other hosts' requests arrive with their reports, so the bucket lags behind.
While it holds more tokens than the others may have spent since their reports, a host admits at
once. When it is low, a host admits only its share of the rate, in proportion to its demand. An even
share stays reserved for each host that does not report.
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

# What counts as demand of each host in the division of a rate, so that none has no share. In a
# large fleet all floors together stay what they are at 20 hosts, as small workspaces use few hosts.
SHARE_DEMAND_FLOOR_PER_S = 0.3
FLEET_DEMAND_FLOOR_PER_S = 20 * SHARE_DEMAND_FLOOR_PER_S
MIN_REFILL_PER_S = 0.01
REPORT_TRANSIT_S = 0.15
# Starting empty refused requests right after a restart; 8 tokens stay below the slack.
RESTART_TOKENS = 8.0


class RateReport(msgspec.Struct, frozen=True, array_like=True):
    """A host's report of one workspace to the other hosts.

    ``admitted`` counts requests since the start of the host and never decreases: refunded requests
    are subtracted from later ones. ``demand_per_s`` is the rate of incoming requests.
    """

    admitted: int
    demand_per_s: float


class RateRefusal(msgspec.Struct, frozen=True):
    """A request over the limit, with the state of the limiter.

    ``fleet_tokens`` is the fleet's bucket, ``share`` this host's share of the rate, ``wait_s`` the
    time until a token is free; ``reporting_hosts`` counts the other hosts with a live report.
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
    """The token buckets of all workspaces on this host."""

    __slots__ = (
        "_buckets_by_workspace",
        "_host_count",
        "_remote_demand_by_workspace",
        "_report_delay_s",
        "_reported",
        "_reports_by_host",
        "_start_full",
        "_tolerance",
    )

    def __init__(self, tolerance: RateTolerance, *, start_full: bool) -> None:
        self._tolerance = tolerance
        self._buckets_by_workspace: dict[str, WorkspaceBuckets] = {}
        self._reports_by_host: dict[str, Mapping[str, RateReport]] = {}
        self._remote_demand_by_workspace: dict[str, float] = {}
        self._reported: dict[str, RateReport] = {}
        self._host_count = 1
        self._report_delay_s = REPORT_TRANSIT_S
        self._start_full = start_full

    def update(
        self,
        host_count: int,
        reports_by_host: Mapping[str, Mapping[str, RateReport]],
        report_interval_s: float,
    ) -> None:
        """Apply the number of all hosts, and the live reports of the others."""
        self._host_count = max(1, host_count)
        self._report_delay_s = report_interval_s + REPORT_TRANSIT_S
        known_by_host, self._reports_by_host = self._reports_by_host, dict(reports_by_host)
        for host, reports in reports_by_host.items():
            known = known_by_host.get(host)
            if known is not reports:
                self._take_changes(reports, known)
        if not all(
            host in reports_by_host and known.keys() <= reports_by_host[host].keys()
            for host, known in known_by_host.items()
        ):
            self._sum_demand()

    def report(self, now: float) -> dict[str, RateReport]:
        """Return the report to send to the other hosts.

        This host's share is computed from its latest report, as the others compute theirs: a host
        that used its newest demand would take more than its share while demand rises.
        """
        self._reported = {
            name: RateReport(
                self._admitted_to_report(name, buckets), round(buckets.demand_at(now), 1)
            )
            for name, buckets in self._buckets_by_workspace.items()
        }
        return self._reported

    def admit(self, workspace: Workspace, now: float) -> RateRefusal | None:
        """Take one token and return None, or return a refusal if there is none."""
        if workspace.rate_per_s <= 0:
            return None
        buckets = self._buckets_of(workspace, now)
        reporting_share = 1 - self._silent_hosts / self._host_count
        share = self._own_share(workspace.name)
        rate_per_s = workspace.rate_per_s * self._tolerance.rate_factor * reporting_share
        host_cap = self._tolerance.host_tokens_cap(workspace.rate_per_s, self._host_count)
        buckets.refill(rate_per_s, workspace.burst * reporting_share, share, host_cap, now)
        buckets.demand_per_s += 1 / DEMAND_DECAY_S
        if buckets.fleet_tokens >= 1 + self._unreported(workspace.name, buckets):
            buckets.spend()
            return None
        if buckets.host_tokens >= 1:
            buckets.host_tokens -= 1
            buckets.spend()
            return None
        refill_per_s = max(MIN_REFILL_PER_S, rate_per_s * share)
        wait_s = (1 - buckets.host_tokens) / refill_per_s
        reporting_hosts, demand = len(self._reports_by_host), self._fleet_demand(workspace.name)
        return RateRefusal(
            workspace.name, wait_s, buckets.fleet_tokens, share, demand, reporting_hosts
        )

    def refund(self, workspace: Workspace) -> None:
        """Return the token of a request that was admitted and certainly has not run."""
        buckets = self._buckets_by_workspace.get(workspace.name)
        if buckets is not None and workspace.rate_per_s > 0:
            buckets.refund()

    def keep_only(self, workspaces: Collection[str]) -> None:
        """Drop the buckets of workspaces that are no longer configured."""
        for name in self._buckets_by_workspace.keys() - set(workspaces):
            del self._buckets_by_workspace[name]

    def _buckets_of(self, workspace: Workspace, now: float) -> WorkspaceBuckets:
        buckets = self._buckets_by_workspace.get(workspace.name)
        if buckets is None:
            fleet_tokens = (
                workspace.burst if self._start_full else min(workspace.burst, RESTART_TOKENS)
            )
            buckets = self._buckets_by_workspace[workspace.name] = WorkspaceBuckets(
                fleet_tokens, now
            )
        return buckets

    def _unreported(self, workspace: str, buckets: WorkspaceBuckets) -> float:
        """Return the requests beyond the tolerance that others may have admitted but not reported.

        Reported demand lags, so that of the others is assumed to have risen as much as here: alike
        at each host, or in proportion to the shares if this host has more of the demand.
        """
        reported = self._own_demand(workspace)
        demand_rise = max(0.0, buckets.demand_per_s - reported)
        others_rise = demand_rise * min(self._host_count - 1, 1 / self._own_share(workspace) - 1)
        remote_demand = self._fleet_demand(workspace) - reported + others_rise
        return max(0.0, remote_demand * self._report_delay_s - self._tolerance.unreported_tokens)

    def _admitted_to_report(self, workspace: str, buckets: WorkspaceBuckets) -> int:
        reported = self._reported.get(workspace)
        return buckets.admitted if reported is None else max(reported.admitted, buckets.admitted)

    def _take_changes(
        self, reports: Mapping[str, RateReport], known: Mapping[str, RateReport] | None
    ) -> None:
        """Add what changed since a host's ``known`` reports, or a new host's demand alone."""
        buckets_by_workspace, demands = self._buckets_by_workspace, self._remote_demand_by_workspace
        for name, report in reports.items():
            before = known.get(name) if known else None
            if report is before:
                continue
            demand_before = before.demand_per_s if before else 0.0
            demands[name] = demands.get(name, 0.0) + report.demand_per_s - demand_before
            tokens = report.admitted - (before.admitted if before else 0)
            if known is not None and tokens > 0 and name in buckets_by_workspace:
                buckets_by_workspace[name].fleet_tokens -= tokens

    def _sum_demand(self) -> None:
        """Sum up the other hosts' demand anew, as some of it is no longer reported."""
        demands = self._remote_demand_by_workspace = {}
        for reports in self._reports_by_host.values():
            for name, report in reports.items():
                demands[name] = demands.get(name, 0.0) + report.demand_per_s

    @property
    def _silent_hosts(self) -> int:
        return max(0, self._host_count - 1 - len(self._reports_by_host))

    def _fleet_demand(self, workspace: str) -> float:
        return self._own_demand(workspace) + self._remote_demand_by_workspace.get(workspace, 0.0)

    def _own_demand(self, workspace: str) -> float:
        own = self._reported.get(workspace)
        return 0.0 if own is None else own.demand_per_s

    def _own_share(self, workspace: str) -> float:
        reporting_hosts = len(self._reports_by_host)
        floor = min(SHARE_DEMAND_FLOOR_PER_S, FLEET_DEMAND_FLOOR_PER_S / (1 + reporting_hosts))
        own_demand = floor + self._own_demand(workspace)
        all_demand = self._fleet_demand(workspace) + floor * (1 + reporting_hosts)
        return own_demand / all_demand
