"""Tests of a soak's deployment."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from flamingoladder.soak.deployment import SoakDeployment
from flamingoladder.soak.deployment import SoakHost
from flamingoladder.standins.exceptions import ProcessNotReadyError

if TYPE_CHECKING:
    from pathlib import Path

    from flamingoladder.standins.processes import ManagedProcess


async def test_all_processes_end_if_a_host_does_not_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They were left running."""
    started: list[ManagedProcess] = []

    async def fail(host: SoakHost) -> None:
        started.append(host.process)
        raise ProcessNotReadyError("not ready")

    monkeypatch.setattr(SoakHost, "wait_until_ready", fail)
    with pytest.raises(ProcessNotReadyError):
        async with SoakDeployment(tmp_path, 2, 1, {"turf": ["k-turf"]}, {}):
            pass
    assert started
    assert not any(process.running for process in started)
