"""Check of a request immediately before it is sent to an upstream."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

from flamingoladder.steering.lookup import members_taking_work
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.keys.authentication import KeyAuthenticator

NO_PROOF_RETRY_S = 1.0


class DispatchCheck(ABC):
    """Check that decides whether a request that was admitted earlier may still be sent."""

    @abstractmethod
    def refusal_of(self, request: CallerRequest, now: float) -> Refusal | None:
        """Return the refusal, or None if the request may be sent at ``now`` (monotonic seconds)."""


class KeyedDispatchCheck(DispatchCheck):
    """Check of the deadline and, for a request with a key, of the state's freshness and the grant.

    ``host`` is this host's name.
    """

    __slots__ = ("_host", "_keys", "_state")

    def __init__(self, state: StateInForce, keys: KeyAuthenticator, host: str) -> None:
        self._state = state
        self._keys = keys
        self._host = host

    def refusal_of(self, request: CallerRequest, now: float) -> Refusal | None:
        """Return the refusal, or None if the request may be sent at ``now``."""
        if now >= request.deadline:
            return Refusal.not_run(Reason.DEADLINE_PASSED, "the deadline passed before dispatch")
        if request.key_id is None:
            return None
        if not self._state.has_proof(now):
            return no_proof_refusal(self._state, self._host)
        return self._keys.recheck(request.key_id)


def no_proof_refusal(state: StateInForce, own_host: str) -> Refusal:
    """Return the refusal of a host that has no proof that its state is the newest."""
    return Refusal(
        Verdict.NOT_RUN,
        Reason.NO_PROOF,
        "this host has no proof that its keys and configuration are the newest",
        retry_after_s=NO_PROOF_RETRY_S,
        hosts=other_hosts(state, own_host),
    )


def other_hosts(state: StateInForce, own_host: str) -> tuple[str, ...]:
    """Return the base URLs of the other entry hosts that accept requests."""
    current = state.current
    if current is None:
        return ()
    members = members_taking_work(current)
    return tuple(member.caller_url for member in members if member.host != own_host)
