"""Reads header fields of answers."""

from __future__ import annotations

from math import isfinite
from math import nan
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingoladder.verdict import Answer

# Of a value that can't be read, in the log.
MAX_LOGGED_CHARACTERS = 40


def header(answer: Answer, name: str) -> str | None:
    """Return the value of a header field, or None."""
    wanted = name.lower()
    return next((h.value for h in answer.headers if h.name.lower() == wanted), None)


def number_from_zero(text: str) -> float | None:
    """Return the finite number from 0 on that the text names, or None if it names none."""
    try:
        number = float(text)
    except ValueError:
        number = nan
    return number if isfinite(number) and number >= 0 else None
