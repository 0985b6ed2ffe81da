"""Settings, control messages and reports of the upstream stand-in."""

from __future__ import annotations

from enum import StrEnum

import msgspec

REQUEST_ID_HEADER = "X-Request-Id"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "Flamingoladder-Deadline-Ms"
TARGET_HEADER = "X-Standin-Target"
CRASH_HEADER = "X-Standin-Crash"
DELAY_HEADER = "X-Standin-Delay-Ms"
BODY_HEADER = "X-Standin-Body-Bytes"


class ServiceTime(StrEnum):
    """How service times are distributed around their mean."""

    FIXED = "fixed"
    EXPONENTIAL = "exponential"


class UpstreamSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The settings of a target.

    ``slots`` requests run at once and ``queue`` more may wait. A request on a connection beyond
    ``connections`` gets it closed. The mean service time is
    ``service_ms`` milliseconds; after a start it is ``cold_factor`` times that, falling to its
    normal value over ``ramp_s`` seconds. A crash lasts ``crash_down_s`` seconds.
    """

    slots: int = 3
    queue: int = 3
    connections: int = 330
    service_ms: float = 10.0
    service_time: ServiceTime = ServiceTime.FIXED
    cold_factor: float = 1.0
    ramp_s: float = 10.0
    crash_down_s: float = 1.0


class Control(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A change of a target's behaviour; a field that is left out changes nothing.

    ``healthy`` and ``reported_in_progress`` make the health and load endpoints lie, null makes them
    honest again. ``load_lag_s`` is the age of load reports. ``restart_ramp`` makes the target
    cold, and ``silence`` makes the connections that are open now hang for good.
    """

    draining: bool | msgspec.UnsetType = msgspec.UNSET
    healthy: bool | msgspec.UnsetType | None = msgspec.UNSET
    reported_in_progress: int | msgspec.UnsetType | None = msgspec.UNSET
    load_lag_s: float | msgspec.UnsetType = msgspec.UNSET
    service_ms: float | msgspec.UnsetType = msgspec.UNSET
    restart_ramp: bool = False
    silence: bool = False


class LoadReport(msgspec.Struct, frozen=True):
    """What a target says of its load."""

    in_progress: int
    slots: int
    draining: bool


class RunState(StrEnum):
    """How a run stands or ended."""

    RUNNING = "running"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    DEADLINE = "deadline"
    CRASHED = "crashed"


class Run(msgspec.Struct):
    """One run of a request; times are monotonic seconds of this machine."""

    request_id: str
    idempotency_key: str
    target: str
    method: str
    path: str
    started: float
    ended: float | None = None
    state: RunState = RunState.RUNNING


class RunsReport(msgspec.Struct, frozen=True):
    """The runs that a process has seen.

    ``header_names`` and ``authorization_seen`` are of all requests for work, ``turned_away`` counts
    those that did not run. ``peak_connections`` is the most that a target had at once.
    """

    runs: tuple[Run, ...]
    header_names: tuple[str, ...]
    authorization_seen: bool
    turned_away: int
    peak_connections: int
