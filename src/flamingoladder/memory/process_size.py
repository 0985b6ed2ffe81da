"""The size of this process."""

from __future__ import annotations

import resource
from pathlib import Path

STATM = Path("/proc/self/statm")
RESIDENT_FIELD = 1
KIB = 1_024


def resident_bytes() -> int:
    """Return the resident size, or its peak where the system does not tell the present one."""
    try:
        return int(STATM.read_text().split()[RESIDENT_FIELD]) * resource.getpagesize()
    except OSError:
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIB
