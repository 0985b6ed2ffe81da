"""Global traffic steering: entry hosts that steer, limit and dispatch requests together."""

from __future__ import annotations

__version__ = "0.1.0"
