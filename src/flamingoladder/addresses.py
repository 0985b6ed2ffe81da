"""Addresses of the form ``host:port``."""

from __future__ import annotations

import re
from ipaddress import ip_address

MAX_PORT = 65_535
PORT = re.compile(r"[0-9]{1,5}")
LABEL = r"[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
HOST_NAME = re.compile(rf"(?=.{{1,253}}\Z){LABEL}(\.{LABEL})*")


def is_ip_address(address: str) -> bool:
    """Return whether a connection can be made to ``address`` without a look-up."""
    host, _, port = address.rpartition(":")
    return _is_ip(host) and _is_port(port)


def is_address(address: str) -> bool:
    """Return whether ``address`` names an IP address or a host name, and a port."""
    host, _, port = address.rpartition(":")
    return (_is_ip(host) or HOST_NAME.fullmatch(host) is not None) and _is_port(port)


def _is_ip(host: str) -> bool:
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        return False
    return is_bracketed == (address.version == 6)


def _is_port(port: str) -> bool:
    return PORT.fullmatch(port) is not None and 0 < int(port) <= MAX_PORT
