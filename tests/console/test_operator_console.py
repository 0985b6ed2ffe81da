"""Tests of what an operator is told of answers that can't be read."""

from __future__ import annotations

import pytest

from flamingoladder.console.operator_console import Call
from flamingoladder.console.operator_console import OperatorConsole
from flamingoladder.freshness.commit_results import CommitReport
from flamingoladder.operators.messages import ErrorCode
from flamingoladder.platform.standins.foreign_rows import NESTED_JSON
from tests.upstreams.scripted_target import ScriptedTarget
from tests.upstreams.scripted_target import running_targets


@pytest.mark.parametrize("answer", ["no report", NESTED_JSON.decode()])
@pytest.mark.parametrize(
    ("method", "code"),
    [("GET", ErrorCode.STORE_UNAVAILABLE), ("DELETE", ErrorCode.OUTCOME_UNKNOWN)],
)
async def test_an_answer_that_cannot_be_read_is_lost(
    answer: str, method: str, code: ErrorCode
) -> None:
    """The program ended with a traceback, after a change that may have been committed."""
    host = ScriptedTarget(answer)
    async with running_targets(host):
        console = OperatorConsole.from_options(f"http://{host.address}", "token", json=False)
        result = await console.send(Call(method, "/v1/keys/k", CommitReport))
    assert result.error.code is code
