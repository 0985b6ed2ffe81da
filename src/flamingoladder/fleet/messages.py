"""Messages between hosts of one fleet."""

from __future__ import annotations

import msgspec

from flamingoladder.feed.messages import FeedMessage
from flamingoladder.limits.rate_limiter import RateReport
from flamingoladder.peers.messages import LinkMessage
from flamingoladder.poison.messages import PoisonMessage
from flamingoladder.targets.rate_limit import RateLimitReport

SHORT_NAMES = {
    "unavailable": "l",
    "rates_by_workspace": "w",
    "in_flight_by_target": "t",
    "objects_by_service": "o",
    "rate_limits_by_target": "m",
    "leaving_targets": "q",
    "sequence": "n",
    "busy_tenths": "b",
    "work_by_object": "h",
}


class HostReport(msgspec.Struct, frozen=True, tag="r", rename=SHORT_NAMES, omit_defaults=True):
    """A host's report to all others, sent a few times per second.

    A host is ``unavailable`` to callers while it stops, and before it has a configuration.
    ``rates_by_workspace`` holds admitted requests and demand; unchanged workspaces may be left out.
    ``in_flight_by_target`` counts requests. ``objects_by_service`` lists objects requested from the
    host's region: new ones at once, all others in turn. ``rate_limits_by_target`` holds what
    targets said of their rate limits to this host lately, ``leaving_targets`` the starts (Unix ms)
    of targets that said lately that they leave. ``sequence`` numbers the reports of one
    incarnation. ``busy_tenths`` is the host's use of the processor in tenths of its capacity.
    ``work_by_object`` holds, by service, the objects that the host's callers ask for most, with the
    slots that they keep busy, in hundredths; it is empty if the latest one holds.
    """

    unavailable: bool = False
    rates_by_workspace: dict[str, RateReport] = {}
    in_flight_by_target: dict[str, int] = {}
    objects_by_service: dict[str, tuple[str, ...]] = {}
    rate_limits_by_target: dict[str, RateLimitReport] = {}
    leaving_targets: dict[str, int | None] = {}
    sequence: int = 0
    busy_tenths: int = 0
    work_by_object: dict[str, dict[str, int]] = {}


class ForwardedReport(msgspec.Struct, frozen=True, array_like=True):
    """A host's report, as a relay of its region sends it to other regions."""

    host: str
    incarnation: str
    report: HostReport


class RegionReports(msgspec.Struct, frozen=True, tag="rr"):
    """Reports of the hosts of one region, sent between relays and then within a region."""

    reports: tuple[ForwardedReport, ...]


class PackedReport(msgspec.Struct, frozen=True, array_like=True):
    """A forwarded report with hashes for names.

    ``workspaces`` and ``targets`` are sequences of hashes. ``admitted`` and ``demands`` (in tenths
    per second) are in the order of the workspaces, ``in_flight`` in that of the targets. ``report``
    holds the rest.
    """

    host: str
    incarnation: str
    report: HostReport
    workspaces: bytes
    admitted: tuple[int, ...]
    demands: tuple[int, ...]
    targets: bytes
    in_flight: tuple[int, ...]


class PackedReports(msgspec.Struct, frozen=True, tag="rp"):
    """The compact form of ``RegionReports``."""

    reports: tuple[PackedReport, ...]


FleetMessage = (
    LinkMessage | HostReport | RegionReports | PackedReports | PoisonMessage | FeedMessage
)
