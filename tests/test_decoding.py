"""Tests that a value nested too deeply is malformed like any other, wherever one is read."""

from __future__ import annotations

from base64 import urlsafe_b64encode
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING

import pytest

from flamingoladder.client.entry_hosts import answer_outcome
from flamingoladder.daemon.peer_messages import PEER_CODEC
from flamingoladder.freshness.exceptions import StateUnreadableError
from flamingoladder.freshness.head import Head
from flamingoladder.freshness.head import Part
from flamingoladder.freshness.head import Parts
from flamingoladder.freshness.head import decode_head
from flamingoladder.freshness.messages import ConfirmRequest
from flamingoladder.ledger.exceptions import LedgerRowError
from flamingoladder.ledger.rows import RevisionMarksRow
from flamingoladder.ledger.rows import decode_answer
from flamingoladder.ledger.rows import decode_marks
from flamingoladder.ledger.tickets import TICKET_PREFIX
from flamingoladder.ledger.tickets import Ticket
from flamingoladder.ledger.tickets import parse_ticket
from flamingoladder.peers.envelope import Envelope
from flamingoladder.peers.exceptions import PeerMessageError
from flamingoladder.platform.configuration import decode_configuration
from flamingoladder.platform.exceptions import SettingsFileError
from flamingoladder.platform.exceptions import UnreadableRowError
from flamingoladder.platform.http_transport import HttpCall
from flamingoladder.platform.http_transport import HttpReply
from flamingoladder.platform.http_transport import HttpTransport
from flamingoladder.platform.registry import decode_entry
from flamingoladder.platform.rows import RowStore
from flamingoladder.platform.settings import read_settings_file
from flamingoladder.platform.standins.foreign_rows import NESTED_JSON
from flamingoladder.storage.exceptions import OutcomeUnknownError
from flamingoladder.storage.exceptions import PlatformUnavailableError
from flamingoladder.upstreams.probe_messages import parse_probe
from flamingoladder.verdict import Answer
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal
from flamingoladder.verdict import Verdict
from tests.nesting import encoded_with_nested_part
from tests.nesting import json_with_nested_field
from tests.nesting import msgpack_with_nested_part
from tests.platform.test_configuration import document
from tests.platform.test_foreign_rows import ENTRY

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

EMPTY = Part(b"")
HEAD = Head(1, 1, 1, 1, Parts(EMPTY, EMPTY, EMPTY, EMPTY, EMPTY), ())
ANSWER = Answer(200, (), b"hello")
FRAME = PEER_CODEC.encode(Envelope("h", "i", 1, 2, ConfirmRequest(7)))


@pytest.mark.parametrize(
    ("decode", "value", "error"),
    [
        (
            partial(decode_entry, "i-1"),
            json_with_nested_field(ENTRY),
            UnreadableRowError,
        ),
        (decode_configuration, json_with_nested_field(document()), UnreadableRowError),
        (decode_head, msgpack_with_nested_part(HEAD), StateUnreadableError),
        (decode_marks, msgpack_with_nested_part(RevisionMarksRow(())), LedgerRowError),
        (decode_answer, msgpack_with_nested_part(ANSWER), LedgerRowError),
        (PEER_CODEC.decode, encoded_with_nested_part(FRAME), PeerMessageError),
    ],
)
def test_a_nested_value_is_refused(
    decode: Callable[[bytes], object], value: bytes, error: type[Exception]
) -> None:
    with pytest.raises(error, match="nested too deeply"):
        decode(value)


def test_a_nested_settings_file_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "host.json"
    path.write_bytes(NESTED_JSON)
    with pytest.raises(SettingsFileError, match="nested too deeply"):
        read_settings_file(str(path))


def test_a_nested_ticket_is_no_ticket() -> None:
    payload = msgpack_with_nested_part(Ticket("h", "i", 0.0, 1.0, b"r"))
    assert parse_ticket(TICKET_PREFIX + urlsafe_b64encode(payload).decode()) is None


def test_a_nested_answer_to_a_probe_says_nothing_of_the_load() -> None:
    nested = Answer(200, (), json_with_nested_field({"in_progress": 1, "slots": 2}))
    reply = parse_probe(nested, nested)
    assert (reply.ok, reply.load) == (True, None)


def test_a_nested_refusal_of_a_host_promises_nothing() -> None:
    refusal = json_with_nested_field(Refusal.not_run(Reason.HOST_UNREACHABLE, ""))
    outcome = answer_outcome(Answer(HTTPStatus.SERVICE_UNAVAILABLE, (), refusal))
    assert outcome.error.verdict is Verdict.MAY_HAVE_RUN


class NestedAnswers(HttpTransport):
    """Answers each call with a version and a field that is nested too deeply."""

    async def read(self, call: HttpCall, timeout_s: float) -> HttpReply:
        """Return the answer to a read."""
        return HttpReply(HTTPStatus.OK, json_with_nested_field({"ver": 1}), {})

    async def write(self, call: HttpCall, timeout_s: float) -> HttpReply:
        """Return the answer to a write."""
        return await self.read(call, timeout_s)


async def test_a_nested_answer_of_the_store_is_no_answer() -> None:
    store = RowStore(NestedAnswers("http://store", None))
    with pytest.raises(PlatformUnavailableError, match="nested too deeply"):
        await store.read_all("t")
    with pytest.raises(OutcomeUnknownError, match="nested too deeply"):
        await store.write("t", "k", b"v")
