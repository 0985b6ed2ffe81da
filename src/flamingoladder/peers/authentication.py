"""Authentication of peer links by their CURVE public keys."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import zmq.asyncio
import zmq.auth.asyncio

if TYPE_CHECKING:
    from flamingoladder.peers.directory import PeerDirectory


class LinkAuthenticator:
    """ZeroMQ authenticator that accepts the public keys in the peer directory.

    ``unknown_key_rejected`` is set when an unknown key was rejected, so that the directory can be
    refreshed: the key may belong to a host that has just started.
    """

    __slots__ = ("_authenticator", "_directory", "unknown_key_rejected")

    def __init__(self, context: zmq.asyncio.Context, directory: PeerDirectory) -> None:
        self._directory = directory
        self._authenticator = zmq.auth.asyncio.AsyncioAuthenticator(context)
        self.unknown_key_rejected = asyncio.Event()

    def start(self) -> None:
        """Start handling authentication requests."""
        self._authenticator.start()
        self._authenticator.configure_curve_callback("*", credentials_provider=self)

    def stop(self) -> None:
        """Stop handling authentication requests."""
        self._authenticator.stop()

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether ``key`` (Z85) is the public key of a registered host."""
        if key.decode("ascii") in self._directory.by_public_key:
            return True
        self.unknown_key_rejected.set()
        return False
