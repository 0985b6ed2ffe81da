"""``flamingoladder check``."""

from __future__ import annotations

import sys
from pathlib import Path

from flamingoladder.config.reader import read_deployment
from flamingoladder.console.exit_codes import ExitCode
from flamingoladder.console.files import read_file


def check(file: Path) -> int:
    """Check a configuration file without applying it.

    :param file: the configuration, in YAML
    """
    content = read_file(file)
    if content is None:
        return ExitCode.BAD_INPUT
    result = read_deployment(content)
    if result.is_error():
        for problem in result.error:
            print(f"{file}: {problem}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    print(f"{file}: valid")
    return ExitCode.DONE
