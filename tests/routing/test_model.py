"""Tests of the choice of a route."""

from __future__ import annotations

import pytest

from flamingoladder.routing.model import Limits
from flamingoladder.routing.model import Part
from flamingoladder.routing.model import Route
from flamingoladder.routing.model import RoutePlan


def route(name: str, prefix: str, host: str = "a.example", *parts: Part) -> Route:
    return Route(
        name=name,
        host=host,
        prefix=prefix,
        idempotent=True,
        timeout_s=1.0,
        parts=parts or (Part("s", 1.0),),
        max_targets=2,
        open=True,
        sticky=True,
    )


PLAN = RoutePlan(
    version=3,
    routes_by_host={
        "a.example": (route("root", "/"), route("kit", "/kit/"), route("tents", "/kit/tents/")),
        "b.example": (route("only", "/only/", "b.example"),),
    },
    services_by_name={},
    workspaces_by_key={},
    workspaces_by_name={},
    limits=Limits(),
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/kit/tents/7", "tents"),
        ("a.example", "/kit/stoves", "kit"),
        ("a.example", "/kit", "root"),
        ("a.example", "/kit%2Ftents/7", "root"),
        ("b.example", "/kit/tents/7", None),
        ("c.example", "/", None),
    ],
)
def test_the_longest_prefix_of_the_host_is_chosen(host: str, path: str, name: str | None) -> None:
    found = PLAN.route_of(host, path)
    assert (found.name if found else None) == name
