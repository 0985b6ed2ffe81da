"""Errors of the state keeper."""

from __future__ import annotations


class StateMissingError(Exception):
    """A part of the agreed state can be had neither from the object store nor from a peer."""
