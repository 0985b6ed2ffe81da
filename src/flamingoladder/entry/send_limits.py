"""What targets said of how many requests they want, and the limits of those in slow start."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.targets.fleet_share import fleet_share

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingoladder.entry.active_configuration import ActiveConfiguration
    from flamingoladder.fleet.members import MemberRegistry
    from flamingoladder.targets.notices import TargetNotices
    from flamingoladder.targets.slow_start import SlowStartLimit
    from flamingoladder.targets.state import TargetState


class SendLimits:
    """Tells whether this host may send a target another request now."""

    __slots__ = ("_configuration", "_members", "_slow_start_limit")

    def __init__(
        self,
        configuration: ActiveConfiguration,
        members: MemberRegistry,
        slow_start_limit: SlowStartLimit,
    ) -> None:
        self._configuration = configuration
        self._members = members
        self._slow_start_limit = slow_start_limit

    def allows_send(self, target: TargetState, notices: TargetNotices, now: float) -> bool:
        """Return whether a target that said ``notices`` of itself may be sent a request."""
        if notices.pause is not None and not notices.pause.allows_send(now):
            return False
        limit = notices.rate_limit
        if limit is None or limit.per_s is None:
            return True
        share = fleet_share(
            limit.fleet_requests,
            target.record.target_id,
            self._members.own_host,
            self._members.members_by_host,
        )
        return limit.allows_send(share, now)

    def within_slow_start(
        self, service_name: str, targets: Iterable[TargetState], now: float
    ) -> list[TargetState]:
        """Return those targets in slow start that this host may send another request."""
        routing = self._configuration.routing
        service = None if routing is None else routing.services_by_name.get(service_name)
        if service is None:
            return []
        hosts = self._members.members_by_host.keys()
        return [
            target
            for target in targets
            if target.slow_start_sends.allows(
                self._slow_start_limit.allowance(
                    target.record.target_id, service.slow_start_rate_per_s, hosts
                ),
                now,
            )
        ]
