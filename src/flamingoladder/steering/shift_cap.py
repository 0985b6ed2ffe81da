"""The cap on a shift of traffic, divided among the hosts that the traffic enters at."""

from __future__ import annotations

import asyncio
from math import ceil
from math import inf
from math import isinf
from typing import TYPE_CHECKING

from flamingoladder.steering.cap_bucket import NO_SHARE
from flamingoladder.steering.cap_bucket import CapBucket
from flamingoladder.steering.cap_bucket import CapShare

if TYPE_CHECKING:
    from random import Random

    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.config.agreed import Shift
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.peers.link import Peer

BURST_S = 0.2


class ShiftCapShare:
    """One host's part of one shift, as divided at ``division_version``.

    It may grow from ``grow_at`` on, in monotonic seconds; that is infinite until it is known.
    """

    __slots__ = ("bucket", "division_version", "effective_at", "shift")

    def __init__(self, shift: Shift, now: float) -> None:
        self.shift = shift
        self.division_version = 0
        self.bucket = CapBucket(now)
        self.effective_at = inf

    def has_token(self, now: float) -> bool:
        """Return whether one more request may move."""
        self.bucket.advance(now)
        return self.bucket.tokens >= 1


class ShiftCaps:
    """This host's parts of all shifts that move traffic out of its region.

    The cap is divided among the hosts of the region that the traffic comes from. A request is paid
    for when it takes a slot of the receiving region, so that the cap holds for the starts there. A
    part that grows does so when no earlier owner can spend it any more.
    """

    __slots__ = ("_own", "_previous_state", "_random", "_region", "_shares_by_id", "_state")

    def __init__(self, own: Peer, region: str, state: StateInForce, random: Random) -> None:
        self._own = own
        self._state = state
        self._region = region
        self._random = random
        self._previous_state: AgreedState | None = None
        self._shares_by_id: dict[str, ShiftCapShare] = {}

    def update(self, state: AgreedState) -> None:
        """Follow the agreed shifts and the division of their caps."""
        now = asyncio.get_running_loop().time()
        previous = self._previous_state
        self._previous_state = state
        defaults = state.deployment.defaults
        effective_at = max(
            now + defaults.proof_s * (1 + defaults.clock_drift), self._state.division_settles_at()
        )
        contiguous = previous is not None and state.follows(previous)
        shifts = {shift.shift_id: shift for shift in state.shifts}
        for ended in self._shares_by_id.keys() - shifts.keys():
            del self._shares_by_id[ended]
        for shift in state.shifts:
            if shift.from_region != self._region:
                continue
            cap_share = self._shares_by_id.setdefault(shift.shift_id, ShiftCapShare(shift, now))
            if cap_share.division_version != state.division_version or cap_share.shift != shift:
                new_share = _share_of(shift, state, self._own)
                cap_share.bucket.set_share(new_share, effective_at, now, contiguous=contiguous)
                cap_share.effective_at = effective_at
            elif isinf(cap_share.effective_at):
                cap_share.bucket.set_effective_at(effective_at)
                cap_share.effective_at = effective_at
            cap_share.division_version = state.division_version
            cap_share.shift = shift

    def draw_region(self, service: str, now: float) -> str | None:
        """Return the region that the next request of ``service`` is to move to, if any.

        Each request is drawn by the shift's share, while there is something left of the cap.
        """
        for cap_share in self._shares_of(service):
            if cap_share.has_token(now) and self._random.random() < cap_share.shift.share:
                return cap_share.shift.to_region
        return None

    def exhausted_regions(self, service: str, now: float) -> frozenset[str]:
        """Return the regions that a shift moves requests to, and that can't take one more now."""
        parts = self._shares_of(service)
        return frozenset(part.shift.to_region for part in parts if not part.has_token(now))

    def charge(self, service: str, region: str, now: float) -> None:
        """Pay for a request that goes to ``region``, if a shift moves requests there.

        Whatever brings it there, a request counts against the cap.
        """
        for cap_share in self._shares_of(service):
            if cap_share.shift.to_region == region:
                cap_share.bucket.spend(now)

    def _shares_of(self, service: str) -> list[ShiftCapShare]:
        return [part for part in self._shares_by_id.values() if part.shift.service == service]


def _share_of(shift: Shift, state: AgreedState, own: Peer) -> CapShare:
    """Return this host's part of the cap; a burst that doesn't divide goes to the first hosts."""
    hosts = sorted(m.host for m in state.members if m.region == shift.from_region)
    member = state.members_by_host.get(own.host)
    if member is None or member.incarnation != own.incarnation or own.host not in hosts:
        return NO_SHARE
    burst = max(1, ceil(shift.cap_per_s * BURST_S))
    burst_per_host, remainder = divmod(burst, len(hosts))
    own_burst = burst_per_host + (hosts.index(own.host) < remainder)
    rate = shift.cap_per_s / (1 + state.deployment.defaults.clock_drift)
    sharing_hosts = len(hosts) if burst_per_host else remainder
    return CapShare(own_burst, rate / sharing_hosts if own_burst else 0.0)
