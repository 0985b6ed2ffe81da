"""Messages between hosts of one fleet."""

from __future__ import annotations

import msgspec

from flamingoladder.limits.rates import RateReport
from flamingoladder.peers.messages import LinkMessage


class HostReport(msgspec.Struct, frozen=True, tag="report"):
    """What a host tells all others a few times a second.

    ``rates_by_workspace`` tells what was admitted, ``in_flight_by_target`` counts requests.
    ``failing`` names targets that this host has taken out of use. ``objects_by_service`` names some
    of the objects that are asked for from its region; all come round in time.
    """

    leaving: bool
    rates_by_workspace: dict[str, RateReport]
    in_flight_by_target: dict[str, int]
    failing: tuple[str, ...]
    objects_by_service: dict[str, tuple[str, ...]]


class CrashReport(msgspec.Struct, frozen=True, tag="crash"):
    """A target went down while it ran the request with this ``fingerprint``."""

    fingerprint: str
    target: str


FleetMessage = LinkMessage | HostReport | CrashReport
