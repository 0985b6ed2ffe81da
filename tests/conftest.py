"""Passes over the tests that KNOWN-RED.txt lists, and prints them."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pytest

LIST = Path(__file__).parents[1] / "KNOWN-RED.txt"
PREFIX = "test: "


def known_red() -> list[str]:
    """Return the node ids in the list."""
    if not LIST.exists():
        return []
    lines = LIST.read_text().splitlines()
    return [line.removeprefix(PREFIX).strip() for line in lines if line.startswith(PREFIX)]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Leave out the listed tests, unless one is asked for by name."""
    passed_over = [item for item in items if item.nodeid in known_red()]
    if not passed_over or any("::" in argument for argument in config.args):
        return
    items[:] = [item for item in items if item not in passed_over]
    config.hook.pytest_deselected(items=passed_over)


def pytest_report_header() -> list[str]:
    """Name the tests that are passed over."""
    return [f"known red, passed over: {nodeid}" for nodeid in known_red()]
