"""CURVE key pairs of peer links."""

from __future__ import annotations

import msgspec
import zmq


class LinkKeys(msgspec.Struct, frozen=True):
    """A CURVE key pair in Z85 text; each incarnation has its own."""

    public_key: str
    secret_key: str

    @classmethod
    def generate(cls) -> LinkKeys:
        """Return a new random key pair."""
        public, secret = zmq.curve_keypair()
        return cls(public.decode("ascii"), secret.decode("ascii"))
