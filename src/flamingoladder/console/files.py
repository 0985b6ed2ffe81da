"""Reads files that commands are given."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


def read_file(path: Path) -> bytes | None:
    """Return the file's content, or None after a message on standard error."""
    try:
        return path.read_bytes()
    except OSError as error:
        print(f"{path}: {error.strerror}", file=sys.stderr)
        return None
