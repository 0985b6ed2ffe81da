"""``flamingoladder withdraw``."""

from __future__ import annotations

from flamingoladder.console.operator_console import Call
from flamingoladder.console.operator_console import OperatorConsole
from flamingoladder.console.reports import report_text
from flamingoladder.freshness.commit_results import CommitReport


def withdraw(key_id: str, *, url: str = "", token: str = "", json: bool = False) -> int:
    """Withdraw a key for good; it is refused on all hosts when this returns.

    :param key_id: id of the key, as shown by the command keys
    :param url: operator URLs, separated by commas; else FLAMINGOLADDER_OPERATOR_URL
    :param token: operator token; else FLAMINGOLADDER_OPERATOR_TOKEN
    :param json: print JSON
    """
    console = OperatorConsole.from_options(url, token, json)
    return console.run(Call("DELETE", f"/v1/keys/{key_id}", CommitReport), report_text)
