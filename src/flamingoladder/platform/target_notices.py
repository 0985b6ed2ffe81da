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
    parts = (text or "").split(",")
    if len(parts) != 3 or not all(part.strip().isdecimal() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return LoadReport(running, waiting, slots)
