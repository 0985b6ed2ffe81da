"""A registered entry host."""

from __future__ import annotations

import msgspec

from flamingoladder.decoding import Decoder
from flamingoladder.decoding import MalformedValueError


class Member(msgspec.Struct, frozen=True):
    """An entry host as registered in the platform's table.

    ``incarnation`` is unique to one run of the daemon. ``caller_url`` is the base URL for callers,
    ``peer_endpoint`` the ZeroMQ endpoint, and ``peer_public_key`` its CURVE public key (Z85).
    ``link_mbps`` is the bandwidth of its link in Mbit/s and ``capacity_cores`` the processor time
    per second that it may use, each 0 if it is not known. A host that does not say that it
    ``takes_compressed`` messages is of a version that can't read them; one that does not say
    ``relays_by_domain`` is of a version that passes reports on between regions only.
    """

    host: str
    region: str
    failure_domain: str
    incarnation: str
    caller_url: str
    peer_endpoint: str
    peer_public_key: str
    leaving: bool = False
    link_mbps: float = 0.0
    takes_compressed: bool = False
    capacity_cores: float = 0.0
    relays_by_domain: bool = False


_decoder = Decoder.of_json(Member)


def decode_member(host: str, value: bytes) -> Member:
    """Return the member in the row of ``host``.

    :raises MalformedValueError: if the value holds none, or that of another host.
    """
    member = _decoder.decode(value)
    if member.host != host:
        raise MalformedValueError("names another host")
    return member
