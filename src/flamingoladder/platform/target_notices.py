"""Decodes what a target's answer says of the target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.header_values import MAX_LOGGED_CHARACTERS
from flamingoladder.header_values import header
from flamingoladder.header_values import number_from_zero
from flamingoladder.platform import headers
from flamingoladder.targets.notices import LEAVING
from flamingoladder.targets.notices import LoadReport
from flamingoladder.targets.notices import PauseNotice
from flamingoladder.targets.notices import TargetNotice
from flamingoladder.targets.rate_limit import NO_RATE_LIMIT
from flamingoladder.targets.rate_limit import RateLimitNotice

if TYPE_CHECKING:
    from flamingoladder.verdict import Answer

MS_PER_S = 1_000
LOAD_COUNTS = 3
LOAD_FIGURES = 4
MAX_COUNT_DIGITS = 9


def notice_of(answer: Answer) -> TargetNotice:
    """Return what the answer of a target, which is certainly its own, says of it."""
    return TargetNotice(
        _parse_load(header(answer, headers.SERVER_LOAD)),
        _rate_limit(answer),
        PauseNotice.from_answer(answer, headers.RETRY_AFTER),
        _first(answer, headers.SERVER_LEAVING) == LEAVING,
    )


def slow_start_s_of(answer: Answer) -> float:
    """Return the rest of the slow start that a health answer names, in seconds."""
    return _parse_number(header(answer, headers.WARMUP_MS)) / MS_PER_S


def _first(answer: Answer, names: tuple[str, ...]) -> str | None:
    return next((text for name in names if (text := header(answer, name)) is not None), None)


def _rate_limit(answer: Answer) -> RateLimitNotice | None:
    """Return what the answer says of the target's rate limit, or None if that can't be told.

    Only an answer that is certainly the target's own tells by the field's absence that it has none.
    """
    text = _first(answer, headers.SERVER_LIMITS)
    if text is not None:
        return _parse_rate_limit(text)
    signed = header(answer, headers.SIGNATURE) is not None
    return NO_RATE_LIMIT if signed else None


def _parse_number(text: str | None) -> float:
    try:
        return max(0.0, float(text or 0))
    except ValueError:
        return 0.0


def _parse_rate_limit(text: str) -> RateLimitNotice:
    per_s = number_from_zero(text)
    if per_s is None:
        return RateLimitNotice(None, unreadable=text[:MAX_LOGGED_CHARACTERS])
    return RateLimitNotice(per_s)


def _parse_load(text: str | None) -> LoadReport | None:
    """Return the figures of a report: running, waiting and slots, and on some services the pace.

    A figure that can't be read drops itself alone; figures after the fourth are ignored.
    """
    if text is None:
        return None
    parts = [part.strip() for part in text.split(",", LOAD_FIGURES)[:LOAD_FIGURES]]
    parts += [""] * (LOAD_COUNTS - len(parts))
    running, waiting, slots = counts = [_parse_count(part) for part in parts[:LOAD_COUNTS]]
    pace = _parse_pace(parts[LOAD_COUNTS]) if len(parts) > LOAD_COUNTS else None
    faults = counts.count(None) + (len(parts) > LOAD_COUNTS and pace is None)
    shown = text[:MAX_LOGGED_CHARACTERS] if faults else ""
    return LoadReport(running, waiting, slots, pace, faults, shown)


def _parse_count(text: str) -> int | None:
    is_count = text.isascii() and text.isdecimal() and len(text) <= MAX_COUNT_DIGITS
    return int(text) if is_count else None


def _parse_pace(text: str) -> float | None:
    """Return the pace in percent, or None; work that takes no time is no pace."""
    return number_from_zero(text) or None
