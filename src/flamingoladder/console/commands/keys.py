"""``flamingoladder keys``."""

from __future__ import annotations

from flamingoladder.console.operator_console import Call
from flamingoladder.console.operator_console import OperatorConsole
from flamingoladder.operators.messages import StateReply


def keys(*, url: str = "", token: str = "", json: bool = False) -> int:
    """List the keys, granted and withdrawn, without their secrets.

    :param url: operator URLs, separated by commas; else FLAMINGOLADDER_OPERATOR_URL
    :param token: operator token; else FLAMINGOLADDER_OPERATOR_TOKEN
    :param json: print JSON
    """
    console = OperatorConsole.from_options(url, token, json)
    return console.run(Call("GET", "/v1/state", StateReply), _text)


def _text(reply: StateReply) -> str:
    lines = [
        f"{entry.key_id} {entry.workspace} {'withdrawn' if entry.withdrawn else 'granted'}"
        for entry in reply.keys
    ]
    return "\n".join(lines) or "no keys"
