"""The reports of a fleet of 91 hosts, and links that need no network."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from flamingoladder.fleet.messages import FleetMessage
from flamingoladder.fleet.messages import HostReport
from flamingoladder.limits.rate_deltas import REPORTS_PER_FULL_REPORT
from flamingoladder.limits.rate_limiter import RateReport
from flamingoladder.peers.envelope import Envelope
from flamingoladder.peers.envelope import EnvelopeCodec
from flamingoladder.peers.link import Handler
from flamingoladder.peers.link import M
from flamingoladder.peers.link import Peer
from flamingoladder.peers.link import PeerLinks
from flamingoladder.targets.record import TargetRecord

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from random import Random

    import msgspec

    from flamingoladder.members.member import Member

HOSTS_BY_REGION = {"r0": 31, "r1": 30, "r2": 30}
WORKSPACES = 88
TARGETS = 130
OBJECTS = 400
# Workspaces whose figures change between two reports of a host with 7 requests a second.
CHANGED_PER_REPORT = 6
OBJECTS_PER_REPORT = 12


class CountedLinks(PeerLinks):
    """Links that encode what is sent and count its bytes, and decode what a test brings."""

    def __init__(self, own: Peer, others: Iterable[str]) -> None:
        self._own = own
        self._others = tuple(others)
        self._codec = EnvelopeCodec(FleetMessage)
        self._handlers_by_type: dict[type, Handler[Any]] = {}
        self.sent_bytes = 0

    @property
    def own(self) -> Peer:
        """Return this host's identity."""
        return self._own

    @property
    def hosts(self) -> Collection[str]:
        """Return the names of the other hosts."""
        return self._others

    def register(self, message_type: type[M], handler: Handler[M]) -> None:
        """Keep the handler for ``deliver``."""
        self._handlers_by_type[message_type] = handler

    async def request(
        self, host: str, message: msgspec.Struct, timeout_s: float
    ) -> msgspec.Struct | None:
        """Return None, as no other host runs."""
        return None

    def send(self, host: str, message: msgspec.Struct) -> None:
        """Encode and count a message."""
        self.send_all((host,), message)

    def send_all(self, hosts: Iterable[str], message: msgspec.Struct) -> None:
        """Encode a message once and count it for each host."""
        frame = self.frame(self._own, message)
        self.sent_bytes += len(frame) * len(list(hosts))

    def frame(self, sender: Peer, message: msgspec.Struct) -> bytes:
        """Return the bytes of a message."""
        return self._codec.encode(
            Envelope(sender.host, sender.incarnation, 0, 1, message), compress=True
        )

    async def deliver(self, frame: bytes) -> None:
        """Decode a message and call its handler."""
        envelope = self._codec.decode(frame)
        handler = self._handlers_by_type[type(envelope.body)]
        await handler(Peer(envelope.host, envelope.incarnation), envelope.body)


class Fleet:
    """The reports of the other hosts, each with its own counts of admitted requests."""

    def __init__(self, members: list[Member], random: Random) -> None:
        self.members = members
        self._random = random
        self._rates_by_host = {
            member.host: {workspace(number): RateReport(0, 0.0) for number in range(WORKSPACES)}
            for member in members
        }
        self._sequence = 0

    def next_reports(self) -> dict[str, HostReport]:
        """Return the next report of each host."""
        self._sequence += 1
        return {member.host: self._report(member.host) for member in self.members}

    def _report(self, host: str) -> HostReport:
        random, rates = self._random, self._rates_by_host[host]
        changed = {
            name: RateReport(rates[name].admitted + 1, round(random.uniform(0.1, 1.5), 1))
            for name in random.sample(sorted(rates), CHANGED_PER_REPORT)
        }
        rates.update(changed)
        is_full = self._sequence % REPORTS_PER_FULL_REPORT == 1
        first = random.randrange(OBJECTS)
        objects = tuple(object_key(first + number) for number in range(OBJECTS_PER_REPORT))
        return HostReport(
            rates_by_workspace=dict(rates) if is_full else changed,
            in_flight_by_target={target(random.randrange(TARGETS)): 1 for _ in range(3)},
            objects_by_service={"s": objects} if is_full else {},
            sequence=self._sequence,
        )


def workspace(number: int) -> str:
    """Return the name of a workspace."""
    return f"workspace-{number:02}"


def record(number: int, failure_domain: str) -> TargetRecord:
    """Return the registration of a target."""
    return TargetRecord(
        target_id=target(number),
        service="s",
        address="127.0.0.1:1",
        failure_domain=failure_domain,
        slots=3,
        draining=False,
        slow_start_s=0.0,
    )


def target(number: int) -> str:
    """Return the id of a target."""
    return f"i-{number:012x}"


def object_key(number: int) -> str:
    """Return the key of an object."""
    return f"route\0object-{number % OBJECTS:06}"
