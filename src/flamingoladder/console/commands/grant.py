"""``flamingoladder grant``."""

from __future__ import annotations

from flamingoladder.console.operator_console import Call
from flamingoladder.console.operator_console import OperatorConsole
from flamingoladder.operators.messages import KeyReply
from flamingoladder.operators.messages import KeyRequest


def grant(workspace: str, *, url: str = "", token: str = "", json: bool = False) -> int:
    """Grant a new key to a workspace and show it, once.

    :param workspace: name of the workspace
    :param url: operator URLs, separated by commas; else FLAMINGOLADDER_OPERATOR_URL
    :param token: operator token; else FLAMINGOLADDER_OPERATOR_TOKEN
    :param json: print JSON
    """
    console = OperatorConsole.from_options(url, token, json)
    return console.run(Call("POST", "/v1/keys", KeyReply, KeyRequest(workspace)), _text)


def _text(reply: KeyReply) -> str:
    return f"{reply.key_id} {reply.workspace} {reply.key}"
