"""Runs the entry daemon of a host on the platform."""

from __future__ import annotations

import os
import sys
from functools import partial

import logbook

from flamingoladder import event_loop
from flamingoladder.console.exit_codes import ExitCode
from flamingoladder.entry.daemon import run_host
from flamingoladder.platform.exceptions import SettingsFileError
from flamingoladder.platform.settings import PATH_VARIABLE
from flamingoladder.platform.settings import read_settings_file
from flamingoladder.timeline.bounded_log import BoundedHandler


def entry(*, settings: str | None = None, log_level: str = "INFO") -> int:
    """Serve callers and look-ups on this host until SIGTERM.

    :param settings: settings file; without it FLAMINGOLADDER_CONFIG names the file
    :param log_level: level of the log on standard output
    """
    path = settings or os.environ.get(PATH_VARIABLE, "")
    try:
        found = read_settings_file(path)
    except SettingsFileError as error:
        print(f"settings: {error}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    try:
        handler = BoundedHandler(sys.stdout.fileno(), logbook.lookup_level(log_level.upper()))
        with handler.applicationbound():
            read_anew = partial(read_settings_file, path)
            event_loop.run(run_host(found, lambda: handler.dropped, read_anew))
    except (OSError, LookupError) as error:
        print(f"cannot start: {error}", file=sys.stderr)
        return ExitCode.REFUSED
    return ExitCode.DONE
