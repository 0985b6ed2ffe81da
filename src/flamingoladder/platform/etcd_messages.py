"""Messages of the etcd v3 JSON gateway, as far as the table service uses them.

Keys and values travel as base64, which is how msgspec encodes ``bytes``. 64-bit integers travel as
decimal strings and zero values may be left out, as the JSON mapping of Protocol Buffers says.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

RANGE_PATH = "/v3/kv/range"
TXN_PATH = "/v3/kv/txn"
ALL_KEYS = b"\x00"

Int64 = Annotated[str, msgspec.Meta(pattern="^[0-9]+$")]


class ResponseHeader(msgspec.Struct, frozen=True):
    """The header of each response, with the store's revision."""

    revision: Int64 = "0"


class KeyValue(msgspec.Struct, frozen=True):
    """A stored key."""

    key: bytes
    value: bytes = b""
    mod_revision: Int64 = "0"


class RangeRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Asks for ``key``, or for all keys from ``key`` up to but without ``range_end``."""

    key: bytes
    range_end: bytes = b""


class RangeResponse(msgspec.Struct, frozen=True):
    """The keys found, ascending."""

    header: ResponseHeader
    kvs: tuple[KeyValue, ...] = ()


class Compare(msgspec.Struct, frozen=True):
    """Requires that the key's ``mod_revision`` equals the given one; 0 if it is absent."""

    key: bytes
    mod_revision: Int64
    target: str = "MOD"
    result: str = "EQUAL"


class PutRequest(msgspec.Struct, frozen=True):
    """Sets a key."""

    key: bytes
    value: bytes = b""


class DeleteRangeRequest(msgspec.Struct, frozen=True):
    """Deletes a key."""

    key: bytes


class RequestOp(msgspec.Struct, frozen=True, omit_defaults=True):
    """One operation of a transaction: exactly one of the fields is set."""

    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None


class TxnRequest(msgspec.Struct, frozen=True):
    """Applies all of ``success`` if all of ``compare`` hold."""

    compare: tuple[Compare, ...] = ()
    success: tuple[RequestOp, ...] = ()


class TxnResponse(msgspec.Struct, frozen=True):
    """Whether the comparisons held."""

    header: ResponseHeader
    succeeded: bool = False


def prefix_range(prefix: str) -> RangeRequest:
    """Return the request for all keys that start with ``prefix``.

    No byte of UTF-8 text is 0xFF, so the last one can be raised by one without a carry.
    """
    if not prefix:
        return RangeRequest(ALL_KEYS, ALL_KEYS)
    start = prefix.encode()
    return RangeRequest(start, start[:-1] + bytes([start[-1] + 1]))
