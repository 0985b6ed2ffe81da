"""Tests of the check of a model with its mutants."""

from __future__ import annotations

import pytest
from minicheck import Protocol
from models.checked import CheckedModel
from models.checked import check
from models.exceptions import ModelTooLargeError

LIMIT = 3


def _counter(guards: frozenset[str]) -> Protocol:
    top = LIMIT if "stop_at_limit" in guards else LIMIT + 1
    return Protocol(
        name="counter",
        candidate=False,
        fields=("n",),
        initial=(0,),
        transitions=lambda state: [("add", (state[0] + 1,))] if state[0] < top else [],
        invariants={"within_limit": lambda state: state["n"] <= LIMIT},
    )


def _model(*guards: str, max_states: int = 10) -> CheckedModel:
    witnesses = {"reaches_limit": lambda state: state["n"] == LIMIT}
    return CheckedModel("counter", _counter, guards, witnesses, max_states)


def test_mutant_of_a_guard_has_the_shortest_counterexample() -> None:
    report = check(_model("stop_at_limit"))
    assert report.passed
    assert report.states == LIMIT + 1
    found = report.by_guard["stop_at_limit"]
    assert found is not None
    assert found.steps == ("add",) * (LIMIT + 1)


def test_guard_without_effect_fails() -> None:
    assert not check(_model("stop_at_limit", "needless")).passed


def test_broken_model_fails() -> None:
    assert [each.invariant for each in check(_model()).broken] == ["within_limit"]


def test_witness_never_reached_fails() -> None:
    model = CheckedModel(
        "counter", _counter, ("stop_at_limit",), {"beyond": lambda state: state["n"] == -1}
    )
    assert check(model).missing == ("beyond",)


def test_search_over_the_bound_raises() -> None:
    with pytest.raises(ModelTooLargeError):
        check(_model("stop_at_limit", max_states=2))
