"""Applies the exceptions of a configuration to the parts that they name."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from flamingoladder.config.model import Deployment
from flamingoladder.config.problems import Problem

if TYPE_CHECKING:
    from flamingoladder.config.model import ConfigException


def override_problems(deployment: Deployment) -> list[Problem]:
    """Return the problems of the exceptions: unknown paths, wrong types, missing reasons."""
    problems: list[Problem] = []
    for index, exception in enumerate(deployment.exceptions):
        problems += _problems_of(deployment, exception, f"exceptions.{index}")
    return problems


def with_overrides(deployment: Deployment) -> Deployment:
    """Return the deployment with all exceptions applied.

    :raises msgspec.ValidationError: if an exception does not fit; see ``override_problems``.
    """
    document = msgspec.to_builtins(deployment)
    for exception in deployment.exceptions:
        _set(document, exception)
    return msgspec.convert(document, Deployment)


def _problems_of(deployment: Deployment, exception: ConfigException, path: str) -> list[Problem]:
    problems: list[Problem] = []
    if not exception.reason.strip():
        problems.append(Problem(f"{path}.reason", "empty", "say why the exception is there"))
    if exception.path.partition(".")[0] in ("exceptions", "name"):
        problems.append(Problem(f"{path}.path", "cannot be overridden", "name another field"))
        return problems
    document = msgspec.to_builtins(deployment)
    try:
        _set(document, exception)
    except (KeyError, IndexError, ValueError, TypeError):
        fix = "give the dotted path of a field that is in this file, such as workspaces.NAME.burst"
        problems.append(Problem(f"{path}.path", f"no such field: {exception.path}", fix))
        return problems
    try:
        msgspec.convert(document, Deployment)
    except msgspec.ValidationError as error:
        fix = "give a value of the field's type"
        problems.append(Problem(f"{path}.value", str(error).partition(" - at")[0], fix))
    return problems


def _set(document: dict[str, Any], exception: ConfigException) -> None:
    *parents, last = exception.path.split(".")
    part: Any = document
    for name in parents:
        part = part[int(name)] if isinstance(part, list | tuple) else part[name]
    if last not in part:
        raise KeyError(last)
    part[last] = exception.value
