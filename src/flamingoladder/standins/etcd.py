"""The etcd v3 key-value operations on a stored table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.platform.etcd_messages import KeyValue
from flamingoladder.platform.etcd_messages import RangeRequest
from flamingoladder.platform.etcd_messages import RangeResponse
from flamingoladder.platform.etcd_messages import ResponseHeader
from flamingoladder.platform.etcd_messages import TxnRequest
from flamingoladder.platform.etcd_messages import TxnResponse
from flamingoladder.platform.etcd_messages import prefix_range
from flamingoladder.platform.table import Condition
from flamingoladder.platform.table import Write
from flamingoladder.standins.exceptions import MalformedRequestError

if TYPE_CHECKING:
    from flamingoladder.platform.etcd_messages import Compare
    from flamingoladder.platform.etcd_messages import RequestOp
    from flamingoladder.platform.table import Row
    from flamingoladder.standins.memory import StoredTable


def apply_range(table: StoredTable, request: RangeRequest) -> RangeResponse:
    """Return the rows that the request asks for.

    :raises MalformedRequestError: if it asks neither for one key nor for those with a prefix.
    """
    found = _find(table, request)
    return RangeResponse(ResponseHeader(str(table.revision)), tuple(map(_key_value, found)))


def apply_txn(table: StoredTable, request: TxnRequest) -> TxnResponse:
    """Apply the transaction.

    :raises MalformedRequestError: if etcd would not take it.
    """
    writes = [_write(operation) for operation in request.success]
    commit = table.transact([_condition(compare) for compare in request.compare], writes)
    return TxnResponse(ResponseHeader(str(commit.revision)), commit.committed)


def _find(table: StoredTable, request: RangeRequest) -> tuple[Row, ...]:
    if not request.range_end:
        row = table.get(request.key.decode())
        return () if row is None else (row,)
    for prefix in ("", request.key.decode()):
        if request == prefix_range(prefix):
            return table.read(prefix).rows
    raise MalformedRequestError("only ranges of one key or of a prefix")


def _key_value(row: Row) -> KeyValue:
    return KeyValue(row.key.encode(), row.value, str(row.revision))


def _condition(compare: Compare) -> Condition:
    if (compare.target, compare.result) != ("MOD", "EQUAL"):
        raise MalformedRequestError("only comparisons of mod_revision for equality")
    return Condition(compare.key.decode(), int(compare.mod_revision))


def _write(operation: RequestOp) -> Write:
    put = operation.request_put
    if put is not None:
        return Write(put.key.decode(), put.value)
    if operation.request_delete_range is None:
        raise MalformedRequestError("empty operation")
    return Write(operation.request_delete_range.key.decode(), None)
