"""One host's side of the loans of one allowance.

Every message that asks states what the sender still holds from the receiver. So a lost message
loses nothing for longer than until the next one, and what a dead host holds comes back when the
term is over: the taker counts the term from before it asked, the giver from when it answered, with
the drift of clocks on top.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.shares.bucket import NANOS_PER_UNIT
from flamingoladder.shares.bucket import Bucket
from flamingoladder.shares.bucket import Loan
from flamingoladder.shares.bucket import Part
from flamingoladder.shares.demand import Demand
from flamingoladder.shares.messages import Holding
from flamingoladder.shares.messages import LoanAnswer
from flamingoladder.shares.messages import LoanQuestion
from flamingoladder.shares.messages import Standing
from flamingoladder.shares.policy import Fairness
from flamingoladder.shares.policy import LoanSize
from flamingoladder.shares.policy import forecast
from flamingoladder.shares.policy import tokens_wanted

if TYPE_CHECKING:
    from flamingoladder.shares.division import Division

LOAN_TERM_S = 3.0
TOLD_LATELY_S = 3.0
LOOK_AGAIN_S = 0.01
MIN_RETURNED = NANOS_PER_UNIT // 5


class Asked:
    """A question whose answer may still be credited."""

    __slots__ = ("sent_at", "sequence")

    def __init__(self, sequence: int, sent_at: float) -> None:
        self.sequence = sequence
        self.sent_at = sent_at


class Told:
    """A host's standing, and when it was heard."""

    __slots__ = ("at", "standing")

    def __init__(self, standing: Standing, at: float) -> None:
        self.standing = standing
        self.at = at


