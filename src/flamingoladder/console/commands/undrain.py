"""``flamingoladder undrain``."""

from __future__ import annotations

from flamingoladder.console.drain_kind import DrainKindName
from flamingoladder.console.operator_console import Call
from flamingoladder.console.operator_console import OperatorConsole
from flamingoladder.console.reports import report_text
from flamingoladder.freshness.commit_results import CommitReport


def undrain(
    kind: DrainKindName, name: str, *, url: str = "", token: str = "", json: bool = False
) -> int:
    """Put a drained target, failure domain or host back to use.

    :param kind: what was drained
    :param name: its name
    :param url: operator URLs, separated by commas; else FLAMINGOLADDER_OPERATOR_URL
    :param token: operator token; else FLAMINGOLADDER_OPERATOR_TOKEN
    :param json: print JSON
    """
    console = OperatorConsole.from_options(url, token, json)
    return console.run(Call("DELETE", f"/v1/drains/{kind}/{name}", CommitReport), report_text)
