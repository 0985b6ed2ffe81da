"""Reads the settings file of a host."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from flamingoladder.decoding import Decoder
from flamingoladder.decoding import MalformedValueError
from flamingoladder.entry.settings import Bounds
from flamingoladder.entry.settings import Endpoint
from flamingoladder.entry.settings import HostSettings
from flamingoladder.limits.tolerance import RateTolerance
from flamingoladder.platform.exceptions import SettingsFileError

PATH_VARIABLE = "FLAMINGOLADDER_CONFIG"


class _Limits(msgspec.Struct):
    link_mbps: float = 0.0
    memory_mb: float = 0.0
    max_fds: int = 0
    cores: float | None = None
    cpu_share: float | None = None

    @property
    def capacity_cores(self) -> float:
        """Return the processor time per second that the host may use, 0 if it is not known."""
        share = 1.0 if self.cpu_share is None else self.cpu_share
        return max(0.0, (self.cores or 0.0) * share)


class _Own(msgspec.Struct):
    node: str
    ip: str
    zone: str
    region: str
    bootstrap: bool = False
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Listen(msgspec.Struct):
    front: str
    ready: str
    directory: str


class _Network(msgspec.Struct):
    listen: _Listen
    internal_ports: tuple[int, int]
    zones: dict[str, str]


class _Store(msgspec.Struct):
    address: str


class _Provider(msgspec.Struct):
    provider: _Store


class _Bounds(msgspec.Struct):
    grace_s: float
    retry_budget_ratio: float
    budget_window_s: float
    retry_budget_slack: float
    warmup_overshoot: float
    warmup_slack: float
    ttl_max_s: float
    config_apply_s: float
    drain_s: float
    evacuate_s: float
    revoke_s: float
    quota_overshoot: float = RateTolerance().overshoot
    quota_slack: float = RateTolerance().slack
    quota_window_s: float = RateTolerance().window_s


class _Tolerances(msgspec.Struct):
    bounds: _Bounds


# The file's "self" table is the host's own.
class _File(msgspec.Struct, rename={"own": "self"}):
    own: _Own
    network: _Network
    provider: _Provider
    tolerances: _Tolerances


_decoder = Decoder.of_json(_File)


def read_settings_file(path: str) -> HostSettings:
    """Return the settings in the JSON file at ``path``; fields that nothing uses are ignored.

    :raises SettingsFileError: if the file can't be read or a field is missing or wrong.
    """
    try:
        found = _decoder.decode(Path(path).read_bytes())
    except OSError as error:
        raise SettingsFileError(f"{path}: {error}; set {PATH_VARIABLE} to its path") from error
    except MalformedValueError as error:
        raise SettingsFileError(f"{path}: {error}; correct that field") from error
    return _settings(found, path)


def _settings(found: _File, path: str) -> HostSettings:
    listen, bounds = found.network.listen, found.tolerances.bounds
    try:
        return HostSettings(
            host=found.own.node,
            failure_domain=found.own.zone,
            region=found.own.region,
            first_start=found.own.bootstrap,
            regions_by_domain=found.network.zones,
            callers=_endpoint(listen.front),
            health=_endpoint(listen.ready),
            lookups=_endpoint(listen.directory),
            peers=Endpoint(found.own.ip, found.network.internal_ports[0]),
            metrics=Endpoint(found.own.ip, found.network.internal_ports[0] + 1),
            store_url=f"http://{found.provider.provider.address}",
            link_mbps=found.own.limits.link_mbps,
            memory_mb=found.own.limits.memory_mb,
            capacity_cores=found.own.limits.capacity_cores,
            max_fds=found.own.limits.max_fds,
            bounds=Bounds(
                grace_s=bounds.grace_s,
                retry_ratio=bounds.retry_budget_ratio,
                retry_window_s=bounds.budget_window_s,
                retry_slack=bounds.retry_budget_slack,
                slow_start_overshoot=bounds.warmup_overshoot,
                slow_start_slack=bounds.warmup_slack,
                lookup_ttl_s=bounds.ttl_max_s,
                propagation_s=min(
                    bounds.config_apply_s, bounds.drain_s, bounds.evacuate_s, bounds.revoke_s
                ),
                rate_tolerance=RateTolerance(
                    bounds.quota_overshoot, bounds.quota_slack, bounds.quota_window_s
                ),
            ),
        )
    except ValueError as error:
        raise SettingsFileError(f"{path}: {error}; give ip:port") from error


def _endpoint(text: Any) -> Endpoint:
    address, _, port = str(text).rpartition(":")
    return Endpoint(address, int(port))
