"""The rate cap of a traffic shift, divided among the hosts of the region it moves traffic from."""

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

# A cap's burst is the number of requests that its rate allows in this time.
BURST_S = 0.2


class ShiftCapShare:
    """One host's share of the cap of one shift, as divided at ``division_version``.

    The share may grow from ``effective_at`` on, in monotonic seconds; infinite while unknown.
    """

    __slots__ = ("bucket", "division_version", "effective_at", "shift")

    def __init__(self, shift: Shift, now: float) -> None:
        self.shift = shift
        self.division_version = 0
        self.bucket = CapBucket(now)
        self.effective_at = inf

    def has_token(self, now: float) -> bool:
        """Return whether the shift may move one more request."""
        self.bucket.advance(now)
        return self.bucket.tokens >= 1


class ShiftCaps:
    """This host's shares of the caps of all shifts that move traffic out of its region.

    A cap is divided among the hosts of the region that the traffic comes from. A request is charged
    when it takes a slot of the receiving region, so that the cap limits the starts there. A share
    grows only when no earlier owner can spend the difference any more.
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
        """Apply the agreed shifts and the division of their caps."""
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
                new_share = _own_cap_share(shift, state, self._own)
                cap_share.bucket.set_share(new_share, effective_at, now, contiguous=contiguous)
                cap_share.effective_at = effective_at
            elif isinf(cap_share.effective_at):
                cap_share.bucket.set_effective_at(effective_at)
                cap_share.effective_at = effective_at
            cap_share.division_version = state.division_version
            cap_share.shift = shift

    def draw_region(self, service: str, now: float) -> str | None:
        """Return the region that a shift moves the next request of ``service`` to, if any.

        While the cap has tokens left, a request moves with a probability of the shift's ``share``.
        """
        for cap_share in self._cap_shares_of(service):
            if cap_share.has_token(now) and self._random.random() < cap_share.shift.share:
                return cap_share.shift.to_region
        return None

    def exhausted_regions(self, service: str, now: float) -> frozenset[str]:
        """Return the receiving regions of shifts whose cap has no token left."""
        cap_shares = self._cap_shares_of(service)
        return frozenset(
            cap_share.shift.to_region for cap_share in cap_shares if not cap_share.has_token(now)
        )

    def charge(self, service: str, region: str, now: float) -> None:
        """Charge a request that goes to ``region`` to the shifts that move requests there.

        A request counts against the cap whether or not the shift has moved it.
        """
        for cap_share in self._cap_shares_of(service):
            if cap_share.shift.to_region == region:
                cap_share.bucket.spend(now)

    def _cap_shares_of(self, service: str) -> list[ShiftCapShare]:
        return [
            cap_share
            for cap_share in self._shares_by_id.values()
            if cap_share.shift.service == service
        ]


def _own_cap_share(shift: Shift, state: AgreedState, own: Peer) -> CapShare:
    """Return this host's share of the cap; the first hosts get the remainder of the burst."""
    hosts = sorted(member.host for member in state.members if member.region == shift.from_region)
    member = state.members_by_host.get(own.host)
    if member is None or member.incarnation != own.incarnation or own.host not in hosts:
        return NO_SHARE
    burst = max(1, ceil(shift.cap_per_s * BURST_S))
    burst_per_host, remainder = divmod(burst, len(hosts))
    own_burst = burst_per_host + (hosts.index(own.host) < remainder)
    rate = shift.cap_per_s / (1 + state.deployment.defaults.clock_drift)
    sharing_hosts = len(hosts) if burst_per_host else remainder
    return CapShare(own_burst, rate / sharing_hosts if own_burst else 0.0)
