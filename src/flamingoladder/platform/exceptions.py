"""Errors of the adapter to the platform."""

from __future__ import annotations


class SettingsFileError(ValueError):
    """The settings file can't be used; the message names the field."""


class UnreadableRowError(ValueError):
    """A row's value is not what its writer should have written."""
