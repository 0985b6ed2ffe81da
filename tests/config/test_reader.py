"""Tests of reading and validating configurations."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest
import yaml

from flamingoladder.config.model import Deployment
from flamingoladder.config.reader import read_deployment
from flamingoladder.config.reader import validate

EXAMPLES = Path(__file__).parents[2] / "examples"
EXAMPLE = EXAMPLES / "tjaldvik.yaml"


@pytest.mark.parametrize("name", ["tjaldvik", "kalahari"])
def test_examples_are_valid(name: str) -> None:
    assert read_deployment((EXAMPLES / f"{name}.yaml").read_text()).is_ok()


def test_exceptions_override_fields() -> None:
    deployment = read_deployment(EXAMPLE.read_text()).ok
    assert deployment.burst_of("turf-house") == 12


def test_an_accepted_deployment_survives_its_encoding() -> None:
    deployment = read_deployment(EXAMPLE.read_text()).ok
    assert msgspec.json.decode(msgspec.json.encode(deployment), type=Deployment) == deployment


@pytest.mark.parametrize(
    ("path", "value", "problem_path", "fix"),
    [
        ("defaults.deadline_ms", "soon", "defaults.deadline_ms", "whole number"),
        ("defaults.deadline_ms", -1, "defaults.deadline_ms", "0 or more"),
        ("defaults.attempts", 0, "defaults.attempts", "more than 0"),
        ("defaults.dedline_ms", 5, "defaults.dedline_ms", "deadline_ms"),
        (
            "services.bookings.routes.0.idempotent",
            "maybe",
            "services.bookings.routes.0.idempotent",
            "true or false",
        ),
        ("places.store_region", "oslo", "places.store_region", "reykjavik"),
        ("places.links", {"oslo": {"mbit_per_s": 1}}, "places.links.oslo", "region/region"),
        ("services.bookings.targets", {}, "services.bookings.targets", "at least one"),
        ("services.bookings.routes.0.path", "x", "services.bookings.routes.0.path", "slash"),
        ("services.bookings.routes.0.methods", ["GRAB"], "services.bookings.routes.0.methods", ""),
        ("services.bookings.routes.1.open", True, "services.bookings.routes.1", "key"),
        (
            "services.bookings.targets.bookings-01.address",
            "localhost:80",
            "services.bookings.targets.bookings-01.address",
            "IP number",
        ),
        (
            "services.bookings.targets.bookings-01.failure_domain",
            "x",
            "services.bookings.targets.bookings-01.failure_domain",
            "failure_domains",
        ),
        ("workspaces.turf-house.rate_per_s", 0, "workspaces.turf-house.rate_per_s", "above 0"),
        ("workspaces.turf-house.rate_per_s", None, None, ""),
        ("exceptions.0.reason", " ", "exceptions.0.reason", "why"),
        ("exceptions.0.path", "workspaces.nobody.burst", "exceptions.0.path", "dotted path"),
        ("exceptions.0.value", "many", "exceptions.0.value", "type"),
    ],
)
def test_each_problem_names_its_field_and_a_fix(
    path: str, value: object, problem_path: str | None, fix: str
) -> None:
    document = yaml.safe_load(EXAMPLE.read_text())
    _set(document, path, value)
    result = validate(document)
    if problem_path is None:
        assert result.is_ok()
        return
    problems = list(result.error)
    assert [problem.path for problem in problems] == [problem_path]
    assert fix in problems[0].fix


def test_all_problems_are_reported_at_once() -> None:
    document = yaml.safe_load(EXAMPLE.read_text())
    _set(document, "defaults.deadline_ms", "soon")
    _set(document, "services.returns.targets.returns-02.slots", "three")
    del document["places"]["store_region"]
    paths = [problem.path for problem in validate(document).error]
    assert paths == [
        "defaults.deadline_ms",
        "places.store_region",
        "services.returns.targets.returns-02.slots",
    ]


CYCLIC = EXAMPLE.read_text() + "\nexceptions: [{path: defaults, reason: r, value: &a [*a]}]\n"


def test_a_list_as_the_value_of_an_exception_is_a_problem() -> None:
    """The program ended with a traceback, and the operators' call with status 500."""
    document = yaml.safe_load(EXAMPLE.read_text())
    _set(document, "exceptions.0.value", [12])
    problems = validate(document).error
    assert [problem.path for problem in problems] == ["exceptions.0.value"]


@pytest.mark.parametrize(
    "text", ["", "- 1", "a: [", "name: 5", "\x00", "[" * 5_000, "[" * 5_000 + "]" * 5_000, CYCLIC]
)
def test_a_broken_document_is_one_clear_problem(text: str) -> None:
    assert all(str(problem) for problem in read_deployment(text).error)


def _set(document: Any, path: str, value: object) -> None:
    *parents, last = path.split(".")
    part = document
    for name in parents:
        part = part[int(name)] if isinstance(part, list) else part[name]
    part[last] = value
