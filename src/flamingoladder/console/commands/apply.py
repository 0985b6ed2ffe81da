"""``flamingoladder apply``."""

from __future__ import annotations

from pathlib import Path

from flamingoladder.console.exit_codes import ExitCode
from flamingoladder.console.files import read_file
from flamingoladder.console.operator_console import Call
from flamingoladder.console.operator_console import OperatorConsole
from flamingoladder.console.reports import report_text
from flamingoladder.freshness.commit_results import CommitReport


def apply(
    file: Path, *, expected_version: int, url: str = "", token: str = "", json: bool = False
) -> int:
    """Put a configuration file in force.

    :param file: the configuration, in YAML
    :param expected_version: configuration_version that the file was made from; 0 for the first
    :param url: operator URLs, separated by commas; else FLAMINGOLADDER_OPERATOR_URL
    :param token: operator token; else FLAMINGOLADDER_OPERATOR_TOKEN
    :param json: print JSON
    """
    content = read_file(file)
    if content is None:
        return ExitCode.BAD_INPUT
    console = OperatorConsole.from_options(url, token, json)
    headers = {"If-Match": f'"{expected_version}"'}
    call = Call("PUT", "/v1/configuration", CommitReport, content, headers)
    return console.run(call, report_text)
