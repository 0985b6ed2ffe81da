"""Rows of the ledger in the platform's table."""

from __future__ import annotations

from enum import StrEnum
from hashlib import sha256
from typing import TypeVar

import msgspec
from expression import Error
from expression import Ok

from flamingoladder.decoding import Decoder
from flamingoladder.decoding import MalformedValueError
from flamingoladder.ledger.exceptions import LedgerRowError
from flamingoladder.verdict import Answer
from flamingoladder.verdict import Outcome
from flamingoladder.verdict import Refusal

CLAIMS_PREFIX = "claims/"
TICKETS_PREFIX = "tickets/"
SHUTDOWNS_PREFIX = "closings/"
MARKS_KEY = "ledger/marks"
OPEN_WORKSPACE = "~open"


class StoredOutcome(msgspec.Struct, frozen=True, omit_defaults=True):
    """An outcome as stored for repeats: an answer, the object that holds it, or a refusal."""

    answer: Answer | None = None
    object_name: str | None = None
    refusal: Refusal | None = None

    @classmethod
    def from_outcome(cls, outcome: Outcome) -> StoredOutcome:
        """Return the outcome in its stored form."""
        if outcome.is_ok():
            return cls(answer=outcome.ok)
        return cls(refusal=outcome.error)

    @property
    def size_bytes(self) -> int:
        """Return the size of the answer's body."""
        return len(self.answer.body) if self.answer else 0

    def as_outcome(self) -> Outcome:
        """Return the outcome; an answer must have been fetched from its object first."""
        if self.answer is not None:
            return Ok(self.answer)
        assert self.refusal is not None
        return Error(self.refusal)


class ClaimState(StrEnum):
    """The state of a claim row; a row whose claim was abandoned is deleted.

    A ``CLOSED`` key has not run, and no request with it is ever dispatched.
    """

    CLAIMED = "claimed"
    DONE = "done"
    CLOSED = "closed"


class ClaimRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """A claim of an idempotency key by attempt number ``attempt`` of an incarnation.

    ``digest`` is that of the request. In a ``CLOSED`` row, ``attempt`` is 0 and ``digest`` empty.
    The outcome of a ticket is stored in the same form, with attempt 0.
    """

    host: str
    incarnation: str
    attempt: int
    digest: str
    state: ClaimState
    outcome: StoredOutcome | None = None


class ShutdownRow(msgspec.Struct, frozen=True):
    """A statement that an incarnation has written all its outcomes and dispatches no more.

    It covers tickets issued from ``issued_from_s`` on, in seconds of the incarnation's own
    monotonic clock: rows of earlier tickets may have been pruned.
    """

    issued_from_s: float


class RevisionMarksRow(msgspec.Struct, frozen=True):
    """Revisions of the table, oldest first, each an hour or more older than the next."""

    revisions: tuple[int, ...]


_encoder = msgspec.msgpack.Encoder()
_claim_decoder = Decoder.of_msgpack(ClaimRow)
_shutdown_decoder = Decoder.of_msgpack(ShutdownRow)
_marks_decoder = Decoder.of_msgpack(RevisionMarksRow)
_answer_decoder = Decoder.of_msgpack(Answer)

T = TypeVar("T")


def encode(row: ClaimRow | ShutdownRow | RevisionMarksRow | Answer) -> bytes:
    """Return the row or answer as MessagePack."""
    return _encoder.encode(row)


def decode_claim(value: bytes) -> ClaimRow:
    """Return the claim row in ``value``.

    :raises LedgerRowError: if it holds none.
    """
    return _decode(_claim_decoder, value)


def decode_shutdown(value: bytes) -> ShutdownRow:
    """Return the shutdown row in ``value``.

    :raises LedgerRowError: if it holds none.
    """
    return _decode(_shutdown_decoder, value)


def decode_marks(value: bytes) -> RevisionMarksRow:
    """Return the marks in ``value``.

    :raises LedgerRowError: if it holds none.
    """
    return _decode(_marks_decoder, value)


def decode_answer(value: bytes) -> Answer:
    """Return the answer in an object's content.

    :raises LedgerRowError: if it holds none.
    """
    return _decode(_answer_decoder, value)


def _decode(decoder: Decoder[T], value: bytes) -> T:
    try:
        return decoder.decode(value)
    except MalformedValueError as error:
        raise LedgerRowError(
            f"can't decode {len(value)} bytes as {decoder.type}: {error}"
        ) from error


def workspace_name(workspace: str | None) -> str:
    """Return the workspace's name in rows and tickets, or ``OPEN_WORKSPACE`` without one."""
    return workspace or OPEN_WORKSPACE


def claim_row_key(workspace: str, idempotency_key: str) -> str:
    """Return the key of the claim row of a caller's own idempotency key."""
    return _row_key(CLAIMS_PREFIX, workspace, idempotency_key)


def ticket_row_key(workspace: str, ticket: str) -> str:
    """Return the key of the row that holds a ticket's outcome."""
    return _row_key(TICKETS_PREFIX, workspace, ticket)


def shutdown_row_key(host: str, incarnation: str) -> str:
    """Return the key of an incarnation's shutdown row."""
    return f"{SHUTDOWNS_PREFIX}{host}/{incarnation}"


def _row_key(prefix: str, workspace: str, idempotency_key: str) -> str:
    digest = sha256(idempotency_key.encode()).hexdigest()
    return f"{prefix}{workspace}/{digest}"
