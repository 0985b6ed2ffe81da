"""Selection of the headers forwarded to an upstream, and removal of the caller's key."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import unquote
from urllib.parse import unquote_plus

from flamingoladder import fields
from flamingoladder.gateway.exceptions import RefusedError
from flamingoladder.memory.body import contains
from flamingoladder.verdict import Header
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from flamingoladder.memory.body import Content

DROPPED_HEADERS = fields.CONNECTION_FIELDS | {
    "authorization",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "x-request-id",
}


def forwarded_headers(headers: Mapping[str, str], key: str | None) -> tuple[Header, ...]:
    """Return the headers to forward to the upstream.

    Hop-by-hop headers, headers that the system sets itself, and headers that contain ``key``,
    verbatim or percent-encoded, are dropped.
    """
    dropped = DROPPED_HEADERS | _connection_header_names(headers)
    return tuple(
        Header(str(name), value)
        for name, value in headers.items()
        if _is_forwarded(name.lower(), dropped) and not contains_key(f"{name}={value}", key)
    )


def contains_key(text: str, key: str | None) -> bool:
    """Return whether ``text`` contains the key, verbatim or percent-encoded."""
    if not key:
        return False
    if key in text:
        return True
    return "%" in text and (key in unquote(text) or key in unquote_plus(text))


def reject_misplaced_key(key: str | None, body: Content, texts: Iterable[str | None]) -> None:
    """Check that the key is neither in the body nor in any of ``texts``.

    Unlike a header, these can't be dropped, so the request is refused.

    :raises RefusedError: if the key is found.
    """
    if not key:
        return
    if contains(body, key.encode("utf-8", "surrogateescape")):
        raise _misplaced_key_error("body")
    if any(text and contains_key(text, key) for text in texts):
        raise _misplaced_key_error("path, query, request id or idempotency key")


def _misplaced_key_error(place: str) -> RefusedError:
    detail = f"the {place} holds the caller's key, which no upstream may see"
    return RefusedError(Refusal.not_run(Reason.BAD_REQUEST, detail))


def _connection_header_names(headers: Mapping[str, str]) -> frozenset[str]:
    value = headers.get("Connection")
    if value is None:
        return frozenset()
    return frozenset(name.strip().lower() for name in value.split(","))


def _is_forwarded(name: str, dropped: frozenset[str]) -> bool:
    return name not in dropped and not name.startswith(fields.OWN_PREFIX)
