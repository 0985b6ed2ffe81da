"""Look-up of the entry hosts that callers of a service are to use."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

import msgspec
from expression import Error
from expression import Ok

from flamingoladder.config.agreed import DrainKind
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from expression import Result

    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.members.member import Member


class LookupHost(msgspec.Struct, frozen=True):
    """An entry host in a look-up answer; ``url`` is its base URL.

    ``weight`` is its relative share of the requests; a host of weight 0 only gets requests that
    another host refused as not run.
    """

    host: str
    url: str
    region: str
    failure_domain: str
    weight: float


class LookupAnswer(msgspec.Struct, frozen=True):
    """The entry hosts to use, best first; the answer may be cached for ``lifetime_s`` seconds.

    ``plan_version`` is the version of the agreed state that the answer was made from.
    """

    service: str
    hosts: tuple[LookupHost, ...]
    lifetime_s: float
    plan_version: int


class LookupProvider(ABC):
    """Answers look-ups."""

    @abstractmethod
    def lookup(self, service: str, now: float) -> Result[LookupAnswer, Refusal]:
        """Return the answer for ``service`` at ``now`` (monotonic seconds), or a refusal."""


class MemberLookup(LookupProvider):
    """Answers with all members that are neither leaving nor drained, nearest to this host first.

    Members of the nearest region that has any get weight 1, all others weight 0.
    """

    __slots__ = ("_answers_by_service", "_failure_domain", "_region", "_state", "_subscription")

    def __init__(self, state: StateInForce, failure_domain: str, region: str) -> None:
        self._state = state
        self._failure_domain = failure_domain
        self._region = region
        self._answers_by_service: dict[str, LookupAnswer] = {}
        self._subscription = state.changes.subscribe(self._clear_answers)

    def lookup(self, service: str, now: float) -> Result[LookupAnswer, Refusal]:
        """Return the answer for ``service``, from the cache if the agreed state is unchanged."""
        cached = self._answers_by_service.get(service)
        if cached is not None:
            return Ok(cached)
        state = self._state.current
        if state is None:
            return Error(Refusal.not_run(Reason.NO_PROOF, "no configuration is known yet"))
        if service not in state.deployment.services:
            return Error(Refusal.not_run(Reason.UNKNOWN_SERVICE, f"no service {service!r}"))
        members = members_taking_work(state)
        if not members:
            return Error(Refusal.not_run(Reason.NO_CAPACITY, "no entry host takes work"))
        answer = self._answer(service, state, members)
        self._answers_by_service[service] = answer
        return Ok(answer)

    def close(self) -> None:
        """Unsubscribe from the agreed state."""
        self._subscription.dispose()

    def _answer(
        self, service: str, state: AgreedState, members: tuple[Member, ...]
    ) -> LookupAnswer:
        ordered = sorted(members, key=self._sort_key)
        nearest_region = ordered[0].region
        hosts = tuple(_lookup_host(member, nearest_region) for member in ordered)
        lifetime_s = state.deployment.defaults.lookup_lifetime_s
        return LookupAnswer(service, hosts, lifetime_s, state.version)

    def _sort_key(self, member: Member) -> tuple[bool, bool, str]:
        other_domain = member.failure_domain != self._failure_domain
        return member.region != self._region, other_domain, member.host

    def _clear_answers(self, _state: AgreedState) -> None:
        self._answers_by_service = {}


def members_taking_work(state: AgreedState) -> tuple[Member, ...]:
    """Return the members that aren't leaving and aren't drained by host or failure domain."""
    hosts = {drain.name for drain in state.drains if drain.kind is DrainKind.HOST}
    domains = {drain.name for drain in state.drains if drain.kind is DrainKind.FAILURE_DOMAIN}
    return tuple(
        member
        for member in state.members
        if not member.leaving and member.host not in hosts and member.failure_domain not in domains
    )


def _lookup_host(member: Member, nearest_region: str) -> LookupHost:
    weight = 1.0 if member.region == nearest_region else 0.0
    return LookupHost(member.host, member.caller_url, member.region, member.failure_domain, weight)
