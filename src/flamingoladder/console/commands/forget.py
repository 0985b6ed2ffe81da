"""``flamingoladder forget``."""

from __future__ import annotations

from flamingoladder.console.operator_console import Call
from flamingoladder.console.operator_console import OperatorConsole
from flamingoladder.console.reports import report_text
from flamingoladder.freshness.commit_results import CommitReport


def forget(host: str, *, url: str = "", token: str = "", json: bool = False) -> int:
    """Remove a host that will not come back.

    :param host: name of the host; be certain that its daemon has ended
    :param url: operator URLs, separated by commas; else FLAMINGOLADDER_OPERATOR_URL
    :param token: operator token; else FLAMINGOLADDER_OPERATOR_TOKEN
    :param json: print JSON
    """
    console = OperatorConsole.from_options(url, token, json)
    return console.run(Call("DELETE", f"/v1/members/{host}", CommitReport), report_text)
