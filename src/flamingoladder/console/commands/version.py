"""``flamingoladder version``."""

from __future__ import annotations

import flamingoladder


def version() -> int:
    """Print the program's version."""
    print(flamingoladder.__version__)
    return 0
