"""Errors of the stand-ins."""

from __future__ import annotations


class StandinError(Exception):
    """Base of the stand-ins' errors."""


class MalformedRequestError(StandinError):
    """A request that the real service would refuse as invalid."""


class ShedError(StandinError):
    """An upstream turned a request away without running it."""


class ProcessNotReadyError(StandinError):
    """A process ended or did not answer in time."""


class NoFreePortsError(StandinError):
    """No block of free ports was found."""


class CallFailedError(StandinError):
    """A call of the operator API or of a stand-in's control was refused."""
