"""Tests of the socket options that find connections without acknowledgements.

The kernel's own timeout needs a path that loses packets, which a loopback test doesn't have.
"""

from __future__ import annotations

import socket

from flamingoladder.transport.proof_of_life import require_acknowledgements


def test_accepted_connections_inherit_the_bound() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listening:
        require_acknowledgements(listening, 3.0)
        with socket.create_connection(listening.getsockname()):
            accepted, _ = listening.accept()
            with accepted:
                assert _options(accepted) == {"user_timeout_ms": 3_000, "dead_after_s": 3}


def _options(connection: socket.socket) -> dict[str, int]:
    def tcp(option: int) -> int:
        return connection.getsockopt(socket.IPPROTO_TCP, option)

    assert connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    dead_after_s = tcp(socket.TCP_KEEPIDLE) + tcp(socket.TCP_KEEPINTVL) * tcp(socket.TCP_KEEPCNT)
    return {"user_timeout_ms": tcp(socket.TCP_USER_TIMEOUT), "dead_after_s": dead_after_s}
