"""Tests of the choice of a route."""

from __future__ import annotations

import pytest

from flamingoladder.routing.model import RequestLimits
from flamingoladder.routing.model import Route
from flamingoladder.routing.model import RoutingConfig
from flamingoladder.routing.model import ServiceShare
from flamingoladder.routing.model import Workspace


def route(name: str, prefix: str, host: str = "a.example", *shares: ServiceShare) -> Route:
    return Route(
        name=name,
        host=host,
        prefix=prefix,
        idempotent=True,
        timeout_s=1.0,
        latency_slo_s=0.5,
        priority=1,
        shares=shares or (ServiceShare("s", 1.0),),
        max_targets=2,
        open=True,
        sticky=True,
    )


CONFIG = RoutingConfig(
    version=3,
    routes_by_host={
        "a.example": (route("root", "/"), route("kit", "/kit/"), route("tents", "/kit/tents/")),
        "b.example": (route("only", "/only/", "b.example"), route("same", "/only/", "b.example")),
    },
    services_by_name={},
    workspaces_by_key={},
    workspaces_by_name={},
    limits=RequestLimits(),
    priorities=frozenset({0, 1, 2}),
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/kit/tents/7", "tents"),
        ("a.example", "/kit/stoves", "kit"),
        ("a.example", "/kit", "root"),
        ("a.example", "/kit%2Ftents/7", "root"),
        ("b.example", "/kit/tents/7", None),
        ("b.example", "/only/7", "only"),
        ("c.example", "/", None),
    ],
)
def test_longest_matching_prefix_of_the_host_is_chosen(
    host: str, path: str, name: str | None
) -> None:
    found = CONFIG.find_route(host, path)
    assert (found.name if found else None) == name


@pytest.mark.parametrize(
    ("workspace_priority", "urgency"), [(None, 1 / 3), (0, 2 / 3), (1, 1 / 3), (2, 0.0)]
)
def test_priority_of_a_workspace_overrides_that_of_the_route(
    workspace_priority: int | None, urgency: float
) -> None:
    workspace = Workspace(name="turf", rate_per_s=0.0, burst=0.0, priority=workspace_priority)
    assert CONFIG.urgency(route("root", "/"), workspace) == pytest.approx(urgency)
