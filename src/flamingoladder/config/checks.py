"""Checks of a configuration whose shape is right: references, ranges and addresses."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.addresses import is_ip_address
from flamingoladder.config.problems import Problem

if TYPE_CHECKING:
    from collections.abc import Iterator

    from flamingoladder.config.model import Deployment
    from flamingoladder.config.model import Route
    from flamingoladder.config.model import Service
    from flamingoladder.config.model import Target

METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
MAY_BE_ZERO = frozenset({"ramp_s", "retry_budget_ratio", "clock_drift"})


def content_problems(deployment: Deployment) -> list[Problem]:
    """Return all problems of the deployment's content."""
    return [
        *_default_problems(deployment),
        *_place_problems(deployment),
        *_service_problems(deployment),
        *_workspace_problems(deployment),
    ]


def _default_problems(deployment: Deployment) -> Iterator[Problem]:
    for name, value in msgspec.to_builtins(deployment.defaults).items():
        if isinstance(value, str):
            continue
        path = f"defaults.{name}"
        if value < 0:
            yield Problem(path, f"{value} is below 0", "give 0 or more")
        elif value == 0 and name not in MAY_BE_ZERO:
            yield Problem(path, "0 is not allowed", "give more than 0")


def _place_problems(deployment: Deployment) -> Iterator[Problem]:
    places = deployment.places
    if places.store_region not in places.regions:
        known = ", ".join(places.regions)
        yield Problem("places.store_region", "unknown region", f"use one of: {known}")
    domains = [name for region in places.regions.values() for name in region.failure_domains]
    for name, count in Counter(domains).items():
        if count > 1:
            fix = "give each failure domain a name of its own"
            yield Problem("places.regions", f"failure domain {name} stands {count} times", fix)
    for name, region in places.regions.items():
        if not region.failure_domains:
            path = f"places.regions.{name}.failure_domains"
            yield Problem(path, "empty", "name at least one failure domain")
    for name in places.links:
        ends = name.split("/")
        if len(ends) != 2 or not set(ends) <= set(places.regions):
            fix = "name two regions as region/region"
            yield Problem(f"places.links.{name}", "not a pair of regions", fix)


def _service_problems(deployment: Deployment) -> Iterator[Problem]:
    owners_by_address: dict[str, str] = {}
    for name, service in deployment.services.items():
        path = f"services.{name}"
        if not service.targets:
            yield Problem(f"{path}.targets", "empty", "name at least one target")
        yield from _route_problems(service, path)
        for target_name, target in service.targets.items():
            target_path = f"{path}.targets.{target_name}"
            yield from _target_problems(deployment, target, target_path)
            earlier = owners_by_address.setdefault(target.address, target_path)
            if earlier != target_path:
                fix = "give each target an address of its own"
                yield Problem(f"{target_path}.address", f"already used by {earlier}", fix)


def _route_problems(service: Service, path: str) -> Iterator[Problem]:
    if not service.routes:
        yield Problem(f"{path}.routes", "empty", "add at least one route")
    for index, route in enumerate(service.routes):
        yield from _one_route_problems(route, f"{path}.routes.{index}")


def _one_route_problems(route: Route, path: str) -> Iterator[Problem]:
    if not route.path.startswith("/"):
        yield Problem(f"{path}.path", f"{route.path!r} does not start with /", "add the slash")
    unknown = sorted(set(route.methods) - METHODS)
    if unknown:
        fix = f"use one of: {', '.join(sorted(METHODS))}"
        yield Problem(f"{path}.methods", f"unknown method {', '.join(unknown)}", fix)
    if route.open and not route.idempotent:
        fix = "ask for a key (open: false) or declare it idempotent"
        yield Problem(path, "a route open to all cannot be non-idempotent", fix)
    if route.deadline_ms is not None and route.deadline_ms <= 0:
        yield Problem(f"{path}.deadline_ms", "not above 0", "give milliseconds above 0")


def _target_problems(deployment: Deployment, target: Target, path: str) -> Iterator[Problem]:
    if not is_ip_address(target.address):
        fix = "give an IP number and a port, such as 127.0.0.1:8001"
        yield Problem(f"{path}.address", f"{target.address!r} is not ip:port", fix)
    try:
        deployment.region_of(target.failure_domain)
    except KeyError:
        fix = "use one of places.regions.*.failure_domains"
        yield Problem(f"{path}.failure_domain", f"unknown: {target.failure_domain}", fix)
    for name in ("slots", "connections"):
        value = getattr(target, name)
        if value is not None and value < 1:
            yield Problem(f"{path}.{name}", f"{value} is below 1", "give 1 or more")


def _workspace_problems(deployment: Deployment) -> Iterator[Problem]:
    for name in deployment.workspaces:
        path = f"workspaces.{name}"
        if deployment.rate_of(name) <= 0:
            yield Problem(f"{path}.rate_per_s", "not above 0", "give requests per second above 0")
        if deployment.burst_of(name) < 1:
            yield Problem(f"{path}.burst", "below 1", "give 1 request or more")
