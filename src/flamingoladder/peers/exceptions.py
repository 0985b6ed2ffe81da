"""Errors of peer links."""

from __future__ import annotations


class PeerMessageError(ValueError):
    """A peer message could not be decoded."""
