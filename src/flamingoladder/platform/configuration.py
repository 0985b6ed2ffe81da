"""Decodes the operator's configuration into routes, services and workspaces."""

from __future__ import annotations

from itertools import chain

import msgspec

from flamingoladder.decoding import Decoder
from flamingoladder.platform.exceptions import UnreadableRowError
from flamingoladder.routing.model import RequestLimits
from flamingoladder.routing.model import Route
from flamingoladder.routing.model import RoutingConfig
from flamingoladder.routing.model import Service
from flamingoladder.routing.model import ServiceShare
from flamingoladder.routing.model import Workspace
from flamingoladder.routing.model import priorities_of

VERSION_BASE = 16
# Requests of these kinds of routes may run more than once. Downloads have large responses.
REPEATABLE_KINDS = ("idempotent", "download")
# Requests of these kinds run at most once. Uploads have large bodies.
AT_MOST_ONCE_KINDS = ("non_idempotent", "upload")


class _Service(msgspec.Struct):
    name: str
    health_check: str = "/healthz"
    max_conns: int = 100
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 0.0
    idle_timeout_s: float = 0.0


# The platform calls a workspace a tenant.
class _Tenant(msgspec.Struct):
    name: str
    api_keys: tuple[str, ...] = ()
    rate_per_s: float | None = None
    burst: float | None = None
    priority: int | None = None
    allowed_regions: tuple[str, ...] = ()


class _Weighted(msgspec.Struct):
    service: str
    weight: float


# The platform calls a route a path of a virtual host.
class _Path(msgspec.Struct):
    name: str
    path_prefix: str
    kind: str
    timeout_s: float
    latency_slo_s: float | None = None
    priority: int = 0
    service: str | None = None
    traffic_split: tuple[_Weighted, ...] = ()
    max_attempts: int = 1
    public: bool = False
    sticky: bool = False
    allowed_regions: tuple[str, ...] = ()


class _Host(msgspec.Struct):
    host: str
    paths: tuple[_Path, ...] = ()


class _Document(msgspec.Struct):
    version: str
    services: tuple[_Service, ...]
    virtual_hosts: tuple[_Host, ...]
    tenants: tuple[_Tenant, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)


_decoder = Decoder.of_json(_Document)


def decode_configuration(value: bytes) -> RoutingConfig:
    """Return the configuration in a row's value.

    :raises UnreadableRowError: if it can't be read.
    """
    try:
        document = _decoder.decode(value)
        version = int(document.version, VERSION_BASE)
    except ValueError as error:
        raise UnreadableRowError(f"configuration: {error}") from error
    workspaces = [(_workspace(tenant), tenant.api_keys) for tenant in document.tenants]
    routes_by_host = {
        host.host.lower(): tuple(_route(host.host.lower(), path) for path in host.paths)
        for host in document.virtual_hosts
    }
    return RoutingConfig(
        version=version,
        routes_by_host=routes_by_host,
        services_by_name={service.name: _service(service) for service in document.services},
        workspaces_by_key={key: workspace for workspace, keys in workspaces for key in keys},
        workspaces_by_name={workspace.name: workspace for workspace, _ in workspaces},
        limits=RequestLimits(
            max_header_bytes=document.limits.max_header_bytes,
            max_body_bytes=document.limits.max_body_bytes,
            header_timeout_s=document.limits.header_timeout_s,
            idle_timeout_s=document.limits.idle_timeout_s,
        ),
        priorities=priorities_of(
            chain.from_iterable(routes_by_host.values()),
            (workspace for workspace, _ in workspaces),
        ),
    )


def _service(found: _Service) -> Service:
    return Service(
        name=found.name,
        health_path=found.health_check,
        max_connections=found.max_conns,
        slow_start_s=found.warmup_s,
        slow_start_rate_per_s=found.warmup_per_s,
    )


def _workspace(found: _Tenant) -> Workspace:
    return Workspace(
        name=found.name,
        rate_per_s=found.rate_per_s or 0.0,
        burst=found.burst or 0.0,
        priority=found.priority,
        regions=frozenset(found.allowed_regions),
    )


def _route(host: str, found: _Path) -> Route:
    return Route(
        name=found.name,
        host=host,
        prefix=found.path_prefix,
        idempotent=_may_be_repeated(found),
        timeout_s=found.timeout_s,
        latency_slo_s=found.timeout_s if found.latency_slo_s is None else found.latency_slo_s,
        priority=found.priority,
        shares=_shares(found),
        max_targets=max(1, found.max_attempts),
        open=found.public,
        sticky=found.sticky,
        regions=frozenset(found.allowed_regions),
    )


def _may_be_repeated(found: _Path) -> bool:
    if found.kind in REPEATABLE_KINDS:
        return True
    if found.kind in AT_MOST_ONCE_KINDS:
        return False
    valid = ", ".join((*REPEATABLE_KINDS, *AT_MOST_ONCE_KINDS))
    raise UnreadableRowError(
        f"route {found.name}: kind is {found.kind!r}; set it to one of {valid}"
    )


def _shares(found: _Path) -> tuple[ServiceShare, ...]:
    total = sum(part.weight for part in found.traffic_split)
    if found.traffic_split and total > 0:
        return tuple(
            ServiceShare(part.service, part.weight / total) for part in found.traffic_split
        )
    if found.service is None:
        raise UnreadableRowError(f"route {found.name}: neither service nor traffic_split")
    return (ServiceShare(found.service, 1.0),)
