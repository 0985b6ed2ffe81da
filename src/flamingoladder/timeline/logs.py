"""Writes events to a log and reads them back from log files."""

from __future__ import annotations

import re
import sys
from typing import TYPE_CHECKING

import logbook

from flamingoladder.timeline.events import Event

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

FORMAT = "{record.message}"
PAIR = re.compile(r'([a-z_0-9]+)=(?:"((?:[^"\\]|\\.)*)"|(\S*))')
FIXED_FIELDS = ("clock", "host", "incarnation", "event")


def log_handler(level: str, log_file: str | None) -> logbook.Handler:
    """Return a handler that writes one line of key=value pairs for each event.

    :raises LookupError: if ``level`` is not the name of a level.
    """
    number = logbook.lookup_level(level.upper())
    if log_file is not None:
        return logbook.FileHandler(log_file, level=number, format_string=FORMAT)
    return logbook.StreamHandler(sys.stderr, level=number, format_string=FORMAT)


def parse_events(lines: Iterable[str]) -> Iterator[Event]:
    """Return the events in log lines; other lines are passed over."""
    for line in lines:
        fields = {name: _value(quoted, plain) for name, quoted, plain in PAIR.findall(line)}
        if not all(name in fields for name in FIXED_FIELDS) or not fields["clock"].isdecimal():
            continue
        clock, host, incarnation, kind = (fields.pop(name) for name in FIXED_FIELDS)
        yield Event(int(clock), host, incarnation, kind, fields)


def _value(quoted: str, plain: str) -> str:
    if not quoted:
        return plain
    return quoted.replace('\\"', '"').encode("ascii").decode("unicode_escape")
