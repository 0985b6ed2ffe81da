"""The table service over the etcd v3 JSON gateway."""

from __future__ import annotations

from http import HTTPMethod
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.platform.etcd_messages import RANGE_PATH
from flamingoladder.platform.etcd_messages import TXN_PATH
from flamingoladder.platform.etcd_messages import Compare
from flamingoladder.platform.etcd_messages import DeleteRangeRequest
from flamingoladder.platform.etcd_messages import KeyValue
from flamingoladder.platform.etcd_messages import PutRequest
from flamingoladder.platform.etcd_messages import RangeRequest
from flamingoladder.platform.etcd_messages import RangeResponse
from flamingoladder.platform.etcd_messages import RequestOp
from flamingoladder.platform.etcd_messages import TxnRequest
from flamingoladder.platform.etcd_messages import TxnResponse
from flamingoladder.platform.etcd_messages import prefix_range
from flamingoladder.platform.exceptions import OutcomeUnknownError
from flamingoladder.platform.exceptions import PlatformUnavailableError
from flamingoladder.platform.http_transport import HttpCall
from flamingoladder.platform.table import Commit
from flamingoladder.platform.table import Row
from flamingoladder.platform.table import Rows
from flamingoladder.platform.table import TableService

if TYPE_CHECKING:
    from collections.abc import Sequence

    from flamingoladder.platform.http_transport import HttpTransport
    from flamingoladder.platform.table import Condition
    from flamingoladder.platform.table import Write


class HttpTable(TableService):
    """A table whose rows are the keys of an etcd-compatible store."""

    __slots__ = ("_transport",)

    def __init__(self, transport: HttpTransport) -> None:
        self._transport = transport

    async def read(self, prefix: str, timeout_s: float) -> Rows:
        """Return the rows whose key starts with ``prefix``."""
        return await self._range(prefix_range(prefix), timeout_s)

    async def get(self, key: str, timeout_s: float) -> Row | None:
        """Return the row of ``key``, or None."""
        found = await self._range(RangeRequest(key.encode()), timeout_s)
        return found.by_key.get(key)

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write], timeout_s: float
    ) -> Commit:
        """Apply all ``writes`` if all ``conditions`` hold, else none."""
        request = TxnRequest(tuple(map(_compare, conditions)), tuple(map(_operation, writes)))
        reply = await self._transport.write(_post(TXN_PATH, request), timeout_s)
        try:
            response = msgspec.json.decode(reply.body, type=TxnResponse)
        except ValueError as error:
            raise OutcomeUnknownError(f"malformed answer: {error}") from error
        return Commit(response.succeeded, int(response.header.revision))

    async def _range(self, request: RangeRequest, timeout_s: float) -> Rows:
        reply = await self._transport.read(_post(RANGE_PATH, request), timeout_s)
        try:
            return _rows(msgspec.json.decode(reply.body, type=RangeResponse))
        except ValueError as error:
            raise PlatformUnavailableError(f"malformed answer: {error}") from error


def _post(path: str, request: msgspec.Struct) -> HttpCall:
    headers = {"Content-Type": "application/json"}
    return HttpCall(HTTPMethod.POST, path, body=msgspec.json.encode(request), headers=headers)


def _rows(response: RangeResponse) -> Rows:
    return Rows(tuple(map(_row, response.kvs)), int(response.header.revision))


def _row(found: KeyValue) -> Row:
    return Row(found.key.decode(), found.value, int(found.mod_revision))


def _compare(condition: Condition) -> Compare:
    return Compare(condition.key.encode(), str(condition.revision))


def _operation(write: Write) -> RequestOp:
    key = write.key.encode()
    if write.value is None:
        return RequestOp(request_delete_range=DeleteRangeRequest(key))
    return RequestOp(request_put=PutRequest(key, write.value))
