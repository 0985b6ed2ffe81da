"""Errors of the stand-ins."""

from __future__ import annotations


class StandinError(Exception):
    """Base of the stand-ins' errors."""


class MalformedRequestError(StandinError):
    """A request that the real service would refuse as invalid."""


class ShedError(StandinError):
    """An upstream turned a request away without running it."""
