"""Admits links by their CURVE key."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import zmq.asyncio
import zmq.auth.asyncio

if TYPE_CHECKING:
    from flamingoladder.peers.directory import PeerDirectory


class LinkAuthenticator:
    """Answers ZeroMQ's authentication requests from the directory of hosts.

    ``unknown_key_seen`` is set when an unknown key was turned away, so that the directory can be
    read anew: the key may belong to a host that has just started.
    """

    __slots__ = ("_authenticator", "_directory", "unknown_key_seen")

    def __init__(self, context: zmq.asyncio.Context, directory: PeerDirectory) -> None:
        self._directory = directory
        self._authenticator = zmq.auth.asyncio.AsyncioAuthenticator(context)
        self.unknown_key_seen = asyncio.Event()

    def start(self) -> None:
        """Begin to answer."""
        self._authenticator.start()
        self._authenticator.configure_curve_callback("*", credentials_provider=self)

    def stop(self) -> None:
        """Stop answering."""
        self._authenticator.stop()

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether the link key ``key`` (Z85) is a registered host's."""
        if key.decode("ascii") in self._directory.by_public_key:
            return True
        self.unknown_key_seen.set()
        return False