class Lending:
    """The bucket of one allowance at one host, and its loans to and from other hosts."""

    __slots__ = (
        "_asked_by_host",
        "_drift",
        "_heard_by_host",
        "_look_again_at",
        "_mean_units",
        "_others",
        "_sequence",
        "allowance",
        "bucket",
        "demand",
        "division_version",
        "fairness",
        "told_by_host",
        "waiting",
    )

    def __init__(self, allowance: str, drift: float, now: float) -> None:
        self.allowance = allowance
        self.bucket = Bucket(now)
        self.demand = Demand(now)
        self.division_version = 0
        self.waiting = 0
        self.told_by_host: dict[str, Told] = {}
        self._drift = drift
        self.fairness = Fairness(0)
        self._look_again_at = 0.0
        self._mean_units = 0
        self._others = 0
        self._sequence = 0
        self._asked_by_host: dict[str, Asked] = {}
        self._heard_by_host: dict[str, int] = {}

    def adopt(
        self, division: Division, part: Part, grow_at: float, now: float, *, follows: bool
    ) -> None:
        """Go over to ``division``, in which this host owns ``part``."""
        total = division.total_by_allowance.get(self.allowance, Part(0, 0))
        count = max(len(division.members), 1)
        self.fairness = Fairness(total.rate // count)
        self._mean_units = total.units // count
        self._others = count - 1
        self.division_version = division.version
        self._asked_by_host.clear()
        self._heard_by_host.clear()
        self.told_by_host.clear()
        self.bucket.divide(part, grow_at, now, follows=follows)

    def standing(self, now: float) -> Standing:
        """Return this host's standing at ``now``."""
        self.bucket.advance(now)
        return Standing(
            self.bucket.tokens,
            self.bucket.units,
            self.bucket.rate,
            int(self.demand.per_s(now) * NANOS_PER_UNIT),
            self.waiting * NANOS_PER_UNIT,
        )

    def is_short(self, round_trip_s: float, now: float) -> bool:
        """Return whether the tokens may run out within a round trip."""
        demand = int(self.demand.per_s(now) * NANOS_PER_UNIT)
        return self.waiting > 0 or self.bucket.tokens < tokens_wanted(demand, round_trip_s)

    def should_renew(self, giver: str, now: float) -> bool:
        """Return whether ``giver`` is to be asked even without a shortage of tokens.

        Loans are renewed well before their term is over, and rate is asked for where there is more
        of it for each arrival.
        """
        if giver in self.bucket.borrowed_by_host:
            return True
        theirs = self.forecast_of(giver, now)
        mine = self.standing(now)
        if theirs is None:
            return mine.demand > mine.rate
        return self.fairness.loan(theirs, mine).rate > 0

    def forecast_of(self, host: str, now: float) -> Standing | None:
        """Return what ``host`` probably holds now, or None if nothing was heard lately."""
        told = self.told_by_host.get(host)
        if told is None or now - told.at > TOLD_LATELY_S:
            return None
        return forecast(told.standing, now - told.at)

    def owed_hosts(self, now: float) -> list[str]:
        """Return the hosts that should have room back before the next renewal."""
        if now < self._look_again_at:
            return []
        self._look_again_at = now + LOOK_AGAIN_S
        return [giver for giver in self.bucket.borrowed_by_host if self._owes(giver, now)]

    def _owes(self, giver: str, now: float) -> bool:
        borrowed = self.bucket.borrowed_by_host[giver]
        told = self.told_by_host.get(giver)
        if told is None or borrowed.units < MIN_RETURNED:
            return False
        return self.fairness.surplus(self.standing(now), told.standing).units >= MIN_RETURNED

    def tokens_within(self, hold_s: float, now: float) -> int:
        """Return the tokens that may come within ``hold_s`` seconds, here and from others."""
        coming = int(self.bucket.rate * hold_s) + NANOS_PER_UNIT
        known = [self.forecast_of(host, now) for host in self.told_by_host]
        known_tokens = [standing.tokens for standing in known if standing is not None]
        unknown = self._others - len(known_tokens)
        return coming + sum(known_tokens) + unknown * self._mean_units

    def question(self, giver: str, now: float) -> LoanQuestion:
        """Return a question to ``giver``, after letting go of what it should have back."""
        self._release(giver, now)
        holding = self._state_holding(giver)
        self._asked_by_host[giver] = Asked(holding.sequence, now)
        return LoanQuestion(self.allowance, self.division_version, holding, self.standing(now))

    def answer(self, taker: str, question: LoanQuestion, now: float) -> LoanAnswer | None:
        """Return the answer to a question, after deducting what it grants."""
        if not self._is_same_division(question.division_version):
            return None
        if not self._is_newer(taker, question.holding.sequence):
            return None
        self.bucket.advance(now)
        self._take_back(taker, question.holding)
        self.told_by_host[taker] = Told(question.standing, now)
        size = self.fairness.loan(self.standing(now), question.standing)
        returned = self._return(taker, size)
        lent = self._lend(taker, size, returned, now)
        holding = self._state_holding(taker) if returned.units or returned.rate else None
        tokens = returned.tokens + lent.tokens
        return LoanAnswer(
            self.allowance,
            self.division_version,
            question.holding.sequence,
            lent.units,
            lent.rate,
            tokens,
            self.standing(now),
            holding,
        )

    def credit(self, giver: str, answer: LoanAnswer, now: float) -> None:
        """Credit an answer, if it belongs to the latest question and wasn't credited before."""
        if not self._is_same_division(answer.division_version):
            return
        if not self._is_answer_to_latest(giver, answer):
            return
        asked = self._asked_by_host.pop(giver)
        self.bucket.advance(now)
        self.told_by_host[giver] = Told(answer.standing, now)
        if answer.holding is not None and self._is_newer(giver, answer.holding.sequence):
            self._take_back(giver, answer.holding)
        loan = Loan(answer.units, answer.rate, asked.sent_at + LOAN_TERM_S)
        self.bucket.borrow(giver, loan, answer.tokens)
        self.bucket.advance(now)

    def _is_same_division(self, version: int) -> bool:
        return version == self.division_version

    def _is_newer(self, host: str, sequence: int) -> bool:
        return sequence > self._heard_by_host.get(host, 0)

    def _is_answer_to_latest(self, giver: str, answer: LoanAnswer) -> bool:
        asked = self._asked_by_host.get(giver)
        return asked is not None and asked.sequence == answer.sequence

    def _take_back(self, taker: str, holding: Holding) -> None:
        self._heard_by_host[taker] = holding.sequence
        self.bucket.take_back(taker, holding.units, holding.rate)

    def _state_holding(self, giver: str) -> Holding:
        self._sequence += 1
        self._asked_by_host.pop(giver, None)
        borrowed = self.bucket.borrowed_by_host.get(giver)
        if borrowed is None:
            return Holding(self._sequence, 0, 0)
        return Holding(self._sequence, borrowed.units, borrowed.rate)

    def _release(self, giver: str, now: float) -> None:
        self.bucket.advance(now)
        borrowed = self.bucket.borrowed_by_host.get(giver)
        told = self.told_by_host.get(giver)
        if borrowed is None or told is None:
            return
        surplus = self.fairness.surplus(self.standing(now), told.standing)
        units = min(surplus.units, borrowed.units)
        self.bucket.give_back(giver, units, min(surplus.rate, borrowed.rate), 0)

    def _return(self, owner: str, size: LoanSize) -> LoanSize:
        borrowed = self.bucket.borrowed_by_host.get(owner)
        if borrowed is None:
            return LoanSize(0, 0, 0)
        units = min(size.units, borrowed.units)
        returned = LoanSize(units, min(size.rate, borrowed.rate), min(size.tokens, units))
        self.bucket.give_back(owner, returned.units, returned.rate, returned.tokens)
        return returned

    def _lend(self, taker: str, size: LoanSize, returned: LoanSize, now: float) -> LoanSize:
        units = min(size.units - returned.units, self.bucket.lendable_units)
        rate = min(size.rate - returned.rate, self.bucket.lendable_rate)
        tokens = min(size.tokens - returned.tokens, units)
        expires_at = now + LOAN_TERM_S * (1 + self._drift)
        self.bucket.lend(taker, Loan(units, rate, expires_at), tokens)
        return LoanSize(units, rate, tokens)
