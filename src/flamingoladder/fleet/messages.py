"""Messages between hosts of one fleet."""

from __future__ import annotations

import msgspec

from flamingoladder.limits.rate_limiter import RateReport
from flamingoladder.peers.messages import LinkMessage

SHORT_NAMES = {
    "unavailable": "l",
    "rates_by_workspace": "w",
    "in_flight_by_target": "t",
    "objects_by_service": "o",
}


class HostReport(msgspec.Struct, frozen=True, tag="r", rename=SHORT_NAMES, omit_defaults=True):
    """What a host tells all others a few times a second.

    A host is ``unavailable`` to callers while it stops, and before it has a configuration.
    ``rates_by_workspace`` tells what was admitted; workspaces about which nothing changed may be
    left out. ``in_flight_by_target`` counts requests. ``objects_by_service`` names objects that are
    asked for from the host's region: new ones at once, all others in turn.
    """

    unavailable: bool = False
    rates_by_workspace: dict[str, RateReport] = {}
    in_flight_by_target: dict[str, int] = {}
    objects_by_service: dict[str, tuple[str, ...]] = {}


class CrashReport(msgspec.Struct, frozen=True, tag="c"):
    """A target went down while it ran the request with this ``fingerprint``."""

    fingerprint: str
    target: str


FleetMessage = LinkMessage | HostReport | CrashReport
