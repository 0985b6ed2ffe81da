"""Callers' keys: digests, grants, withdrawals and authentication."""

from __future__ import annotations
