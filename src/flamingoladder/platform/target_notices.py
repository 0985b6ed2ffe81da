"""Decodes what a target's answer says of the target."""

from __future__ import annotations

from http import HTTPStatus
from math import isfinite
from math import nan
from typing import TYPE_CHECKING

from flamingoladder.platform import headers
from flamingoladder.targets.notices import LoadReport
from flamingoladder.targets.notices import PauseNotice
from flamingoladder.targets.notices import TargetNotice
from flamingoladder.targets.rate_limit import NO_RATE_LIMIT
from flamingoladder.targets.rate_limit import RateLimitNotice

if TYPE_CHECKING:
    from flamingoladder.verdict import Answer

MAX_LOGGED_CHARACTERS = 40
MS_PER_S = 1_000
LEAVING = "1"


def notice_of(answer: Answer) -> TargetNotice:
    """Return what the answer of a target, which is certainly its own, says of it."""
    return TargetNotice(
        _parse_load(header(answer, headers.SERVER_LOAD)),
        _rate_limit(answer),
        _pause(answer),
        _first(answer, headers.SERVER_LEAVING) == LEAVING,
    )


def slow_start_s_of(answer: Answer) -> float:
    """Return the rest of the slow start that a health answer names, in seconds."""
    return _parse_number(header(answer, headers.WARMUP_MS)) / MS_PER_S


def header(answer: Answer, name: str) -> str | None:
    """Return the value of a header field, or None."""
    wanted = name.lower()
    return next((h.value for h in answer.headers if h.name.lower() == wanted), None)


def _first(answer: Answer, names: tuple[str, ...]) -> str | None:
    return next((text for name in names if (text := header(answer, name)) is not None), None)


def _pause(answer: Answer) -> PauseNotice | None:
    text = header(answer, headers.RETRY_AFTER)
    if answer.status != HTTPStatus.SERVICE_UNAVAILABLE or text is None:
        return None
    seconds = _parse_from_zero(text)
    if seconds is None:
        return PauseNotice(0.0, unreadable=text[:MAX_LOGGED_CHARACTERS])
    return PauseNotice(seconds)


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
    per_s = _parse_from_zero(text)
    if per_s is None:
        return RateLimitNotice(None, unreadable=text[:MAX_LOGGED_CHARACTERS])
    return RateLimitNotice(per_s)


def _parse_from_zero(text: str) -> float | None:
    """Return a finite number from 0 on, or None if the text is none."""
    try:
        number = float(text)
    except ValueError:
        number = nan
    return number if isfinite(number) and number >= 0 else None


def _parse_load(text: str | None) -> LoadReport | None:
    parts = (text or "").split(",")
    if len(parts) != 3 or not all(part.strip().isdecimal() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return LoadReport(running, waiting, slots)
