"""Reads a configuration file and validates it whole."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeAlias

import msgspec
import yaml
from expression import Error
from expression import Ok
from expression import Result

from flamingoladder.config.checks import content_problems
from flamingoladder.config.model import Deployment
from flamingoladder.config.overrides import override_problems
from flamingoladder.config.overrides import with_overrides
from flamingoladder.config.problems import Problem
from flamingoladder.config.shape import ROOT
from flamingoladder.config.shape import shape_problems

if TYPE_CHECKING:
    from collections.abc import Sequence

Reading: TypeAlias = "Result[Deployment, Sequence[Problem]]"


def read_deployment(text: str | bytes) -> Reading:
    """Return the deployment written in YAML (or JSON), its exceptions applied, or all problems."""
    try:
        return validate(yaml.safe_load(text))
    except yaml.YAMLError as error:
        message = " ".join(str(error).split())
        return Error([Problem(ROOT, f"not YAML: {message}", "mend the syntax at that place")])
    except RecursionError:
        return Error(
            [Problem(ROOT, "nested too deeply", "use fewer levels, and no cyclic aliases")]
        )


def validate(document: object) -> Reading:
    """Return the deployment in a decoded document, its exceptions applied, or all problems."""
    problems = shape_problems(document, Deployment)
    if problems:
        return Error(problems)
    written = msgspec.convert(document, Deployment)
    problems = override_problems(written)
    if problems:
        return Error([*problems, *content_problems(written)])
    deployment = with_overrides(written)
    problems = content_problems(deployment)
    return Error(problems) if problems else Ok(deployment)
