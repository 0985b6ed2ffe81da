"""Loans of one allowance between its owner and a taker, over a network that does anything.

Messages are never removed, so each may be lost, delayed, repeated and overtaken. Time passes in
ticks; the taker's clock may lose one tick against the owner's in each term. The guards are those
of ``flamingoladder.shares.lending`` and ``flamingoladder.shares.bucket``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from minicheck import Protocol

from models.checked import CheckedModel

if TYPE_CHECKING:
    from collections.abc import Iterator

UNITS = 3
TERM = 2
DRIFT = 1
MAX_SEQUENCE = 4
GUARDS = (
    "is_newer",
    "is_answer_to_latest",
    "credited_once",
    "holding_voids_question",
    "term_from_before_asking",
    "drift_on_term",
    "expires_before_spending",
    "deducts_before_answer",
)


class State(NamedTuple):
    """``lent`` is the owner's account of what the taker holds, ``borrowed`` the taker's own.

    The ``_left`` fields count ticks to the end of the term. ``asked`` is the latest question that
    may still be credited, 0 if there is none, ``asked_left`` the term that its answer would have.
    """

    lent: int = 0
    lent_left: int = 0
    heard: int = 0
    borrowed: int = 0
    borrowed_left: int = 0
    sequence: int = 0
    asked: int = 0
    asked_left: int = 0
    slow: int = 0
    holdings: frozenset[tuple[int, int, bool]] = frozenset()
    answers: frozenset[tuple[int, int]] = frozenset()


Step = tuple[str, State]


class Rules:
    """The steps of the model with the guards that are in place."""

    def __init__(self, guards: frozenset[str]) -> None:
        self.guards = guards

    def steps(self, state: tuple[Any, ...]) -> list[Step]:
        """Return each possible step and the state after it."""
        now = State(*state)
        return [
            *self._tick(now),
            *self._ask(now),
            *self._give_back(now),
            *self._answer(now),
            *self._credit(now),
        ]

    def _tick(self, now: State) -> Iterator[Step]:
        yield "tick", self._passed(now, 1)
        if now.slow == 0:
            yield "tick missed by taker", self._passed(now, 0)._replace(slow=1)

    def _passed(self, now: State, taker: int) -> State:
        lent_left = max(0, now.lent_left - 1)
        borrowed_left = max(0, now.borrowed_left - taker)
        expires = "expires_before_spending" in self.guards and borrowed_left == 0
        after = now._replace(
            lent=now.lent if lent_left else 0,
            lent_left=lent_left,
            borrowed=0 if expires else now.borrowed,
            borrowed_left=borrowed_left,
            asked_left=max(0, now.asked_left - taker),
        )
        return after._replace(slow=0) if after.lent == 0 else after

    def _ask(self, now: State) -> Iterator[Step]:
        if now.sequence == MAX_SEQUENCE:
            return
        sequence = now.sequence + 1
        for units in range(now.borrowed + 1):
            yield f"ask, holding {units}", now._replace(
                sequence=sequence,
                borrowed=units,
                asked=sequence,
                asked_left=TERM,
                holdings=now.holdings | {(sequence, units, True)},
            )

    def _give_back(self, now: State) -> Iterator[Step]:
        if now.sequence == MAX_SEQUENCE or now.borrowed == 0:
            return
        sequence = now.sequence + 1
        voided = "holding_voids_question" in self.guards
        yield "give back", now._replace(
            sequence=sequence,
            borrowed=now.borrowed - 1,
            asked=0 if voided else now.asked,
            holdings=now.holdings | {(sequence, now.borrowed - 1, False)},
        )

    def _answer(self, now: State) -> Iterator[Step]:
        for sequence, units, asks in now.holdings:
            if "is_newer" in self.guards and sequence <= now.heard:
                continue
            lent = min(now.lent, units)
            heard = now._replace(heard=sequence, lent=lent)
            if not asks:
                yield f"take back after {sequence}", heard
                continue
            for granted in range(1, UNITS - lent + 1):
                deducted = granted if "deducts_before_answer" in self.guards else 0
                margin = DRIFT if "drift_on_term" in self.guards else 0
                yield f"answer {sequence} with {granted}", heard._replace(
                    lent=lent + deducted,
                    lent_left=TERM + margin,
                    answers=now.answers | {(sequence, granted)},
                )

    def _credit(self, now: State) -> Iterator[Step]:
        for sequence, units in now.answers:
            latest = sequence == now.asked or "is_answer_to_latest" not in self.guards
            if now.asked == 0 or not latest or now.borrowed + units > UNITS:
                continue
            strict = "term_from_before_asking" in self.guards
            left = now.asked_left if strict else TERM
            credited = now.borrowed + units if left else now.borrowed
            yield f"credit {units} of {sequence}", now._replace(
                borrowed=credited,
                borrowed_left=left if left else now.borrowed_left,
                asked=0 if "credited_once" in self.guards else now.asked,
            )


def conserved(state: dict[str, Any]) -> bool:
    """The owner and the taker never hold more than the allowance together."""
    return bool(UNITS - state["lent"] + state["borrowed"] <= UNITS)


def build(guards: frozenset[str]) -> Protocol:
    """Return the model with the given guards."""
    return Protocol(
        name="loans",
        candidate=True,
        fields=State._fields,
        initial=State(),
        transitions=Rules(guards).steps,
        invariants={"units_conserved": conserved},
    )


MODELS = (
    CheckedModel(
        name="loans",
        build=build,
        guards=GUARDS,
        witnesses={
            "all units lent": lambda state: state["borrowed"] == UNITS,
            "lent and lost": lambda state: state["lent"] > 0 and state["borrowed"] == 0,
        },
    ),
)
