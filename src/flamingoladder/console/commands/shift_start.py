"""``flamingoladder shift-start``."""

from __future__ import annotations

from flamingoladder.console.operator_console import Call
from flamingoladder.console.operator_console import OperatorConsole
from flamingoladder.console.reports import report_text
from flamingoladder.freshness.commit_results import CommitReport
from flamingoladder.operators.messages import ShiftRequest


def shift_start(
    shift_id: str,
    service: str,
    from_region: str,
    to_region: str,
    *,
    share: float,
    cap_per_s: float,
    reason: str,
    url: str = "",
    token: str = "",
    json: bool = False,
) -> int:
    """Start to shift a part of a service's traffic from one region to another.

    :param shift_id: a name for the shift
    :param service: name of the service
    :param from_region: region that the traffic leaves
    :param to_region: region that receives it
    :param share: part of the traffic to move, from 0 to 1
    :param cap_per_s: most requests per second that may move, over all hosts
    :param reason: why, for other operators
    :param url: operator URLs, separated by commas; else FLAMINGOLADDER_OPERATOR_URL
    :param token: operator token; else FLAMINGOLADDER_OPERATOR_TOKEN
    :param json: print JSON
    """
    console = OperatorConsole.from_options(url, token, json)
    body = ShiftRequest(service, from_region, to_region, share, cap_per_s, reason)
    return console.run(Call("PUT", f"/v1/shifts/{shift_id}", CommitReport, body), report_text)
