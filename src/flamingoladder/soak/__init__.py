"""A randomized soak of real entry hosts under faults, with checks of the system's promises."""

from __future__ import annotations
