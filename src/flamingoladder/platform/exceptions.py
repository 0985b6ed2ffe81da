"""Errors of the adapter to the platform."""

from __future__ import annotations

from flamingoladder.storage.exceptions import PlatformUnavailableError


class SettingsFileError(ValueError):
    """The settings file can't be used; the message names the field."""


class HistoryLostError(PlatformUnavailableError):
    """The store no longer has the changes after the version that was asked for."""


class UnreadableRowError(ValueError):
    """A row's value is not what its writer should have written."""
