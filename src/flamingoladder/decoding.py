"""Decodes values that any writer may have written."""

from __future__ import annotations

from typing import Generic
from typing import TypeVar

import msgspec

T = TypeVar("T")


class MalformedValueError(ValueError):
    """A value does not encode the type that was asked for."""


class Decoder(Generic[T]):
    """Decodes values of one type; whatever is wrong with a value, it raises one kind of error.

    msgspec raises ``RecursionError``, which is not one of its own errors, for a value that is
    nested too deeply, even in a part that the type does not name.
    """

    __slots__ = ("_decoder",)

    def __init__(self, decoder: msgspec.json.Decoder[T] | msgspec.msgpack.Decoder[T]) -> None:
        self._decoder = decoder

    @classmethod
    def of_json(cls, type_: type[T]) -> Decoder[T]:
        """Return a decoder of JSON."""
        return cls(msgspec.json.Decoder(type_))

    @classmethod
    def of_msgpack(cls, type_: type[T]) -> Decoder[T]:
        """Return a decoder of MessagePack."""
        return cls(msgspec.msgpack.Decoder(type_))

    @property
    def type(self) -> object:
        """Return the type of the decoded values."""
        return self._decoder.type

    def decode(self, value: bytes | msgspec.Raw) -> T:
        """Return the decoded value.

        :raises MalformedValueError: if it is not an encoding of the type.
        """
        try:
            return self._decoder.decode(value)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise MalformedValueError(str(error)) from error
        except RecursionError as error:
            raise MalformedValueError(f"{len(value)} bytes, nested too deeply") from error
