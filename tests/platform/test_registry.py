"""Tests of the targets' entries in the store."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from flamingoladder.platform.exceptions import UnreadableRowError
from flamingoladder.platform.registry import LAPSED_TARGET_TTL_S
from flamingoladder.platform.registry import RegistryReader
from flamingoladder.platform.registry import decode_entry
from flamingoladder.storage.feed import StoredRow
from flamingoladder.targets.registry import TargetRegistry
from flamingoladder.timeline.recorder import Recorder


def entry(**changes: Any) -> bytes:
    return msgspec.json.encode(
        {
            "service": "s",
            "address": "10.128.0.9:8080",
            "zone": "d1",
            "version": "v1",
            "slots": 3,
            "state": "ready",
            "warmup_left_s": 0,
            "seq": 4,
            "born": 1_700_000_000_000,
            **changes,
        }
    )


def row(target_id: str, value: bytes | None, version: int = 1) -> StoredRow:
    return StoredRow(target_id, value, version)


@pytest.fixture
def targets() -> TargetRegistry:
    return TargetRegistry({"d1": "r1"}, Recorder("h", "i"))


@pytest.fixture
def reader(targets: TargetRegistry) -> RegistryReader:
    found = RegistryReader(targets, Recorder("h", "i"))
    found.replace([row("t1", entry()), row("t2", entry())], 0.0)
    return found


def test_an_entry_is_read() -> None:
    record = decode_entry("t1", entry(state="draining", warmup_left_s=2.5))
    assert (record.address, record.failure_domain, record.slots) == ("10.128.0.9:8080", "d1", 3)
    assert record.draining
    assert record.slow_start_s == 2.5


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\x00",
        b"[]",
        entry(state="asleep"),
        entry(address="nowhere"),
        entry(address="10.128.0.9:0"),
        entry(address="10.128.0.9:65536"),
        entry(address="10.128.0.9:\u00b2"),
        entry(address="10.128.0.9:" + "9" * 5_000),
        entry(address="10.128.0.9\r\nX: y:80"),
        entry(address="no host:80"),
        entry(address="x" * 64 + ":80"),
        entry(slots="three"),
        msgspec.json.encode({"service": "s"}),
    ],
)
def test_an_entry_of_another_writer_names_no_target(
    value: bytes, targets: TargetRegistry, reader: RegistryReader
) -> None:
    with pytest.raises(UnreadableRowError):
        decode_entry("t1", value)
    reader.change([row("t1", value)], 1.0)
    assert list(targets.by_id) == ["t2"]


@pytest.mark.parametrize("address", ["10.128.0.9:1", "[::1]:65535", "localhost:80", "a-1.b_c.d:80"])
def test_an_address_is_an_ip_address_or_a_host_name(address: str) -> None:
    assert decode_entry("t1", entry(address=address)).address == address


def test_a_deleted_entry_is_gone_at_once(targets: TargetRegistry, reader: RegistryReader) -> None:
    reader.change([row("t1", None)], 1.0)
    assert list(targets.by_id) == ["t2"]


def test_an_entry_that_lapsed_in_an_outage_is_kept_for_its_return(
    targets: TargetRegistry, reader: RegistryReader
) -> None:
    reader.regained(10.0)
    reader.change([row("t1", None), row("t2", None)], 10.1)
    reader.change([row("t2", entry())], 11.0)
    targets.expire(10.0 + LAPSED_TARGET_TTL_S - 0.1)
    assert sorted(targets.by_id) == ["t1", "t2"]
    targets.expire(10.0 + LAPSED_TARGET_TTL_S)
    assert list(targets.by_id) == ["t2"]


def test_a_whole_read_removes_what_is_missing(
    targets: TargetRegistry, reader: RegistryReader
) -> None:
    reader.replace([row("t2", entry())], 5.0)
    assert list(targets.by_id) == ["t2"]
