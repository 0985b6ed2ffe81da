"""Errors of the store's services."""

from __future__ import annotations


class PlatformError(Exception):
    """Base of all errors of the store's services."""


class PlatformUnavailableError(PlatformError):
    """The service did not answer, and the call had no effect."""


class OutcomeUnknownError(PlatformError):
    """A write was sent but its answer was lost: it may have taken effect."""


class PlatformRefusedError(PlatformUnavailableError):
    """The service refused the call; the call had no effect."""


class HistoryLostError(PlatformUnavailableError):
    """The store no longer has the changes after the version that was asked for."""


class StoreWentBackError(HistoryLostError):
    """The store came back from an older copy, in which versions are given out again."""
