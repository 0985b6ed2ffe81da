"""Tests of the operator's configuration as it stands in the store."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from flamingoladder.platform.configuration import decode_configuration
from flamingoladder.platform.exceptions import UnreadableRowError
from flamingoladder.routing.model import ServiceShare


def document(**changes: Any) -> dict[str, Any]:
    path = {
        "name": "r1",
        "path_prefix": "/kit/",
        "kind": "idempotent",
        "timeout_s": 1.2,
        "latency_slo_s": 0.6,
        "priority": 2,
        "traffic_split": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}],
        "max_attempts": 2,
        "public": False,
        "sticky": True,
        "allowed_regions": ["north"],
        **changes,
    }
    return {
        "version": "0000000c",
        "services": [
            {
                "name": "a",
                "health_check": "/healthz",
                "max_conns": 330,
                "protocol": "h1",
                "tls": False,
                "warmup_s": 3.0,
                "warmup_per_s": 2.9,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1000,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "tenants": [
            {
                "name": "turf",
                "api_keys": ["k1", "k2"],
                "priority": 1,
                "rate_per_s": 60,
                "burst": 30,
                "allowed_regions": [],
            },
            {"name": "free", "api_keys": ["k3"]},
        ],
        "virtual_hosts": [{"host": "A.example", "paths": [path]}],
    }


def test_a_configuration_is_read() -> None:
    plan = decode_configuration(msgspec.json.encode(document()))
    route = plan.find_route("a.example", "/kit/7")
    assert plan.version == 12
    assert route is not None
    assert route.shares == (ServiceShare("a", 0.9), ServiceShare("b", 0.1))
    assert (route.idempotent, route.timeout_s, route.max_targets) == (True, 1.2, 2)
    assert (route.latency_slo_s, route.priority) == (0.6, 2)
    assert route.regions == {"north"}
    assert plan.workspaces_by_key["k2"].name == "turf"
    assert plan.workspaces_by_key["k3"].rate_per_s == 0
    assert plan.services_by_name["a"].slow_start_rate_per_s == 2.9
    assert plan.limits.max_body_bytes == 1000


@pytest.mark.parametrize(
    ("kind", "may_be_repeated"),
    [("idempotent", True), ("download", True), ("non_idempotent", False), ("upload", False)],
)
def test_what_may_be_repeated_follows_from_the_kind_alone(
    kind: str, *, may_be_repeated: bool
) -> None:
    plan = decode_configuration(msgspec.json.encode(document(kind=kind, name="get")))
    assert plan.routes_by_host["a.example"][0].idempotent is may_be_repeated


@pytest.mark.parametrize("kind", ["", "Idempotent", "stream"])
def test_an_unknown_kind_is_refused_with_the_valid_ones(kind: str) -> None:
    """Taken for one that may not be repeated, a misspelt kind lost its retries unseen."""
    with pytest.raises(UnreadableRowError) as refused:
        decode_configuration(msgspec.json.encode(document(kind=kind)))
    words = ("route r1", "kind", repr(kind), "idempotent, download, non_idempotent, upload")
    assert all(word in str(refused.value) for word in words)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{",
        b"[]",
        msgspec.json.encode({**document(), "version": "xyz"}),
        msgspec.json.encode(document(traffic_split=[])),
        msgspec.json.encode(document(timeout_s="soon")),
    ],
)
def test_an_unreadable_configuration_is_refused(value: bytes) -> None:
    with pytest.raises(UnreadableRowError):
        decode_configuration(value)
