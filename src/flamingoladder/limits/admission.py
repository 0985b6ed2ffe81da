"""Admits callers' requests by the accounts of their workspaces, which all hosts tell of."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.fleet.exchange import ReportExchange
from flamingoladder.fleet.members import MemberRegistry
from flamingoladder.fleet.messages import HostReport
from flamingoladder.gateway.stages import Admission
from flamingoladder.limits.rate_deltas import RateDeltas
from flamingoladder.limits.rate_limiter import FleetRateLimiter
from flamingoladder.limits.tolerance import RateTolerance
from flamingoladder.routing.model import Workspace
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.config.model import Deployment
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.members.member import Member
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.timeline.recorder import Recorder


class RateAdmission(Admission):
    """Holds workspaces of the agreed state to their rates and bursts."""

    __slots__ = ("_exchange", "_members", "_news", "_rates", "_subscription", "_workspaces_by_name")

    def __init__(
        self, own: Member, links: PeerLinks, state: StateInForce, recorder: Recorder
    ) -> None:
        self._rates = FleetRateLimiter(RateTolerance(), start_full=False)
        self._news = RateDeltas()
        self._members = MemberRegistry(own.host, recorder)
        self._exchange = ReportExchange(links, self._members, self._report, self._take_in)
        self._workspaces_by_name: dict[str, Workspace] = {}
        self._subscription = state.changes.subscribe(self._follow)

    async def run(self) -> None:
        """Tell the other hosts what was admitted, for ever."""
        await self._exchange.run()

    def close(self) -> None:
        """Stop following the agreed state."""
        self._subscription.dispose()

    async def admit(self, request: CallerRequest, now: float) -> Refusal | None:
        """Return None once the request is counted at ``now``, or a refusal ``NOT_RUN``.

        A request on an open route has no workspace and isn't limited.
        """
        if request.workspace is None:
            return None
        workspace = self._workspaces_by_name.get(request.workspace)
        if workspace is None:
            detail = f"workspace {request.workspace} is not configured"
            return Refusal.not_run(Reason.RATE_EXCEEDED, detail)
        over = self._rates.admit(workspace, now)
        if over is None:
            return None
        return Refusal.not_run(Reason.RATE_EXCEEDED, f"over its rate: {over}", over.wait_s)

    def give_back(self, request: CallerRequest) -> None:
        """Count a request no longer that was admitted and certainly has not run."""
        workspace = self._workspaces_by_name.get(request.workspace or "")
        if workspace is not None:
            self._rates.refund(workspace)

    def _follow(self, state: AgreedState) -> None:
        now = asyncio.get_running_loop().time()
        self._workspaces_by_name = _workspaces(state.deployment)
        self._rates.keep_only(self._workspaces_by_name)
        members = state.members_by_host
        for gone in self._members.members_by_host.keys() - members.keys():
            self._members.remove(gone)
        for member in members.values():
            self._members.put(member, now)

    def _report(self, now: float) -> HostReport:
        return HostReport(rates_by_workspace=self._news.next_report(self._rates.report(now)))

    def _take_in(self, now: float) -> None:
        reports = self._members.live_reports(now)
        rates = {host: report.rates_by_workspace for host, report in reports.items()}
        self._rates.update(self._members.host_count, rates, self._members.report_interval_s)


def _workspaces(deployment: Deployment) -> dict[str, Workspace]:
    return {
        name: Workspace(
            name=name, rate_per_s=deployment.rate_of(name), burst=deployment.burst_of(name)
        )
        for name in deployment.workspaces
    }
