"""The transcript of a session: one line for each message, random names replaced."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.fleet.messages import HostReport

if TYPE_CHECKING:
    from collections.abc import Callable

RANDOM_NAME = re.compile(r"\b(?:[0-9a-f]{16,}|key-[0-9a-f]{12}|[A-Za-z0-9_.~-]{40,})\b")

PEER = "peer"


class Transcript:
    """Lines with the injected time in seconds.

    Messages between hosts of one moment have no order among themselves, so they are sorted.
    """

    __slots__ = ("_lines", "_names", "_now")

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._lines: list[tuple[float, str]] = []
        self._names: dict[str, str] = {}

    def add(self, line: str) -> None:
        """Add a line at the present time."""
        self._lines.append((round(self._now(), 6), line))

    def tap(self, sender: str, receiver: str, content: msgspec.Struct | None) -> None:
        """Add a message between hosts, but not the reports that each host repeats for ever."""
        if isinstance(content, HostReport):
            return
        self.add(f"{PEER}     {sender} > {receiver} {described(content)}")

    @property
    def text(self) -> str:
        """Return the whole transcript."""
        ordered = sorted(self._lines, key=_order)
        lines = [f"{at:10.4f} {line}" for at, line in ordered]
        return "\n".join(RANDOM_NAME.sub(self._replaced, line) for line in lines) + "\n"

    def _replaced(self, match: re.Match[str]) -> str:
        return self._names.setdefault(match[0], f"<{len(self._names) + 1}>")


def described(content: msgspec.Struct | None) -> str:
    """Return a message's type and its short fields."""
    if content is None:
        return "(nothing)"
    fields = [
        f"{name}={round(value, 4) if isinstance(value, float) else value}"
        for name, value in msgspec.structs.asdict(content).items()
        if isinstance(value, str | int | float | bool) or value is None
    ]
    return " ".join([type(content).__name__, *fields])


def _order(line: tuple[float, str]) -> tuple[float, str]:
    at, text = line
    return at, RANDOM_NAME.sub("", text) if text.startswith(PEER) else ""
