"""The HTTP port for callers."""

from __future__ import annotations
