"""The table's row ``head``: the newest version, its parts and the recent changes."""

from __future__ import annotations

import hashlib

import msgspec

from flamingoladder.config.agreed import AgreedState
from flamingoladder.config.agreed import Drain
from flamingoladder.config.agreed import KeyGrant
from flamingoladder.config.agreed import Shift
from flamingoladder.config.model import Deployment
from flamingoladder.decoding import Decoder
from flamingoladder.decoding import MalformedValueError
from flamingoladder.freshness.exceptions import StateUnreadableError
from flamingoladder.members.member import Member

HEAD_KEY = "head"
# Larger parts become objects of their own, so that a key withdrawal does not rewrite them.
MAX_INLINE_BYTES = 2_048
# A change of unknown outcome is recognised as committed only while it is among these, and
# ``longest_proof_s`` takes only these into account.
MAX_RECENT_CHANGES = 32


class Part(msgspec.Struct, frozen=True, array_like=True):
    """A part of the state: its encoding if that is small, else the name of an object."""

    content: bytes | None
    name: str | None = None


class Parts(msgspec.Struct, frozen=True, array_like=True):
    """The parts of the agreed state; a change rewrites only those that it touches."""

    deployment: Part
    grants: Part
    members: Part
    drains: Part
    shifts: Part


class RecentChange(msgspec.Struct, frozen=True, array_like=True):
    """A recent commit; ``proof_s`` is the lifetime in seconds of proofs of its version."""

    change_id: str
    version: int
    proof_s: float


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The decoded row, with the state's parts or the names of their objects."""

    version: int
    division_version: int
    previous_division_version: int
    configuration_version: int
    parts: Parts
    recent: tuple[RecentChange, ...]

    @property
    def longest_proof_s(self) -> float:
        """Return the longest proof lifetime in seconds among the recent versions."""
        return max(change.proof_s for change in self.recent)

    @property
    def change_id(self) -> str:
        """Return the change that made this version."""
        return self.recent[-1].change_id

    def has_change(self, change_id: str) -> bool:
        """Return whether ``change_id`` is among the recent changes."""
        return any(change.change_id == change_id for change in self.recent)


class EncodedHead(msgspec.Struct, frozen=True):
    """A head, with the content of its objects by name."""

    head: Head
    content_by_name: dict[str, bytes]


_encoder = msgspec.msgpack.Encoder()
_head_decoder = Decoder.of_msgpack(Head)
_deployment_decoder = Decoder.of_msgpack(Deployment)
_grants_decoder = Decoder.of_msgpack(tuple[KeyGrant, ...])
_members_decoder = Decoder.of_msgpack(tuple[Member, ...])
_drains_decoder = Decoder.of_msgpack(tuple[Drain, ...])
_shifts_decoder = Decoder.of_msgpack(tuple[Shift, ...])


def encode_head(head: Head) -> bytes:
    """Return ``head`` encoded as the row's value."""
    return _encoder.encode(head)


def decode_head(value: bytes) -> Head:
    """Return the head in the row's value.

    :raises StateUnreadableError: if the value can't be decoded.
    """
    try:
        return _head_decoder.decode(value)
    except MalformedValueError as error:
        raise StateUnreadableError(f"head of {len(value)} bytes: {error}") from error


def encode_state(
    state: AgreedState, change_id: str, recent: tuple[RecentChange, ...]
) -> EncodedHead:
    """Return the head of ``state``, committed by ``change_id`` after the changes of ``recent``."""
    content_by_name: dict[str, bytes] = {}
    parts = Parts(
        _encode_part(state.deployment, content_by_name),
        _encode_part(state.grants, content_by_name),
        _encode_part(state.members, content_by_name),
        _encode_part(state.drains, content_by_name),
        _encode_part(state.shifts, content_by_name),
    )
    change = RecentChange(change_id, state.version, state.deployment.defaults.proof_s)
    recent_changes = (*recent, change)[-MAX_RECENT_CHANGES:]
    head = Head(
        state.version,
        state.division_version,
        state.previous_division_version,
        state.configuration_version,
        parts,
        recent_changes,
    )
    return EncodedHead(head, content_by_name)


def object_names(head: Head) -> tuple[str, ...]:
    """Return the names of the objects that the head refers to."""
    parts = msgspec.structs.astuple(head.parts)
    return tuple(part.name for part in parts if part.name is not None)


def decode_state(head: Head, content_by_name: dict[str, bytes]) -> AgreedState:
    """Return the state of ``head``, whose objects are all in ``content_by_name``.

    :raises StateUnreadableError: if a part can't be decoded.
    """
    try:
        return _decode_parts(head, content_by_name)
    except MalformedValueError as error:
        raise StateUnreadableError(f"version {head.version}: {error}") from error


def _decode_parts(head: Head, content_by_name: dict[str, bytes]) -> AgreedState:
    parts = head.parts
    return AgreedState(
        head.version,
        head.division_version,
        head.configuration_version,
        _deployment_decoder.decode(_part_content(parts.deployment, content_by_name)),
        _grants_decoder.decode(_part_content(parts.grants, content_by_name)),
        _members_decoder.decode(_part_content(parts.members, content_by_name)),
        _drains_decoder.decode(_part_content(parts.drains, content_by_name)),
        _shifts_decoder.decode(_part_content(parts.shifts, content_by_name)),
        head.previous_division_version,
    )


def object_name(content: bytes) -> str:
    """Return the name of an object: the SHA-256 digest of its content."""
    return f"sha256-{hashlib.sha256(content).hexdigest()}"


def _encode_part(value: object, content_by_name: dict[str, bytes]) -> Part:
    content = _encoder.encode(value)
    if len(content) <= MAX_INLINE_BYTES:
        return Part(content)
    name = object_name(content)
    content_by_name[name] = content
    return Part(None, name)


def _part_content(part: Part, content_by_name: dict[str, bytes]) -> bytes:
    if part.content is not None:
        return part.content
    return content_by_name[part.name or ""]
