"""``flamingoladder status``."""

from __future__ import annotations

from flamingoladder.console.operator_console import Call
from flamingoladder.console.operator_console import OperatorConsole
from flamingoladder.freshness.status import FreshnessStatus


def status(*, url: str = "", token: str = "", json: bool = False) -> int:
    """Show what is in force on each host.

    :param url: operator URLs, separated by commas; else FLAMINGOLADDER_OPERATOR_URL
    :param token: operator token; else FLAMINGOLADDER_OPERATOR_TOKEN
    :param json: print JSON
    """
    console = OperatorConsole.from_options(url, token, json)
    return console.run(Call("GET", "/v1/status", FreshnessStatus), _text)


def _text(reply: FreshnessStatus) -> str:
    lines = [
        f"{status.host} version={status.version} proof={_age(status.proof_age_s)} "
        f"open_intents={len(status.open_intents)} "
        f"store_era={'unknown' if status.store_era is None else status.store_era}"
        for status in reply.hosts
    ]
    lines += [f"{host} does not answer" for host in reply.unreachable]
    lines.append(f"store={'available' if reply.store_available else 'out'}")
    return "\n".join(lines)


def _age(proof_age_s: float | None) -> str:
    return "none" if proof_age_s is None else f"{proof_age_s:.2f}s"
