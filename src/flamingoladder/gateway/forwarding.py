"""What of a caller's request may go to an upstream: never the caller's key."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import unquote
from urllib.parse import unquote_plus

from flamingoladder import fields
from flamingoladder.gateway.exceptions import RefusedError
from flamingoladder.verdict import Header
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

DROPPED_FIELDS = fields.CONNECTION_FIELDS | {
    "authorization",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "x-request-id",
}


def forwarded_headers(headers: Mapping[str, str], key: str | None) -> tuple[Header, ...]:
    """Return the fields that go to the upstream.

    Dropped are the fields of the connection, those that the system sets itself, and any field
    that holds ``key``, verbatim or percent-encoded.
    """
    dropped = DROPPED_FIELDS | _named_by_connection(headers)
    return tuple(
        Header(str(name), value)
        for name, value in headers.items()
        if _passes(name.lower(), dropped) and not holds_key(f"{name}={value}", key)
    )


def holds_key(text: str, key: str | None) -> bool:
    """Return whether ``text`` holds the key, verbatim or percent-encoded."""
    if not key:
        return False
    if key in text:
        return True
    return "%" in text and (key in unquote(text) or key in unquote_plus(text))


def check_key_is_nowhere_else(key: str | None, body: bytes, texts: Iterable[str | None]) -> None:
    """Check that the key stands neither in the body nor in a text that can't be dropped.

    :raises RefusedError: if it does.
    """
    if not key:
        return
    if key.encode("utf-8", "surrogateescape") in body:
        raise _misplaced("body")
    if any(text and holds_key(text, key) for text in texts):
        raise _misplaced("path, query, request id or idempotency key")


def _misplaced(place: str) -> RefusedError:
    detail = f"the {place} holds the caller's key, which no upstream may see"
    return RefusedError(Refusal.not_run(Reason.BAD_REQUEST, detail))


def _named_by_connection(headers: Mapping[str, str]) -> frozenset[str]:
    value = headers.get("Connection")
    if value is None:
        return frozenset()
    return frozenset(name.strip().lower() for name in value.split(","))


def _passes(name: str, dropped: frozenset[str]) -> bool:
    return name not in dropped and not name.startswith(fields.OWN_PREFIX)
