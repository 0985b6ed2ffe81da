"""Tests of loans between two hosts, driven by ``now``."""

from __future__ import annotations

import pytest

from flamingoladder.shares.bucket import NANOS_PER_UNIT
from flamingoladder.shares.bucket import Loan
from flamingoladder.shares.bucket import Part
from flamingoladder.shares.division import Division
from flamingoladder.shares.lending import LOAN_TERM_S
from flamingoladder.shares.lending import Lending

UNIT = NANOS_PER_UNIT
DRIFT = 0.01
FULL_S = 100.0
ALLOWANCE = "a"


def _lending(units: int = 10, rate: int = 10) -> Lending:
    total = Part(2 * units * UNIT, 2 * rate * UNIT)
    division = Division(1, {"giver": "1", "taker": "1"}, {ALLOWANCE: total})
    lending = Lending(ALLOWANCE, DRIFT, 0.0)
    lending.adopt(division, Part(units * UNIT, rate * UNIT), 0.0, 0.0, follows=False)
    lending.bucket.advance(FULL_S)
    return lending


def _spend_all(lending: Lending, now: float) -> None:
    while lending.bucket.spend(now):
        lending.demand.arrive(now)


def _units(*lendings: Lending) -> int:
    return sum(lending.bucket.units for lending in lendings)


def test_a_loan_moves_tokens_by_demand_and_conserves_units() -> None:
    giver, taker = _lending(), _lending()
    _spend_all(taker, FULL_S)
    answer = giver.answer("taker", taker.question("giver", FULL_S), FULL_S)
    assert answer is not None
    taker.credit("giver", answer, FULL_S)
    assert taker.bucket.tokens >= 5 * UNIT
    assert taker.bucket.tokens + giver.bucket.tokens == 10 * UNIT
    assert _units(giver, taker) == 20 * UNIT


def test_at_even_load_nothing_is_lent() -> None:
    giver, taker = _lending(), _lending()
    for lending in (giver, taker):
        lending.demand.arrive(FULL_S)
    answer = giver.answer("taker", taker.question("giver", FULL_S), FULL_S)
    assert answer is not None
    assert (answer.units, answer.rate, answer.tokens) == (0, 0, 0)


@pytest.mark.parametrize("lost", ["question", "answer"])
def test_the_next_question_heals_the_loss_of_a_message(lost: str) -> None:
    giver, taker = _lending(), _lending()
    _spend_all(taker, FULL_S)
    question = taker.question("giver", FULL_S)
    if lost == "answer":
        giver.answer("taker", question, FULL_S)
        assert _units(giver, taker) < 20 * UNIT
    later = FULL_S + 0.1
    answer = giver.answer("taker", taker.question("giver", later), later)
    assert answer is not None
    taker.credit("giver", answer, later)
    assert _units(giver, taker) == 20 * UNIT


def test_what_a_dead_taker_holds_comes_back_after_the_term() -> None:
    giver, taker = _lending(), _lending()
    _spend_all(taker, FULL_S)
    giver.answer("taker", taker.question("giver", FULL_S), FULL_S)
    giver.bucket.advance(FULL_S + LOAN_TERM_S)
    assert giver.bucket.units < 10 * UNIT
    giver.bucket.advance(FULL_S + LOAN_TERM_S * (1 + DRIFT))
    assert giver.bucket.units == 10 * UNIT


def test_a_taker_stops_using_a_loan_a_term_after_it_asked() -> None:
    giver, taker = _lending(), _lending()
    _spend_all(taker, FULL_S)
    answer = giver.answer("taker", taker.question("giver", FULL_S), FULL_S)
    assert answer is not None
    taker.credit("giver", answer, FULL_S + LOAN_TERM_S - 0.1)
    assert taker.bucket.units > 10 * UNIT
    taker.bucket.advance(FULL_S + LOAN_TERM_S)
    assert taker.bucket.units == 10 * UNIT


def test_borrowed_units_and_rate_are_not_lent_on() -> None:
    giver, taker = _lending(units=1, rate=1), _lending()
    giver.bucket.borrow("third", Loan(9 * UNIT, 9 * UNIT, FULL_S + 1), 9 * UNIT)
    _spend_all(taker, FULL_S)
    answer = giver.answer("taker", taker.question("giver", FULL_S), FULL_S)
    assert answer is not None
    assert answer.units <= UNIT
    assert answer.rate <= UNIT
    giver.bucket.advance(FULL_S + 1)
    assert giver.bucket.units >= 0


def test_units_are_given_back_to_the_host_that_lent_them() -> None:
    owner, holder = _lending(), _lending()
    _spend_all(holder, FULL_S)
    answer = owner.answer("taker", holder.question("giver", FULL_S), FULL_S)
    assert answer is not None
    holder.credit("giver", answer, FULL_S)
    later = FULL_S + 2.0
    _spend_all(owner, later)
    returned = holder.answer("giver", owner.question("taker", later), later)
    assert returned is not None
    assert returned.holding is not None
    owner.credit("taker", returned, later)
    assert _units(owner, holder) == 20 * UNIT
