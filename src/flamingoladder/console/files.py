"""Reads files that commands are given."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from flamingoladder.timeline.logs import parse_events

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from flamingoladder.timeline.events import Event


def read_file(path: Path) -> bytes | None:
    """Return the file's content, or None after a message on standard error."""
    try:
        return path.read_bytes()
    except OSError as error:
        print(f"{path}: {error.strerror}", file=sys.stderr)
        return None


def read_events(paths: Iterable[Path]) -> list[Event] | None:
    """Return the events in log files, or None after a message if one can't be read."""
    events: list[Event] = []
    for path in paths:
        content = read_file(path)
        if content is None:
            return None
        events += parse_events(content.decode(errors="replace").splitlines())
    return events
