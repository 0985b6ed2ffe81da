"""Errors of model checking."""

from __future__ import annotations


class ModelTooLargeError(RuntimeError):
    """The state space is larger than the search may visit, so nothing is proved."""
