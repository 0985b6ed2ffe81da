"""``flamingoladder timeline``."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.console.exit_codes import ExitCode
from flamingoladder.console.files import read_events
from flamingoladder.console.operator_console import Call
from flamingoladder.console.operator_console import OperatorConsole
from flamingoladder.console.operator_console import UnreachableError
from flamingoladder.operators.messages import TimelineReply
from flamingoladder.timeline.merge import EventFilter
from flamingoladder.timeline.merge import merged
from flamingoladder.timeline.recorder import format_event

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingoladder.timeline.events import Event


FOLLOW_INTERVAL_S = 1.0


def timeline(
    *,
    request: str = "",
    workspace: str = "",
    key_id: str = "",
    kind: str = "",
    log_file: list[Path] | None = None,
    follow: bool = False,
    url: str = "",
    token: str = "",
    json: bool = False,
) -> int:
    """Show the merged time line of all live hosts, or of log files.

    :param request: show only this request id
    :param workspace: show only this workspace
    :param key_id: show only this key id
    :param kind: show only this kind of event, and kinds below it
    :param log_file: read these log files in place of asking the hosts
    :param follow: go on showing new events
    :param url: operator URLs, separated by commas; else FLAMINGOLADDER_OPERATOR_URL
    :param token: operator token; else FLAMINGOLADDER_OPERATOR_TOKEN
    :param json: print JSON, one event a line
    """
    event_filter = EventFilter(request, workspace, key_id, kind)
    if log_file:
        return _show_files(log_file, event_filter, json)
    console = OperatorConsole.from_options(url, token, json)
    if not follow:
        call = Call("GET", "/v1/timeline?since=0", TimelineReply)
        return console.run(call, lambda reply: _text(reply.events, event_filter, json))
    try:
        return asyncio.run(_follow(console, event_filter, json))
    except UnreachableError as error:
        print(f"no host answered: {error}", file=sys.stderr)
        return ExitCode.UNREACHABLE
    except KeyboardInterrupt:
        return ExitCode.DONE


def _show_files(paths: list[Path], event_filter: EventFilter, json: bool) -> int:
    events = read_events(paths)
    if events is None:
        return ExitCode.BAD_INPUT
    print(_text(merged(events), event_filter, json))
    return ExitCode.DONE


async def _follow(console: OperatorConsole, event_filter: EventFilter, json: bool) -> int:
    since = 0
    while True:
        result = await console.send(Call("GET", f"/v1/timeline?since={since}", TimelineReply))
        if result.is_error():
            print(f"{result.error.code}: {result.error.detail}", file=sys.stderr)
            return ExitCode.REFUSED
        events = result.ok.events
        if events:
            print(_text(events, event_filter, json), flush=True)
            since = events[-1].clock
        await asyncio.sleep(FOLLOW_INTERVAL_S)


def _text(events: Iterable[Event], event_filter: EventFilter, json: bool) -> str:
    kept = [event for event in events if event_filter.keeps(event)]
    if json:
        return "\n".join(msgspec.json.encode(event).decode() for event in kept)
    return "\n".join(format_event(event) for event in kept)
