"""Values that are good but for an unknown part, which is nested too deeply to be decoded."""

from __future__ import annotations

import msgspec

from flamingoladder.platform.standins.foreign_rows import NESTED_JSON
from flamingoladder.platform.standins.foreign_rows import NESTING_LEVELS

NESTED_MSGPACK = b"\x81\xa1a" + b"\x91" * NESTING_LEVELS + b"\xc0"
UNKNOWN_FIELD = b"\xa1~"


def json_with_nested_field(good: object) -> bytes:
    """Return a good mapping as JSON, with an unknown field that is nested too deeply."""
    return msgspec.json.encode(good)[:-1] + b',"~":' + NESTED_JSON + b"}"


def msgpack_with_nested_part(good: msgspec.Struct) -> bytes:
    """Return a good struct as MessagePack, with an unknown part that is nested too deeply."""
    return encoded_with_nested_part(msgspec.msgpack.encode(good))


def encoded_with_nested_part(encoded: bytes) -> bytes:
    """Return a small map or array in MessagePack with one more part, nested too deeply."""
    is_array = encoded[0] >= 0x90
    longer = bytes([encoded[0] + 1]) + encoded[1:]
    return longer + (b"" if is_array else UNKNOWN_FIELD) + NESTED_MSGPACK
