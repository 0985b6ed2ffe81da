"""Lets the kernel find connections whose other end no longer acknowledges anything."""

from __future__ import annotations

import socket
from math import ceil
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from asyncio.trsock import TransportSocket

MS_PER_S = 1_000
PROBES = 2


def require_acknowledgements(connection: socket.socket, bound_s: float) -> None:
    """Have ``connection`` end once nothing was acknowledged for about ``bound_s`` seconds.

    This holds for data under way as well as for an idle connection. It also ends a connection
    whose other end keeps its window closed for so long, though its kernel acknowledges. Set on a
    listening socket, it holds for the connections that it accepts.
    """
    interval_s = max(1, ceil(bound_s / (PROBES + 1)))
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, interval_s)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval_s)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    bound_unacknowledged(connection, bound_s)


def bound_unacknowledged(connection: socket.socket | TransportSocket, bound_s: float) -> None:
    """Have ``connection`` end once data under way was not acknowledged, or not let in, for so long.

    The bound of an idle connection stays.
    """
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(bound_s * MS_PER_S))
