"""Tests of the settings file of a host."""

from __future__ import annotations

from copy import deepcopy
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import pytest

from flamingoladder.console.commands.entry import entry
from flamingoladder.console.exit_codes import ExitCode
from flamingoladder.entry.settings import Endpoint
from flamingoladder.limits.tolerance import RateTolerance
from flamingoladder.platform.exceptions import SettingsFileError
from flamingoladder.platform.settings import read_settings_file

if TYPE_CHECKING:
    from pathlib import Path

FILE: dict[str, Any] = {
    "self": {
        "node": "edge-a-1",
        "ip": "10.1.0.8",
        "zone": "north-a",
        "region": "north",
        "bootstrap": True,
        "data_dir": None,
        "limits": {
            "link_mbps": 20.0,
            "memory_mb": 300,
            "max_fds": 4100,
            "cores": 2,
            "cpu_share": 0.5,
        },
        "unheard_of": {"by": "us"},
    },
    "network": {
        "listen": {
            "front": "10.1.0.8:8206",
            "ready": "10.1.0.8:8201",
            "directory": "10.1.0.8:8209",
        },
        "internal_ports": [7600, 7615],
        "zones": {"north-a": "north"},
    },
    "provider": {"provider": {"address": "10.200.1.7:8205"}},
    "tolerances": {
        "bounds": {
            "grace_s": 6,
            "retry_budget_ratio": 0.2,
            "budget_window_s": 10,
            "retry_budget_slack": 58,
            "warmup_overshoot": 1.5,
            "warmup_slack": 5,
            "ttl_max_s": 5,
            "config_apply_s": 4,
            "drain_s": 2.5,
            "evacuate_s": 5,
            "revoke_s": 5,
            "quota_overshoot": 0.05,
            "quota_slack": 12,
            "quota_window_s": 4,
        }
    },
}


def written(path: Path, content: bytes) -> str:
    file = path / "node.json"
    file.write_bytes(content)
    return str(file)


def test_the_file_is_read_and_unknown_fields_are_ignored(tmp_path: Path) -> None:
    settings = read_settings_file(written(tmp_path, msgspec.json.encode(FILE)))
    assert (settings.host, settings.failure_domain, settings.region) == (
        "edge-a-1",
        "north-a",
        "north",
    )
    assert settings.callers == Endpoint("10.1.0.8", 8206)
    assert settings.peers == Endpoint("10.1.0.8", 7600)
    assert settings.store_url == "http://10.200.1.7:8205"
    assert settings.link_mbps == 20.0
    assert settings.memory_mb == 300.0
    assert settings.capacity_cores == 1.0
    assert settings.bounds.propagation_s == 2.5
    assert settings.bounds.retry_slack == 58
    assert settings.bounds.rate_tolerance == RateTolerance(0.05, 12, 4)


def without(table: str, field: str) -> dict[str, Any]:
    found = deepcopy(FILE)
    del found[table][field]
    return found


def with_front(address: str) -> dict[str, Any]:
    found = deepcopy(FILE)
    found["network"]["listen"]["front"] = address
    return found


@pytest.mark.parametrize(
    ("content", "named"),
    [
        (b"{", "truncated"),
        (msgspec.json.encode(without("self", "region")), "region"),
        (msgspec.json.encode(without("network", "internal_ports")), "internal_ports"),
        (msgspec.json.encode(with_front("nowhere")), "ip:port"),
    ],
)
def test_a_wrong_file_is_refused_with_the_field_and_the_mend(
    tmp_path: Path, content: bytes, named: str, capsys: pytest.CaptureFixture[str]
) -> None:
    path = written(tmp_path, content)
    with pytest.raises(SettingsFileError, match=named):
        read_settings_file(path)
    assert entry(settings=path) == ExitCode.BAD_INPUT
    assert named in capsys.readouterr().err


def test_a_missing_file_names_the_variable(tmp_path: Path) -> None:
    with pytest.raises(SettingsFileError, match="FLAMINGOLADDER_CONFIG"):
        read_settings_file(str(tmp_path / "none.json"))
