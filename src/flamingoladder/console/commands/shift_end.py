"""``flamingoladder shift-end``."""

from __future__ import annotations

from flamingoladder.console.operator_console import Call
from flamingoladder.console.operator_console import OperatorConsole
from flamingoladder.console.reports import report_text
from flamingoladder.freshness.commit_results import CommitReport


def shift_end(shift_id: str, *, url: str = "", token: str = "", json: bool = False) -> int:
    """End a shift.

    :param shift_id: its name
    :param url: operator URLs, separated by commas; else FLAMINGOLADDER_OPERATOR_URL
    :param token: operator token; else FLAMINGOLADDER_OPERATOR_TOKEN
    :param json: print JSON
    """
    console = OperatorConsole.from_options(url, token, json)
    return console.run(Call("DELETE", f"/v1/shifts/{shift_id}", CommitReport), report_text)
