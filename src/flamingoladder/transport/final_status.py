"""Which status codes a final answer may have."""

from __future__ import annotations

MIN_FINAL_STATUS = 200
MAX_STATUS = 599


def is_final_status(status: int) -> bool:
    """Return whether RFC 9110 allows the status in a final answer.

    Those below 200 are interim or undefined; 101 ends the use of HTTP, which no request asks for.
    """
    return MIN_FINAL_STATUS <= status <= MAX_STATUS
