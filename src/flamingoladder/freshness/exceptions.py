"""Errors of the state replica."""

from __future__ import annotations


class StateUnreadableError(Exception):
    """The agreed state, or a part of it, can't be read or decoded."""
