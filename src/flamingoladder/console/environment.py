"""Settings read from environment variables, for flags that are not given."""

from __future__ import annotations

import os

from flamingoladder.daemon.settings import PREFIX


def text(name: str, default: str = "") -> str:
    """Return the variable ``FLAMINGOLADDER_<name>``, or ``default`` if it is not set."""
    return os.environ.get(PREFIX + name, default)
