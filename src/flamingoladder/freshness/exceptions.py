"""Errors of the state keeper."""

from __future__ import annotations


class StateUnreadableError(Exception):
    """The agreed state, or a part of it, can't be had or can't be decoded."""
