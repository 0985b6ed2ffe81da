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


class SettingsFileError(ValueError):
    """The settings file can't be used; the message names the field."""


class HistoryLostError(PlatformUnavailableError):
    """The store no longer has the changes after the version that was asked for."""


class UnreadableRowError(ValueError):
    """A row's value is not what its writer should have written."""
