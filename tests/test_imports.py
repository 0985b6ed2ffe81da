"""Tests how the package's modules import one another."""

from __future__ import annotations

import ast
import gc
from graphlib import TopologicalSorter
from pathlib import Path

import flamingoladder

PACKAGE = Path(flamingoladder.__file__).parent


def _name_of(path: Path) -> str:
    parts = path.relative_to(PACKAGE.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def _imports_of(path: Path, modules: set[str]) -> set[str]:
    """Return the package's modules that a module imports, also for types alone."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            names = {f"{node.module}.{alias.name}" for alias in node.names}
            found |= (names | {node.module}) & modules
    return found - {_name_of(path)}


def test_no_modules_import_one_another() -> None:
    # What earlier tests left, if collected amid a parse, is reported by a parse within it, which
    # Python 3.11 can't do.
    gc.collect()
    paths_by_name = {_name_of(path): path for path in PACKAGE.rglob("*.py")}
    modules = set(paths_by_name)
    imports = {name: _imports_of(path, modules) for name, path in paths_by_name.items()}
    TopologicalSorter(imports).prepare()
