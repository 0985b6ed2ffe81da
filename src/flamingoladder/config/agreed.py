"""The agreed state: everything that operators and members have committed, at one version."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from reactivex import Observable

from abc import ABC
from abc import abstractmethod
from enum import StrEnum

from flamingoladder.config.model import Deployment
from flamingoladder.members.member import Member


class KeyGrant(msgspec.Struct, frozen=True):
    """A granted or withdrawn key; ``digest`` is the hex SHA-256 of the key itself."""

    key_id: str
    workspace: str
    digest: str
    withdrawn: bool = False


class DrainKind(StrEnum):
    """What a drain applies to."""

    TARGET = "target"
    FAILURE_DOMAIN = "failure_domain"
    HOST = "host"


class Drain(msgspec.Struct, frozen=True):
    """Something that gets no new work. A target's ``name`` is ``service/target``."""

    kind: DrainKind
    name: str
    reason: str


class Shift(msgspec.Struct, frozen=True):
    """A shift of a service's traffic between regions.

    ``share`` is the part, 0 to 1, of the traffic of ``from_region`` that moves to ``to_region``;
    ``cap_per_s`` bounds the moved requests per second, counted at the receiving region.
    """

    shift_id: str
    service: str
    from_region: str
    to_region: str
    share: float
    cap_per_s: float
    reason: str


class AgreedState(msgspec.Struct, frozen=True):
    """Everything in force at ``version``; each commit raises the version by one.

    ``division_version`` is the version of the last commit that changed the members or the
    deployment, and with them the division of allowances; ``previous_division_version`` is the
    value of ``division_version`` that this commit replaced, 0 if it isn't known.
    ``configuration_version`` is the version of the last commit that changed the deployment;
    operators name it when they change it.
    """

    version: int
    division_version: int
    configuration_version: int
    deployment: Deployment
    grants: tuple[KeyGrant, ...] = ()
    members: tuple[Member, ...] = ()
    drains: tuple[Drain, ...] = ()
    shifts: tuple[Shift, ...] = ()
    previous_division_version: int = 0

    def follows(self, earlier: AgreedState) -> bool:
        """Return whether no other division was in force between ``earlier`` and this state.

        A host that skipped a division can't know what others own by it.
        """
        if self.previous_division_version == earlier.division_version:
            return True
        return self.version == earlier.version + 1

    @property
    def members_by_host(self) -> dict[str, Member]:
        """Return the registered hosts by name."""
        return {member.host: member for member in self.members}

    @property
    def grants_by_digest(self) -> dict[str, KeyGrant]:
        """Return the keys, granted and withdrawn, by the digest of the key."""
        return {grant.digest: grant for grant in self.grants}


class StateInForce(ABC):
    """What a host has in force, and whether it has proof that nothing newer is in force."""

    @property
    @abstractmethod
    def changes(self) -> Observable[AgreedState]:
        """Return the stream of states, starting with the present one if there is one."""

    @property
    @abstractmethod
    def current(self) -> AgreedState | None:
        """Return the newest state known, or None before the first."""

    @abstractmethod
    def has_proof(self, now: float) -> bool:
        """Return whether keyed work and use of slots may go on at ``now``.

        ``now`` is monotonic time in seconds.
        """

    def division_settles_at(self) -> float:
        """Return from when no host can act on an earlier division than ``current``'s.

        That is monotonic time in seconds; it is infinity until enough other hosts are known to
        know of the division, and ``changes`` repeats the state when that changes. A share may
        shrink at once but grow only from then on.
        """
        return math.inf
