"""Tests of the daemon's settings."""

from __future__ import annotations

import pytest

from flamingoladder.daemon.settings import Role
from flamingoladder.daemon.settings import read_settings

DIGEST = "a" * 64
ENVIRONMENT = {
    "FLAMINGOLADDER_HOST": "h1",
    "FLAMINGOLADDER_REGION": "reykjavik",
    "FLAMINGOLADDER_FAILURE_DOMAIN": "reykjavik-a",
    "FLAMINGOLADDER_ADDRESS": "127.0.0.1",
    "FLAMINGOLADDER_CALLER_PORT": "7001",
    "FLAMINGOLADDER_OPERATOR_PORT": "7002",
    "FLAMINGOLADDER_PEER_PORT": "7003",
    "FLAMINGOLADDER_PLATFORM_URL": "http://127.0.0.1:7000",
    "FLAMINGOLADDER_PLATFORM_TOKEN": "secret",
    "FLAMINGOLADDER_OPERATOR_TOKENS": f"viewer={DIGEST},operator={DIGEST}",
}


def test_flags_go_before_the_environment() -> None:
    settings = read_settings({"host": "h2", "caller_port": 9001}, ENVIRONMENT).ok
    assert (settings.host, settings.caller_port, settings.peer_port) == ("h2", 9001, 7003)
    assert [token.role for token in settings.operator_tokens] == [Role.VIEWER, Role.OPERATOR]


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("HOST", None),
        ("HOST", ""),
        ("CALLER_PORT", "0"),
        ("CALLER_PORT", "http"),
        ("PLATFORM_URL", "ftp://x"),
        ("OPERATOR_TOKENS", ""),
        ("OPERATOR_TOKENS", "root=x"),
        ("OPERATOR_TOKENS", "viewer=plain-token"),
        ("STOP_GRACE_S", "-1"),
    ],
)
def test_a_bad_setting_is_named_with_its_flag(name: str, value: str | None) -> None:
    environment = {key: text for key, text in ENVIRONMENT.items() if not key.endswith(f"_{name}")}
    if value is not None:
        environment[f"FLAMINGOLADDER_{name}"] = value
    problems = list(read_settings({}, environment).error)
    flag = f"--{name.lower().replace('_', '-')} (FLAMINGOLADDER_{name})"
    assert [problem.path for problem in problems] == [flag]


def test_all_problems_are_reported_at_once() -> None:
    assert len(list(read_settings({}, {}).error)) == 10
