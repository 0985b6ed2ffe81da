"""Admission of callers' requests by the rate limits of their workspaces."""

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
    """Enforces the rates and bursts of the workspaces in the agreed state."""

    __slots__ = (
        "_deltas",
        "_exchange",
        "_limiter",
        "_members",
        "_subscription",
        "_workspaces_by_name",
    )

    def __init__(
        self, own: Member, links: PeerLinks, state: StateInForce, recorder: Recorder
    ) -> None:
        self._limiter = FleetRateLimiter(RateTolerance(), start_full=False)
        self._deltas = RateDeltas()
        self._members = MemberRegistry(own.host, recorder)
        self._exchange = ReportExchange(links, self._members, self._report, self._apply_reports)
        self._workspaces_by_name: dict[str, Workspace] = {}
        self._subscription = state.changes.subscribe(self._apply_state)

    async def run(self) -> None:
        """Report admitted requests to the other hosts until cancelled."""
        await self._exchange.run()

    def close(self) -> None:
        """Unsubscribe from the agreed state."""
        self._subscription.dispose()

    async def admit(self, request: CallerRequest, now: float) -> Refusal | None:
        """Count the request at ``now`` and return None, or return a ``NOT_RUN`` refusal.

        A request on an open route has no workspace and isn't limited.
        """
        if request.workspace is None:
            return None
        workspace = self._workspaces_by_name.get(request.workspace)
        if workspace is None:
            detail = f"workspace {request.workspace} is not configured"
            return Refusal.not_run(Reason.RATE_EXCEEDED, detail)
        refusal = self._limiter.admit(workspace, now)
        if refusal is None:
            return None
        return Refusal.not_run(Reason.RATE_EXCEEDED, f"over its rate: {refusal}", refusal.wait_s)

    def refund(self, request: CallerRequest) -> None:
        """Return the token of a request that was admitted and certainly has not run."""
        workspace = self._workspaces_by_name.get(request.workspace or "")
        if workspace is not None:
            self._limiter.refund(workspace)

    def _apply_state(self, state: AgreedState) -> None:
        now = asyncio.get_running_loop().time()
        self._workspaces_by_name = _workspaces(state.deployment)
        self._limiter.keep_only(self._workspaces_by_name)
        members = state.members_by_host
        for removed in self._members.members_by_host.keys() - members.keys():
            self._members.remove(removed)
        for member in members.values():
            self._members.put(member, now)

    def _report(self, now: float) -> HostReport:
        return HostReport(rates_by_workspace=self._deltas.next_report(self._limiter.report(now)))

    def _apply_reports(self, now: float) -> None:
        reports = self._members.live_reports(now)
        rates = {host: report.rates_by_workspace for host, report in reports.items()}
        self._limiter.update(self._members.host_count, rates, self._members.report_interval_s)


def _workspaces(deployment: Deployment) -> dict[str, Workspace]:
    return {
        name: Workspace(
            name=name, rate_per_s=deployment.rate_of(name), burst=deployment.burst_of(name)
        )
        for name in deployment.workspaces
    }
