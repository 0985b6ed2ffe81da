"""Holds each workspace to its rate and burst over all hosts.

Each host keeps an account of the whole limit: it refills with time, and falls with every request
that any host admits. What others admit comes with their reports, so the account runs late. While it
holds more than may be spent unseen, a host admits at once. When it is low, a host admits only its
share of the rate, by its part of the demand. A host that is not heard keeps an even part reserved.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from flamingoladder.routing.model import Workspace

DEMAND_TIME_S = 1.5
DEMAND_FLOOR_PER_S = 0.3
MIN_DEMAND_PER_S = 0.01
PATH_DELAY_S = 0.15
UNSEEN_UNITS = 8.0
SUDDEN_PART = 0.5
RESTART_UNITS = 8.0
MAX_DEBT_UNITS = 10.0
DEBT_SLOWING = 0.7
OWN_UNITS = 1.0
SPARE_UNITS = 11.0
EXTRA_RATE = 1.05


class RateReport(msgspec.Struct, frozen=True, array_like=True):
    """What a host tells the others of one workspace.

    ``admitted`` counts requests since the start of the host, ``demand_per_s`` is what comes in.
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
    left: float
    share: float
    demand_per_s: float
    heard: int

    def __str__(self) -> str:
        """Return the figures for a log line."""
        return (
            f"{self.workspace}: {self.left:.1f} left of all, share {self.share:.3f}, "
            f"demand {self.demand_per_s:.1f}/s of all, {self.heard} hosts heard"
        )


class Account:
    """One workspace. ``left`` is what all hosts may still admit, ``own`` what this host may."""

    __slots__ = ("admitted", "at", "demand_per_s", "left", "own")

    def __init__(self, left: float, now: float) -> None:
        self.left = left
        self.own = OWN_UNITS
        self.at = now
        self.admitted = 0
        self.demand_per_s = 0.0

    def demand(self, now: float) -> float:
        """Return the demand at this host in requests per second, as it faded up to ``now``."""
        elapsed = max(0.0, now - self.at)
        return self.demand_per_s * max(0.0, 1 - elapsed / DEMAND_TIME_S)

    def refill(
        self, workspace: Workspace, part: float, share: float, own_cap: float, now: float
    ) -> None:
        """Let time pass; ``part`` of the limit belongs to the hosts that are heard."""
        elapsed = max(0.0, now - self.at)
        gained = elapsed * workspace.rate_per_s * EXTRA_RATE
        self.left = min(max(1.0, workspace.burst * part), self.left + gained * part)
        slowing = DEBT_SLOWING if self.left < -MAX_DEBT_UNITS else 1.0
        self.own = min(own_cap, self.own + gained * share * slowing)
        self.demand_per_s = self.demand(now)
        self.at = now

    def take(self) -> None:
        """Count an admitted request."""
        self.left -= 1
        self.admitted += 1


class FleetRates:
    """The accounts of this host."""

    __slots__ = (
        "_accounts_by_workspace",
        "_full",
        "_hosts",
        "_report_delay_s",
        "_reported",
        "_reports_by_host",
    )

    def __init__(self, *, start_full: bool) -> None:
        self._accounts_by_workspace: dict[str, Account] = {}
        self._reports_by_host: dict[str, Mapping[str, RateReport]] = {}
        self._reported: dict[str, RateReport] = {}
        self._hosts = 1
        self._report_delay_s = PATH_DELAY_S
        self._full = start_full

    def update(
        self,
        hosts: int,
        reports_by_host: Mapping[str, Mapping[str, RateReport]],
        report_interval_s: float,
    ) -> None:
        """Take in the number of all hosts, and the reports of the others that are heard."""
        self._hosts = max(1, hosts)
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
            name: RateReport(account.admitted, round(account.demand(now), 1))
            for name, account in self._accounts_by_workspace.items()
        }
        return self._reported

    def admit(self, workspace: Workspace, now: float) -> RateRefusal | None:
        """Take one unit and return None, or return why there is none."""
        if workspace.rate_per_s <= 0:
            return None
        account = self._account(workspace, now)
        demand = self._demands(workspace.name)
        part = 1 - self._silent / self._hosts
        share = part * self._own_part(workspace.name)
        account.refill(workspace, part, share, max(OWN_UNITS, SPARE_UNITS / self._hosts), now)
        account.demand_per_s += 1 / DEMAND_TIME_S
        sudden = account.demand_per_s * self._hosts * SUDDEN_PART
        unseen = max(0.0, max(demand, sudden) * self._report_delay_s - UNSEEN_UNITS)
        if account.left >= 1 + unseen:
            account.take()
            return None
        if account.own >= 1:
            account.own -= 1
            account.take()
            return None
        gain_per_s = max(MIN_DEMAND_PER_S, workspace.rate_per_s * EXTRA_RATE * share)
        wait_s = (1 - account.own) / gain_per_s
        heard = len(self._reports_by_host)
        return RateRefusal(workspace.name, wait_s, account.left, share, demand, heard)

    def keep_only(self, workspaces: Collection[str]) -> None:
        """Forget workspaces that are no longer configured."""
        for name in self._accounts_by_workspace.keys() - set(workspaces):
            del self._accounts_by_workspace[name]

    def _account(self, workspace: Workspace, now: float) -> Account:
        account = self._accounts_by_workspace.get(workspace.name)
        if account is None:
            left = workspace.burst if self._full else min(workspace.burst, RESTART_UNITS)
            account = self._accounts_by_workspace[workspace.name] = Account(left, now)
        return account

    def _spent_elsewhere(self, workspace: str, units: int) -> None:
        account = self._accounts_by_workspace.get(workspace)
        if account is not None and units > 0:
            account.left -= units

    @property
    def _silent(self) -> int:
        return max(0, self._hosts - 1 - len(self._reports_by_host))

    def _demands(self, workspace: str) -> float:
        own = self._reported.get(workspace)
        found = 0.0 if own is None else own.demand_per_s
        for reports in self._reports_by_host.values():
            report = reports.get(workspace)
            found += 0.0 if report is None else report.demand_per_s
        return found

    def _own_part(self, workspace: str) -> float:
        own = self._reported.get(workspace)
        floor = DEMAND_FLOOR_PER_S
        own_demand = floor + (0.0 if own is None else own.demand_per_s)
        heard = len(self._reports_by_host)
        all_demand = self._demands(workspace) + floor * (1 + heard)
        return own_demand / all_demand
