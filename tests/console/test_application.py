"""Tests of the command line without a daemon."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from flamingoladder.console.application import COMMANDS
from flamingoladder.console.application import main
from flamingoladder.console.exit_codes import ExitCode

EXAMPLE = Path(__file__).parents[2] / "examples" / "tjaldvik.yaml"


def run(monkeypatch: pytest.MonkeyPatch, *arguments: str) -> int:
    """Run the program and return its exit status."""
    monkeypatch.setattr(sys, "argv", ["flamingoladder", *arguments])
    for name in ("OPERATOR_URL", "OPERATOR_TOKEN", "CONFIG"):
        monkeypatch.delenv(f"FLAMINGOLADDER_{name}", raising=False)
    with pytest.raises(SystemExit) as exit_info:
        main()
    return int(exit_info.value.code or 0)


@pytest.mark.parametrize("name", COMMANDS)
def test_each_command_explains_itself(
    name: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(monkeypatch, name.replace("_", "-"), "--help") == 0
    assert "usage:" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("arguments", "status", "message"),
    [
        (["check", str(EXAMPLE)], ExitCode.DONE, "valid"),
        (["entry"], ExitCode.BAD_INPUT, "settings:"),
        (["entry", "--log-level", "INFO"], ExitCode.BAD_INPUT, "settings:"),
        (["check", "no-such-file"], ExitCode.BAD_INPUT, "no-such-file"),
        (["status"], ExitCode.BAD_INPUT, "FLAMINGOLADDER_OPERATOR_URL"),
        (["status", "--url", "http://127.0.0.1:9"], ExitCode.BAD_INPUT, "OPERATOR_TOKEN"),
        (["status", "--url", "http://127.0.0.1:9", "--token", "t"], ExitCode.UNREACHABLE, ":9"),
        (["drain", "shelf", "x", "--reason", "y"], ExitCode.BAD_INPUT, "failure_domain"),
        (["drain", "target", "x", "--reason", "y"], ExitCode.BAD_INPUT, "OPERATOR_URL"),
        (["undrain", "host", "x"], ExitCode.BAD_INPUT, "OPERATOR_URL"),
        (["timeline", "--log-file", "no-such-file"], ExitCode.BAD_INPUT, "no-such-file"),
    ],
)
def test_exit_status_and_message(
    arguments: list[str],
    status: ExitCode,
    message: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert run(monkeypatch, *arguments) == status
    captured = capsys.readouterr()
    assert message in captured.out + captured.err


def test_an_invalid_file_is_explained(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "broken.yaml"
    path.write_text(EXAMPLE.read_text().replace("store_region: reykjavik", "store_region: oslo"))
    assert run(monkeypatch, "check", str(path)) == ExitCode.BAD_INPUT
    assert "places.store_region: unknown region" in capsys.readouterr().err


def test_an_entry_host_starts_without_the_parser_of_flags() -> None:
    """A host's start took 0.05 s more CPU time while the parser of flags was imported for it."""
    unneeded = {"defopt", "docutils", "hdrh", "statsd", "yaml", "flamingoladder.soak"}
    code = (
        "import sys\nfrom flamingoladder.console.application import main\n"
        "sys.argv = ['flamingoladder', 'entry']\n"
        "try:\n    main()\nexcept SystemExit:\n    print(*sys.modules)"
    )
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    imported = set(found.stdout.split())
    assert "flamingoladder.entry.daemon" in imported
    assert not unneeded & imported
