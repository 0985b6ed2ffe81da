"""Proof that the state in force is still the newest."""

from __future__ import annotations
