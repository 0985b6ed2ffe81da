"""Tests of the stand-in's settings file."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.platform.settings import read_settings_file
from flamingoladder.platform.standins.deployment import host_settings
from flamingoladder.platform.standins.settings_file import settings_file

if TYPE_CHECKING:
    from pathlib import Path


def test_host_reads_the_settings_that_were_written(tmp_path: Path) -> None:
    settings = host_settings(1, 20_000, "http://127.0.0.1:19000", first_start=False)
    path = tmp_path / "host.json"
    path.write_bytes(settings_file(settings))
    assert read_settings_file(str(path)) == settings
