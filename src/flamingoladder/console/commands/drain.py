"""``flamingoladder drain``."""

from __future__ import annotations

from flamingoladder.console.drain_kind import DrainKindName
from flamingoladder.console.operator_console import Call
from flamingoladder.console.operator_console import OperatorConsole
from flamingoladder.console.reports import report_text
from flamingoladder.freshness.commit_results import CommitReport
from flamingoladder.operators.messages import ReasonRequest


def drain(
    kind: DrainKindName,
    name: str,
    *,
    reason: str,
    url: str = "",
    token: str = "",
    json: bool = False,
) -> int:
    """Give a target, failure domain or host no new work.

    :param kind: what to drain
    :param name: its name; a target is named service/target
    :param reason: why, for other operators
    :param url: operator URLs, separated by commas; else FLAMINGOLADDER_OPERATOR_URL
    :param token: operator token; else FLAMINGOLADDER_OPERATOR_TOKEN
    :param json: print JSON
    """
    console = OperatorConsole.from_options(url, token, json)
    path = f"/v1/drains/{kind}/{name}"
    return console.run(Call("PUT", path, CommitReport, ReasonRequest(reason)), report_text)
