"""A model with named guards, checked together with one mutant for each guard."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from minicheck import Protocol
from minicheck import check_safety

from models.exceptions import ModelTooLargeError

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_STATES = 1_500_000

Build = Callable[[frozenset[str]], Protocol]
Predicate = Callable[[dict[str, Any]], bool]
State = tuple[Any, ...]


class CheckedModel(msgspec.Struct, frozen=True):
    """A model whose ``build`` returns the protocol with only the given guards in place.

    ``guards`` names every guard, as the code names it. ``witnesses`` are predicates that some
    reachable state must satisfy, so that an invariant can't hold for want of behaviour.
    ``mutants`` names the guards whose mutants are checked in this model; None stands for all.
    """

    name: str
    build: Build
    guards: tuple[str, ...]
    witnesses: Mapping[str, Predicate] = {}
    max_states: int = MAX_STATES
    mutants: tuple[str, ...] | None = None


class Counterexample(msgspec.Struct, frozen=True):
    """The shortest run that breaks ``invariant``; its length is the number of steps."""

    invariant: str
    steps: tuple[str, ...]


class Report(msgspec.Struct, frozen=True):
    """What the check of one model found.

    ``broken`` holds the counterexamples of the whole model, which must be empty, ``missing`` the
    witnesses that no state satisfies, ``by_guard`` the counterexample of each guard's mutant.
    """

    model: str
    states: int
    invariants: tuple[str, ...]
    broken: tuple[Counterexample, ...]
    missing: tuple[str, ...]
    by_guard: dict[str, Counterexample | None]

    @property
    def passed(self) -> bool:
        """Return whether the model holds and each mutant has a counterexample."""
        return not self.broken and not self.missing and None not in self.by_guard.values()


def check(model: CheckedModel) -> Report:
    """Check the whole model exhaustively, then look for a counterexample of each mutant.

    :raises ModelTooLargeError: if a search passes ``model.max_states``.
    """
    guards = frozenset(model.guards)
    protocol = model.build(guards)
    found = _search(model, _with_witnesses(protocol, model.witnesses))
    properties = found["properties"]
    mutants = model.guards if model.mutants is None else model.mutants
    broken = [_counterexample(name, properties[name]) for name in protocol.invariants]
    return Report(
        model=model.name,
        states=found["reachable_states"],
        invariants=tuple(protocol.invariants),
        broken=tuple(each for each in broken if each is not None),
        missing=tuple(name for name in model.witnesses if properties[name]["holds"]),
        by_guard={guard: _mutant(model, guards - {guard}) for guard in mutants},
    )


def _mutant(model: CheckedModel, guards: frozenset[str]) -> Counterexample | None:
    protocol = _ending_at_violation(model.build(guards))
    properties = _search(model, protocol)["properties"]
    found = [_counterexample(name, properties[name]) for name in protocol.invariants]
    return min((each for each in found if each), key=lambda each: len(each.steps), default=None)


def _search(model: CheckedModel, protocol: Protocol) -> dict[str, Any]:
    found: dict[str, Any] = check_safety(protocol, max_states=model.max_states)
    if not found["exhaustive"]:
        raise ModelTooLargeError(f"{model.name}: {found['incomplete_reason']}")
    return found


def _with_witnesses(protocol: Protocol, witnesses: Mapping[str, Predicate]) -> Protocol:
    absent = {name: _negated(predicate) for name, predicate in witnesses.items()}
    return _replaced(protocol, protocol.transitions, {**protocol.invariants, **absent})


def _negated(predicate: Predicate) -> Predicate:
    return lambda state: not predicate(state)


def _ending_at_violation(protocol: Protocol) -> Protocol:
    """Return the protocol without any step after the first violation that the search meets."""
    violated: list[str] = []

    def watched(name: str, predicate: Predicate) -> Predicate:
        def holds(state: dict[str, Any]) -> bool:
            held = predicate(state)
            if not held:
                violated.append(name)
            return held

        return holds

    def transitions(state: State) -> Sequence[tuple[str, State]]:
        return () if violated else protocol.transitions(state)

    invariants = {name: watched(name, each) for name, each in protocol.invariants.items()}
    return _replaced(protocol, transitions, invariants)


def _replaced(
    protocol: Protocol,
    transitions: Callable[[State], Sequence[tuple[str, State]]],
    invariants: Mapping[str, Predicate],
) -> Protocol:
    return Protocol(
        name=protocol.name,
        candidate=protocol.candidate,
        fields=protocol.fields,
        initial=protocol.initial,
        transitions=transitions,
        invariants=dict(invariants),
    )


def _counterexample(invariant: str, found: dict[str, Any]) -> Counterexample | None:
    if found["holds"]:
        return None
    steps = found["counterexample"][1:]
    return Counterexample(invariant, tuple(step["label"] for step in steps))
