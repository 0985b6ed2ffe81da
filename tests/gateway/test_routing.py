"""Tests of route matching."""

from __future__ import annotations

import pytest

from flamingoladder.gateway.exceptions import RefusedError
from flamingoladder.gateway.routing import find_route
from flamingoladder.verdict import Reason
from tests.gateway.states import agreed

DEPLOYMENT = agreed().deployment


@pytest.mark.parametrize(
    ("method", "path", "prefix"),
    [
        ("GET", "/", "/"),
        ("GET", "/open", "/open"),
        ("GET", "/open/a", "/open"),
        ("GET", "/opening", "/"),
        ("GET", "/%6Fpen/a", "/open"),
        ("POST", "/bookings", "/bookings"),
        ("GET", "/bookings", "/"),
        ("GET", "/a.b/..c", "/"),
    ],
)
def test_route_matches_by_method_and_longest_prefix(method: str, path: str, prefix: str) -> None:
    assert find_route(DEPLOYMENT, "desk", method, path).path == prefix


@pytest.mark.parametrize(
    "path",
    [
        "/open/../bookings",
        "/open/%2e%2e/bookings",
        "/open%2F..%2Fbookings",
        "/open/./x",
        "/open//x",
        "/open\\..\\x",
        "/open/%5C..",
        "/open;x/../y",
        "/open/%00",
        "/open/%0d%0aX: y",
    ],
)
def test_path_that_an_upstream_could_normalize_differently_is_refused(path: str) -> None:
    with pytest.raises(RefusedError) as refused:
        find_route(DEPLOYMENT, "desk", "GET", path)
    assert refused.value.refusal.reason is Reason.BAD_REQUEST
