"""Client of the platform's store: rows in tables, read whole, followed, and written."""

from __future__ import annotations

from base64 import b64decode
from base64 import b64encode
from http import HTTPMethod
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import urlencode

import msgspec

from flamingoladder.decoding import Decoder
from flamingoladder.decoding import MalformedValueError
from flamingoladder.platform.headers import STORE_ERA
from flamingoladder.platform.http_transport import HttpCall
from flamingoladder.storage.exceptions import HistoryLostError
from flamingoladder.storage.exceptions import OutcomeUnknownError
from flamingoladder.storage.exceptions import PlatformUnavailableError
from flamingoladder.storage.exceptions import StoreWentBackError
from flamingoladder.storage.feed import StoredRow
from flamingoladder.storage.feed import StoredRows
from flamingoladder.storage.feed import StorePosition
from flamingoladder.storage.feed import TableFeed

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingoladder.platform.http_transport import HttpReply
    from flamingoladder.platform.http_transport import HttpTransport

MS_PER_S = 1_000
CALL_TIMEOUT_S = 1.5
PAGE_ROWS = 500
READ_STATUSES = frozenset({HTTPStatus.OK, HTTPStatus.GONE})
TRANSACTION_STATUSES = frozenset({HTTPStatus.OK, HTTPStatus.PRECONDITION_FAILED})


class RequiredVersion(msgspec.Struct, frozen=True):
    """Requires that a row has a version; 0 requires that there is no such row."""

    key: str
    version: int


class TransactionResult(msgspec.Struct, frozen=True):
    """Whether a transaction was applied, and the store's version after it."""

    applied: bool
    version: int


class _Row(msgspec.Struct):
    key: str = ""
    value: str = ""
    ver: int = 0
    part: str = ""
    deleted: bool = False


class _Reply(msgspec.Struct):
    ver: int
    rows: list[_Row] = []
    has_more: bool = False


class _TransactionReply(msgspec.Struct):
    ver: int


_reply_decoder = Decoder.of_json(_Reply)
_transaction_reply_decoder = Decoder.of_json(_TransactionReply)


class RowStore(TableFeed):
    """The tables of the platform's store, all rows with an empty part.

    ``era`` is the newest one that an answer named; answers of an earlier one are dropped.
    """

    __slots__ = ("_transport", "era")

    def __init__(self, transport: HttpTransport) -> None:
        self._transport = transport
        self.era = 0

    async def read_all(
        self,
        table: str,
        start: str = "",
        end: str | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> StoredRows:
        """Return the rows from key ``start`` up to ``end``, which is not included.

        Changes after ``position`` may already be in them. ``timeout_s`` bounds each call (seconds).

        :raises PlatformUnavailableError: if no whole answer came.
        """
        rows: list[StoredRow] = []
        position: StorePosition | None = None
        while True:
            reply = await self._page(table, start, end, timeout_s)
            era, found = self._era_of(reply), _decode_reply(reply)
            position = position or StorePosition(era, found.ver)
            if era != position.era:
                raise PlatformUnavailableError(f"the store went back between pages of {table}")
            rows += map(_to_stored_row, found.rows)
            if not found.has_more or not found.rows:
                return StoredRows(tuple(rows), position)
            start = found.rows[-1].key + "\0"

    async def follow(self, table: str, after: StorePosition, wait_s: float) -> StoredRows:
        """Return the rows that changed after position ``after``, waiting ``wait_s`` for the first.

        :raises HistoryLostError: if the store has dropped these changes.
        :raises StoreWentBackError: if the store is in a later era.
        :raises PlatformUnavailableError: if no whole answer came.
        """
        wait_ms = str(int(wait_s * MS_PER_S))
        query = {"table": table, "after": str(after.version), "wait_ms": wait_ms}
        reply = await self._read("rows-feed", query, wait_s + CALL_TIMEOUT_S)
        era = self._era_of(reply)
        if era != after.era:
            raise StoreWentBackError(f"era {era} of the store, {table} is followed in {after.era}")
        if reply.status == HTTPStatus.GONE:
            raise HistoryLostError(f"changes of {table} after {after.version}")
        found = _decode_reply(reply)
        rows = tuple(_to_stored_row(row) for row in found.rows if not row.part)
        return StoredRows(rows, StorePosition(era, found.ver))

    async def write(self, table: str, key: str, value: bytes) -> None:
        """Set a row, whatever it held.

        :raises PlatformUnavailableError: if it was not written.
        :raises OutcomeUnknownError: if it may have been written.
        """
        await self.transact(table, (), {key: value})

    async def delete(self, table: str, key: str) -> None:
        """Delete a row, whatever it held.

        :raises PlatformUnavailableError: if it was not deleted.
        :raises OutcomeUnknownError: if it may have been deleted.
        """
        await self.transact(table, (), {key: None})

    async def transact(
        self,
        table: str,
        required: Iterable[RequiredVersion],
        values_by_key: dict[str, bytes | None],
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> TransactionResult:
        """Set rows, and delete those without a value, if all required versions hold; else nothing.

        :raises PlatformUnavailableError: if nothing was done.
        :raises OutcomeUnknownError: if it may have been done.
        """
        row = {"table": table, "part": ""}
        body = {
            "precondition": [{**row, "key": of.key, "ver": of.version} for of in required],
            "upserts": [
                {**row, "key": key, "value": b64encode(value).decode()}
                for key, value in values_by_key.items()
                if value is not None
            ],
            "remove": [
                {**row, "key": key} for key, value in values_by_key.items() if value is None
            ],
        }
        headers = {"Content-Type": "application/json"}
        content = msgspec.json.encode(body)
        call = HttpCall(HTTPMethod.POST, "/-/rows-tx", TRANSACTION_STATUSES, content, headers)
        reply = await self._transport.write(call, timeout_s)
        try:
            self._era_of(reply)
        except PlatformUnavailableError as error:
            raise OutcomeUnknownError(str(error)) from error
        try:
            found = _transaction_reply_decoder.decode(reply.body)
        except MalformedValueError as error:
            raise OutcomeUnknownError(f"malformed answer of the store: {error}") from error
        return TransactionResult(reply.status == HTTPStatus.OK, found.ver)

    async def _page(self, table: str, start: str, end: str | None, timeout_s: float) -> HttpReply:
        query = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
        if start:
            query["from"] = start
        if end is not None:
            query["to"] = end
        return await self._read("rows-get", query, timeout_s)

    def _era_of(self, reply: HttpReply) -> int:
        """Return the era that an answer names, or 0 of a store that names none."""
        named = reply.headers.get(STORE_ERA, "0")
        if not named.isdecimal():
            raise PlatformUnavailableError(f"malformed {STORE_ERA} of the store: {named!r}")
        if int(named) < self.era:
            raise PlatformUnavailableError(f"answer of the store's era {named}, now {self.era}")
        self.era = int(named)
        return self.era

    async def _read(self, name: str, query: dict[str, str], timeout_s: float) -> HttpReply:
        call = HttpCall(HTTPMethod.GET, f"/-/{name}?{urlencode(query)}", READ_STATUSES)
        return await self._transport.read(call, timeout_s)


def _decode_reply(reply: HttpReply) -> _Reply:
    try:
        return _reply_decoder.decode(reply.body)
    except MalformedValueError as error:
        raise PlatformUnavailableError(f"malformed answer of the store: {error}") from error


def _to_stored_row(row: _Row) -> StoredRow:
    if row.deleted:
        return StoredRow(row.key, None, row.ver)
    try:
        value = b64decode(row.value, validate=True)
    except ValueError:
        value = b""
    return StoredRow(row.key, value, row.ver)
