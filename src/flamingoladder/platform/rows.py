"""Client of the platform's store: rows in tables, read whole, followed, and written."""

from __future__ import annotations

from base64 import b64decode
from base64 import b64encode
from http import HTTPMethod
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import urlencode

import msgspec

from flamingoladder.platform.exceptions import HistoryLostError
from flamingoladder.platform.exceptions import PlatformUnavailableError
from flamingoladder.platform.http_transport import HttpCall

if TYPE_CHECKING:
    from collections.abc import Sequence

    from flamingoladder.platform.http_transport import HttpReply
    from flamingoladder.platform.http_transport import HttpTransport

MS_PER_S = 1_000
CALL_TIMEOUT_S = 1.5
FOLLOW_WAIT_S = 12.0
FOLLOW_MARGIN_S = 2.0
PAGE_ROWS = 500


class StoredRow(msgspec.Struct, frozen=True):
    """A row of a table; ``value`` is None if the row was deleted."""

    key: str
    value: bytes | None
    version: int


class StoredRows(msgspec.Struct, frozen=True):
    """Rows, and the store's version from which their changes are to be followed."""

    rows: tuple[StoredRow, ...]
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


class RowStore:
    """The tables of the platform's store, all rows with an empty part."""

    __slots__ = ("_transport",)

    def __init__(self, transport: HttpTransport) -> None:
        self._transport = transport

    async def read_all(self, table: str) -> StoredRows:
        """Return all rows; changes after ``version`` may already be in them.

        :raises PlatformUnavailableError: if no whole answer came.
        """
        rows: list[StoredRow] = []
        version: int | None = None
        start = ""
        while True:
            query = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
            if start:
                query["from"] = start
            reply = _decoded(await self._read("rows-get", query, CALL_TIMEOUT_S))
            version = reply.ver if version is None else version
            rows += map(_stored, reply.rows)
            if not reply.has_more or not reply.rows:
                return StoredRows(tuple(rows), version)
            start = reply.rows[-1].key + "\0"

    async def follow(self, table: str, after: int) -> StoredRows:
        """Return the rows that changed after version ``after``, or none after a wait.

        :raises HistoryLostError: if the store has dropped these changes.
        :raises PlatformUnavailableError: if no whole answer came.
        """
        wait_ms = str(int(FOLLOW_WAIT_S * MS_PER_S))
        query = {"table": table, "after": str(after), "wait_ms": wait_ms}
        reply = await self._read("rows-feed", query, FOLLOW_WAIT_S + FOLLOW_MARGIN_S)
        if reply.status == HTTPStatus.GONE:
            raise HistoryLostError(f"changes of {table} after {after}")
        found = _decoded(reply)
        rows = tuple(_stored(row) for row in found.rows if not row.part)
        return StoredRows(rows, found.ver)

    async def write(self, table: str, key: str, value: bytes) -> None:
        """Set a row, whatever it held.

        :raises PlatformUnavailableError: if it was not written.
        :raises OutcomeUnknownError: if it may have been written.
        """
        upsert = {"table": table, "part": "", "key": key, "value": b64encode(value).decode()}
        await self._transact(upserts=[upsert], remove=[])

    async def delete(self, table: str, key: str) -> None:
        """Delete a row, whatever it held.

        :raises PlatformUnavailableError: if it was not deleted.
        :raises OutcomeUnknownError: if it may have been deleted.
        """
        await self._transact(upserts=[], remove=[{"table": table, "part": "", "key": key}])

    async def _transact(
        self, upserts: Sequence[dict[str, str]], remove: Sequence[dict[str, str]]
    ) -> None:
        body = msgspec.json.encode({"precondition": [], "upserts": upserts, "remove": remove})
        headers = {"Content-Type": "application/json"}
        call = HttpCall(HTTPMethod.POST, "/-/rows-tx", body=body, headers=headers)
        await self._transport.write(call, CALL_TIMEOUT_S)

    async def _read(self, name: str, query: dict[str, str], timeout_s: float) -> HttpReply:
        accepted = frozenset({HTTPStatus.OK, HTTPStatus.GONE})
        call = HttpCall(HTTPMethod.GET, f"/-/{name}?{urlencode(query)}", accepted)
        return await self._transport.read(call, timeout_s)


def _decoded(reply: HttpReply) -> _Reply:
    try:
        return msgspec.json.decode(reply.body, type=_Reply)
    except msgspec.DecodeError as error:
        raise PlatformUnavailableError(f"malformed answer of the store: {error}") from error


def _stored(row: _Row) -> StoredRow:
    if row.deleted:
        return StoredRow(row.key, None, row.ver)
    try:
        value = b64decode(row.value, validate=True)
    except ValueError:
        value = b""
    return StoredRow(row.key, value, row.ver)
