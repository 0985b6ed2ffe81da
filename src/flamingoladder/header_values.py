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
    length, wanted = len(name), name.lower()
    for field in answer.headers:
        if len(field.name) == length and field.name.lower() == wanted:
            return field.value
    return None


def number_from_zero(text: str) -> float | None:
    """Return the finite number from 0 on that the text names, or None if it names none."""
    try:
        number = float(text)
    except ValueError:
        number = nan
    return number if isfinite(number) and number >= 0 else None
