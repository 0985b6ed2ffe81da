"""The steps of a planned stop."""

from __future__ import annotations

from enum import Enum


class Phase(Enum):
    """How far a host has gone towards its stop."""

    SERVING = 1
    LEAVING = 2
    STOPPING = 3
