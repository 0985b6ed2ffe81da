"""Callers' keys: digests, grants, withdrawals and checks."""

from __future__ import annotations
