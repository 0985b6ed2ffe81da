"""``flamingoladder story``."""

from __future__ import annotations

import sys
from pathlib import Path

from flamingoladder.console.exit_codes import ExitCode
from flamingoladder.console.files import read_events
from flamingoladder.timeline.merge import merged
from flamingoladder.timeline.recorder import format_event
from flamingoladder.timeline.story import story_of


def story(request: str, log_file: list[Path]) -> int:
    """Show what became of a request, over the logs of all hosts, causes before effects.

    :param request: request id
    :param log_file: log files of the hosts
    """
    events = read_events(log_file)
    if events is None:
        return ExitCode.BAD_INPUT
    found = story_of(request, list(merged(events)))
    if not found:
        print(f"no event of request {request} in these logs", file=sys.stderr)
        return ExitCode.REFUSED
    for event in found:
        print(format_event(event))
    return ExitCode.DONE
