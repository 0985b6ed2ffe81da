"""One call of a service, with what its retries have in common."""

from __future__ import annotations

from typing import TYPE_CHECKING
from uuid import uuid4

if TYPE_CHECKING:
    from flamingoladder.verdict import Header

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class Call:
    """A call; all its retries carry the same request id and idempotency key.

    ``host`` is the base URL of the entry host that it was sent to last. ``ticket`` replaces the
    idempotency key if that host issued one; once its outcome is unknown, the call uses no other key
    again. ``idempotent`` must be False unless the route is declared idempotent. ``fresh_key`` is
    set while no earlier request with the key has an unknown outcome, which holds only for a key
    that the call generated.
    """

    __slots__ = (
        "body",
        "fresh_key",
        "headers",
        "host",
        "idempotency_key",
        "idempotent",
        "method",
        "path",
        "request_id",
        "service",
        "ticket",
        "ticket_in_doubt",
    )

    def __init__(
        self,
        service: str,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        headers: tuple[Header, ...] = (),
        idempotent: bool | None = None,
        idempotency_key: str | None = None,
    ) -> None:
        self.service = service
        self.path = path
        self.method = method
        self.body = body
        self.headers = headers
        self.idempotent = method in IDEMPOTENT_METHODS if idempotent is None else idempotent
        self.idempotency_key = idempotency_key or uuid4().hex
        self.fresh_key = idempotency_key is None
        self.request_id = uuid4().hex
        self.host: str | None = None
        self.ticket: str | None = None
        self.ticket_in_doubt = False

    @property
    def key_in_use(self) -> str:
        """Return the idempotency key under which the outcome is recorded."""
        return self.ticket or self.idempotency_key
