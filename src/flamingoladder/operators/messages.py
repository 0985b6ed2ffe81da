"""Bodies of the operator API, in JSON."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from flamingoladder.config.agreed import Drain
from flamingoladder.config.agreed import Shift
from flamingoladder.config.model import ConfigException
from flamingoladder.config.model import Deployment
from flamingoladder.config.problems import Problem
from flamingoladder.members.member import Member
from flamingoladder.timeline.events import Event


class ErrorCode(StrEnum):
    """Stable codes of errors."""

    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    BAD_REQUEST = "bad_request"
    INVALID_CONFIGURATION = "invalid_configuration"
    NO_STATE = "no_state"
    CONFLICT = "conflict"
    NO_MAJORITY = "no_majority"
    STORE_UNAVAILABLE = "store_unavailable"
    REJECTED = "rejected"
    OUTCOME_UNKNOWN = "outcome_unknown"


class OperatorError(msgspec.Struct, frozen=True, omit_defaults=True):
    """Why a call failed; nothing was changed unless ``code`` is ``outcome_unknown``."""

    code: ErrorCode
    detail: str
    present_version: int | None = None
    problems: tuple[Problem, ...] = ()


class KeyRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Asks for a new key of a workspace."""

    workspace: str


class KeyReply(msgspec.Struct, frozen=True):
    """A new key; this is the only time that it is shown."""

    key_id: str
    workspace: str
    key: str
    in_force: bool


class KeyEntry(msgspec.Struct, frozen=True):
    """A key without its secret."""

    key_id: str
    workspace: str
    withdrawn: bool


class ReasonRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The reason for a drain."""

    reason: str


class ShiftRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A shift of traffic; see ``flamingoladder.config.agreed.Shift`` for units."""

    service: str
    from_region: str
    to_region: str
    share: float
    cap_per_s: float
    reason: str


class StateReply(msgspec.Struct, frozen=True):
    """What is in force on the host that answers."""

    version: int
    configuration_version: int
    deployment: Deployment
    keys: tuple[KeyEntry, ...]
    members: tuple[Member, ...]
    drains: tuple[Drain, ...]
    shifts: tuple[Shift, ...]
    exceptions: tuple[ConfigException, ...]


class TimelineReply(msgspec.Struct, frozen=True):
    """Events of all hosts that answered, causes before effects."""

    events: tuple[Event, ...]
