"""The phases of a graceful shutdown."""

from __future__ import annotations

from enum import Enum


class ShutdownPhase(Enum):
    """Phase of a host's graceful shutdown.

    A ``LEAVING`` host reports not ready but serves requests; a ``STOPPING`` host refuses new ones.
    """

    SERVING = 1
    LEAVING = 2
    STOPPING = 3
