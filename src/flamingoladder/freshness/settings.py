"""Settings of the state replica."""

from __future__ import annotations

import msgspec


class FreshnessSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Intervals and timeouts of one host, in seconds.

    ``poll_s`` is the interval between two renewals of the proof. ``store_timeout_s`` and
    ``peer_timeout_s`` bound one call each. ``commit_timeout_s`` bounds the attempts of one commit,
    and ``force_timeout_s`` how long the report waits until the change is in force.
    ``dead_after_s`` is the time without contact after which a host that the platform no longer
    lists is removed.
    """

    poll_s: float = 0.5
    store_timeout_s: float = 0.5
    peer_timeout_s: float = 0.4
    commit_timeout_s: float = 4.0
    force_timeout_s: float = 4.0
    dead_after_s: float = 10.0
