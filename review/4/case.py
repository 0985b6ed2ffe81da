"""Clients send requests whose query is empty, and compare what targets run with what was sent."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from lab import BROKEN  # noqa: E402
from lab import HELD  # noqa: E402
from lab import NOT_RUN  # noqa: E402
from lab import Lab  # noqa: E402
from lab import Target  # noqa: E402
from lab import call  # noqa: E402
from lab import configuration  # noqa: E402
from lab import play  # noqa: E402
from lab import troubled  # noqa: E402

REQUESTS = 20
USUAL_TARGETS = ["/browse/tents/", "/browse/tents?size=4", "/browse/a%20b?x=%2F&y", "/browse/?a=?"]
EMPTY_QUERIES = ["/browse/tents/?", "/browse/tents?", "/signoff/7?", "/browse/a%20b?"]


async def main() -> int:
    lab = Lab(CASE, hosts=2)
    lab.put("op", "config", configuration(1))
    lab.targets = [
        Target(lab, f"i-{service}-{n}", service, "rvk-a", f"127.0.2.{n + 1}")
        for service in ("catalogue", "returns")
        for n in range(2)
    ]
    sent: dict[str, tuple[str, str]] = {}
    async with lab:
        paths = USUAL_TARGETS + (EMPTY_QUERIES if troubled() else [])
        for number in range(REQUESTS):
            path = paths[number % len(paths)]
            method = "POST" if path.startswith("/signoff/") else "GET"
            request_id = lab.next_id()
            sent[request_id] = (method, path)
            host = lab.hosts[number % len(lab.hosts)]
            await call(lab, host, method, path, request_id=request_id, key="camp-key")
        runs = [run for target in lab.targets for run in target.runs]
        changed = [run for run in runs if (run.method, run.path) != sent[run.request_id]]
        for run in changed:
            method, path = sent[run.request_id]
            lab.record.write(f"sent {method} {path}, {run.target} ran {run.method} {run.path}")
        lab.record.write(f"{len(runs)} runs, {len(changed)} of them of a changed request")
    if len(runs) < REQUESTS:
        return NOT_RUN
    print(f"UNASKED: {len(changed)} of {len(runs)} runs are of a changed request, none allowed")
    return BROKEN if changed else HELD


sys.exit(play(CASE, main))
