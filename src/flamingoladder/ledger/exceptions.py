"""Errors of the ledger."""

from __future__ import annotations


class LedgerRowError(ValueError):
    """A row of the table or an object can't be decoded."""


class DeadlinePassedError(Exception):
    """The request's deadline passed before its key was resolved."""


class KeyInDoubtError(Exception):
    """The store may have lost the row of a key that its caller declares fresh."""
