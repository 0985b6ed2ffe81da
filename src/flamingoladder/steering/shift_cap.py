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

    __slots__ = ("bucket", "division_version", "grow_at", "shift")

    def __init__(self, shift: Shift, now: float) -> None:
        self.shift = shift
        self.division_version = 0
        self.bucket = CapBucket(now)
        self.grow_at = inf

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

    __slots__ = ("_adopted", "_own", "_parts_by_id", "_random", "_region", "_state")

    def __init__(self, own: Peer, region: str, state: StateInForce, random: Random) -> None:
        self._own = own
        self._state = state
        self._region = region
        self._random = random
        self._adopted: AgreedState | None = None
        self._parts_by_id: dict[str, ShiftCapShare] = {}

    def adopt(self, state: AgreedState) -> None:
        """Follow the agreed shifts and the division of their caps."""
        now = asyncio.get_running_loop().time()
        earlier = self._adopted
        self._adopted = state
        defaults = state.deployment.defaults
        grow_at = max(
            now + defaults.proof_s * (1 + defaults.clock_drift), self._state.division_settles_at()
        )
        known = earlier is not None and state.follows(earlier)
        shifts = {shift.shift_id: shift for shift in state.shifts}
        for gone in self._parts_by_id.keys() - shifts.keys():
            del self._parts_by_id[gone]
        for shift in state.shifts:
            if shift.from_region != self._region:
                continue
            part = self._parts_by_id.setdefault(shift.shift_id, ShiftCapShare(shift, now))
            if part.division_version != state.division_version or part.shift != shift:
                share = _part_of(shift, state, self._own)
                part.bucket.divide(share, grow_at, now, follows=known)
                part.grow_at = grow_at
            elif isinf(part.grow_at):
                part.bucket.grow_from(grow_at)
                part.grow_at = grow_at
            part.division_version = state.division_version
            part.shift = shift

    def draw(self, service: str, now: float) -> str | None:
        """Return the region that the next request of ``service`` is to move to, if any.

        Each request is drawn by the shift's share, while there is something left of the cap.
        """
        for part in self._parts_of(service):
            if part.has_token(now) and self._random.random() < part.shift.share:
                return part.shift.to_region
        return None

    def closed_regions(self, service: str, now: float) -> frozenset[str]:
        """Return the regions that a shift moves requests to, and that can't take one more now."""
        parts = self._parts_of(service)
        return frozenset(part.shift.to_region for part in parts if not part.has_token(now))

    def pay(self, service: str, region: str, now: float) -> None:
        """Pay for a request that goes to ``region``, if a shift moves requests there.

        Whatever brings it there, a request counts against the cap.
        """
        for part in self._parts_of(service):
            if part.shift.to_region == region:
                part.bucket.spend(now)

    def _parts_of(self, service: str) -> list[ShiftCapShare]:
        return [part for part in self._parts_by_id.values() if part.shift.service == service]


def _part_of(shift: Shift, state: AgreedState, own: Peer) -> CapShare:
    """Return this host's part of the cap; a burst that doesn't divide goes to the first hosts."""
    hosts = sorted(m.host for m in state.members if m.region == shift.from_region)
    member = state.members_by_host.get(own.host)
    if member is None or member.incarnation != own.incarnation or own.host not in hosts:
        return NO_SHARE
    units = max(1, ceil(shift.cap_per_s * BURST_S))
    whole, left = divmod(units, len(hosts))
    mine = whole + (hosts.index(own.host) < left)
    rate = shift.cap_per_s / (1 + state.deployment.defaults.clock_drift)
    sharing = len(hosts) if whole else left
    return CapShare(mine, rate / sharing if mine else 0.0)
