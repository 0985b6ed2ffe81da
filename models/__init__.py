"""Models of the core protocols."""

from __future__ import annotations
