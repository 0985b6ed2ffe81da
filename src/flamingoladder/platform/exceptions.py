"""Errors of the platform's services."""

from __future__ import annotations


class PlatformError(Exception):
    """Base of all platform errors."""


class PlatformUnavailableError(PlatformError):
    """The service did not answer, and the call had no effect."""


class OutcomeUnknownError(PlatformError):
    """A write was sent but its answer was lost: it may have taken effect."""


class PlatformRefusedError(PlatformUnavailableError):
    """The service refused the call, such as for a wrong token; the call had no effect."""
