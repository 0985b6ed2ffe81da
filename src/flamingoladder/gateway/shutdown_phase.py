"""The phases of a graceful shutdown."""

from __future__ import annotations

from enum import Enum


class ShutdownPhase(Enum):
    """Phase of a host's graceful shutdown."""

    SERVING = 1
    LEAVING = 2
    STOPPING = 3
