"""The division of allowances among the registered hosts, a pure function of the agreed state."""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

from flamingoladder.shares.bucket import NANOS_PER_UNIT
from flamingoladder.shares.bucket import Part

if TYPE_CHECKING:
    from flamingoladder.config.agreed import AgreedState


def workspace_allowance(workspace: str) -> str:
    """Return the name of the allowance that carries a workspace's rate and burst."""
    return f"workspace:{workspace}"


class Division:
    """The disjoint parts of all allowances at one division version.

    Rates are lowered by the drift of clocks, so that hosts whose clocks run fast stay within the
    whole.
    """

    __slots__ = ("members", "total_by_allowance", "version")

    def __init__(
        self, version: int, members: dict[str, str], total_by_allowance: dict[str, Part]
    ) -> None:
        self.version = version
        self.members = members
        self.total_by_allowance = total_by_allowance

    @classmethod
    def from_state(cls, state: AgreedState) -> Division:
        """Return the division that ``state`` puts in force."""
        deployment = state.deployment
        drift = 1 + deployment.defaults.clock_drift
        totals = {
            workspace_allowance(name): Part(
                deployment.burst_of(name) * NANOS_PER_UNIT,
                int(deployment.rate_of(name) * NANOS_PER_UNIT / drift),
            )
            for name in deployment.workspaces
        }
        members = {member.host: member.incarnation for member in state.members}
        return cls(state.division_version, members, totals)

    def is_member(self, host: str, incarnation: str) -> bool:
        """Return whether this very run of ``host`` is registered."""
        return self.members.get(host) == incarnation

    def part_of(self, allowance: str, host: str, incarnation: str) -> Part:
        """Return the part of ``allowance`` that this run of ``host`` owns."""
        total = self.total_by_allowance.get(allowance)
        if total is None or not self.is_member(host, incarnation):
            return Part(0, 0)
        return _part(total, len(self.members), self._place_of(allowance, host))

    def _place_of(self, allowance: str, host: str) -> int:
        """Return the host's place in an order that differs between allowances."""
        hosts = sorted(self.members)
        return (hosts.index(host) + crc32(allowance.encode())) % len(hosts)


def _part(total: Part, count: int, place: int) -> Part:
    """Return the part of the host at ``place``, in whole units; no part without a unit has rate."""
    whole, left = divmod(total.units // NANOS_PER_UNIT, count)
    units = (whole + (place < left)) * NANOS_PER_UNIT
    if whole:
        return Part(units, total.rate // count)
    return Part(units, total.rate // left if units else 0)


def follows(earlier: AgreedState, later: AgreedState) -> bool:
    """Return whether no other division was in force between these two states.

    A host that skipped a division can't know what others own by it.
    """
    if later.previous_division_version == earlier.division_version:
        return True
    return later.version == earlier.version + 1
