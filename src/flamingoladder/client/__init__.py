"""The caller library."""

from __future__ import annotations
