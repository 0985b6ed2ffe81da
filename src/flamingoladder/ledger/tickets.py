"""Tickets: idempotency keys that only the incarnation that issued them may run."""

from __future__ import annotations

import hmac
import secrets
from base64 import urlsafe_b64decode
from base64 import urlsafe_b64encode
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.decoding import Decoder

if TYPE_CHECKING:
    from flamingoladder.members.member import Member

TICKET_PREFIX = "flt1-"
TICKET_LIFETIME_S = 300.0
RETAINED_AFTER_EXPIRY_S = 120.0
SECRET_BYTES = 32
RANDOM_BYTES = 12
SEPARATOR = "."


class Ticket(msgspec.Struct, frozen=True, array_like=True):
    """The content of a ticket; times are the issuer's own monotonic clock in seconds."""

    host: str
    incarnation: str
    issued_s: float
    expires_s: float
    random: bytes

    @property
    def retain_until(self) -> float:
        """Return the time until which the issuer keeps the record of whether the ticket was used.

        Model guard ``remembered_past_expiry``.
        """
        return self.expires_s + RETAINED_AFTER_EXPIRY_S


_encoder = msgspec.msgpack.Encoder()
_decoder = Decoder.of_msgpack(Ticket)


class TicketIssuer:
    """Issues and verifies tickets signed with a secret that each incarnation generates anew."""

    __slots__ = ("_own", "_secret")

    def __init__(self, own: Member) -> None:
        self._own = own
        self._secret = secrets.token_bytes(SECRET_BYTES)

    def issue(self, workspace: str, now: float) -> str:
        """Return a new ticket for the workspace."""
        ticket = Ticket(
            self._own.host,
            self._own.incarnation,
            now,
            now + TICKET_LIFETIME_S,
            secrets.token_bytes(RANDOM_BYTES),
        )
        payload = urlsafe_b64encode(_encoder.encode(ticket)).decode()
        return f"{TICKET_PREFIX}{payload}{SEPARATOR}{self._signature(workspace, payload)}"

    def is_own(self, ticket: Ticket) -> bool:
        """Return whether the ticket names this incarnation."""
        return (ticket.host, ticket.incarnation) == (self._own.host, self._own.incarnation)

    def has_valid_signature(self, workspace: str, text: str) -> bool:
        """Return whether this incarnation issued the ticket to the workspace."""
        payload, _, signature = text.removeprefix(TICKET_PREFIX).partition(SEPARATOR)
        return hmac.compare_digest(signature.encode(), self._signature(workspace, payload).encode())

    def _signature(self, workspace: str, payload: str) -> str:
        signed = _encoder.encode((workspace, payload))
        return hmac.digest(self._secret, signed, "sha256").hex()


def is_ticket(idempotency_key: str) -> bool:
    """Return whether the key has the form that is reserved for tickets."""
    return idempotency_key.startswith(TICKET_PREFIX)


def parse_ticket(text: str) -> Ticket | None:
    """Return the content of a ticket, unverified, or None if it can't be read."""
    payload, _, _ = text.removeprefix(TICKET_PREFIX).partition(SEPARATOR)
    try:
        return _decoder.decode(urlsafe_b64decode(payload.encode()))
    except ValueError:
        return None
