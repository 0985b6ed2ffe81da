"""The result of a commit: a report or a refusal."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class CommitReport(msgspec.Struct, frozen=True):
    """A committed change.

    ``in_force`` holds once no host with proof can act on an earlier version. ``in_force_on`` names
    the hosts that have acknowledged ``version`` or a later one. ``seconds`` is the time from the
    call to this report.
    """

    change_id: str
    version: int
    committed: bool
    in_force: bool
    in_force_on: tuple[str, ...]
    seconds: float


class RefusalKind(StrEnum):
    """The reason for refusing a change."""

    CONFLICT = "conflict"
    NO_MAJORITY = "no_majority"
    STORE_UNAVAILABLE = "store_unavailable"
    REJECTED = "rejected"
    OUTCOME_UNKNOWN = "outcome_unknown"


class CommitRefused(msgspec.Struct, frozen=True):
    """A refused change; nothing was changed unless ``kind`` is ``OUTCOME_UNKNOWN``.

    ``present_version`` is the newest version known to the host that refused.
    """

    change_id: str
    kind: RefusalKind
    detail: str
    present_version: int
