"""``flamingoladder show``."""

from __future__ import annotations

import msgspec
import yaml

from flamingoladder.console.operator_console import Call
from flamingoladder.console.operator_console import OperatorConsole
from flamingoladder.operators.messages import StateReply


def show(*, url: str = "", token: str = "", json: bool = False) -> int:
    """Show the configuration, members, keys, drains and shifts in force.

    :param url: operator URLs, separated by commas; else FLAMINGOLADDER_OPERATOR_URL
    :param token: operator token; else FLAMINGOLADDER_OPERATOR_TOKEN
    :param json: print JSON
    """
    console = OperatorConsole.from_options(url, token, json)
    return console.run(Call("GET", "/v1/state", StateReply), _text)


def _text(reply: StateReply) -> str:
    text: str = yaml.safe_dump(msgspec.to_builtins(reply), sort_keys=False, allow_unicode=True)
    return text.rstrip()
