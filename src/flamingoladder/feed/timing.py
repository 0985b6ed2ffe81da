"""Intervals of following the store, derived from the time in which a change must be in force."""

from __future__ import annotations

import msgspec

# Shares of the time in which a change must be in force at every host.
PROOF_WAIT = 0.44
PROOF_LIFETIME = 0.68
GATHER_PAUSE = 0.16
RELAY_GRACE = 0.1
# The return of the store must be noticed this soon: targets whose entries are missing after it
# are used for LAPSED_TARGET_TTL_S more.
MAX_RETRY_PAUSE = 0.26
# A poll whose answer is lost alone, while the proof's polls are answered, is noticed this late.
QUIET_WAITS = 10
# Targets and operators write again within about two seconds what the store lost.
REWRITE_GRACE_S = 2.1


class FeedTiming(msgspec.Struct, frozen=True):
    """Intervals in seconds.

    ``proof_wait_s`` is the wait of the poll that proves the store reachable, ``quiet_wait_s`` that
    of the other tables' polls. A host polls for itself once it had no proof of another host for
    ``proof_lifetime_s``. Polls pause for ``gather_pause_s`` after an answer, so that changes in
    quick succession cost one call. A change that another host has is fetched if it isn't relayed
    within ``relay_grace_s``. ``max_retry_pause_s`` is the longest pause after failures. Writers
    have ``rewrite_grace_s`` to write again what a store that went back has lost.
    """

    proof_wait_s: float
    quiet_wait_s: float
    proof_lifetime_s: float
    gather_pause_s: float
    relay_grace_s: float
    max_retry_pause_s: float
    rewrite_grace_s: float = REWRITE_GRACE_S

    @classmethod
    def from_bound(cls, propagation_s: float) -> FeedTiming:
        """Return the intervals with which changes are in force within ``propagation_s``.

        The slowest case is a follower that is lost just after it sent a proof: the proof's
        lifetime, and then one call.
        """
        return cls(
            proof_wait_s=PROOF_WAIT * propagation_s,
            quiet_wait_s=QUIET_WAITS * PROOF_WAIT * propagation_s,
            proof_lifetime_s=PROOF_LIFETIME * propagation_s,
            gather_pause_s=GATHER_PAUSE * propagation_s,
            relay_grace_s=RELAY_GRACE * propagation_s,
            max_retry_pause_s=MAX_RETRY_PAUSE * propagation_s,
        )
