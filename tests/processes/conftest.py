"""A deployment of real processes that the tests of this package share."""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import pytest

from flamingoladder.standins.deployment import LocalDeployment
from flamingoladder.standins.processes import Processes

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

EXAMPLE = Path(__file__).parents[2] / "examples" / "tjaldvik.yaml"
SEED = 11


@pytest.fixture(scope="package")
async def deployment(tmp_path_factory: pytest.TempPathFactory) -> AsyncIterator[LocalDeployment]:
    async with Processes(tmp_path_factory.mktemp("logs")) as processes:
        started = LocalDeployment.from_file(processes, EXAMPLE, Random(SEED))
        await started.start()
        await started.wait_until_serving((await started.grant("midnight-sun")).key)
        yield started
