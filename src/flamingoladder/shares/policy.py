"""When to ask for a loan, and how much of one is fair between two hosts."""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING

from flamingoladder.shares.bucket import NANOS_PER_UNIT

if TYPE_CHECKING:
    from flamingoladder.shares.messages import Standing

UNITS_FLOOR_SHARE = 1.0
UNITS_FLOOR_RATE = NANOS_PER_UNIT
RATE_FLOOR_SHARE = 0.01
RATE_SLACK = 0.2
DEMAND_KNOWN_S = 1.0
FORECAST_DEVIATIONS = 2.0


class LoanSize:
    """How much of an allowance moves: ``tokens`` are the filled part of ``units``."""

    __slots__ = ("rate", "tokens", "units")

    def __init__(self, units: int, rate: int, tokens: int) -> None:
        self.units = units
        self.rate = rate
        self.tokens = tokens


class Fairness:
    """Divides what two hosts hold together by their demand.

    ``mean_rate`` is an equal part of the allowance's rate. A share of it is added to each host's
    demand, so that a host without arrivals keeps something for the first one.
    """

    __slots__ = ("_mean_rate",)

    def __init__(self, mean_rate: int) -> None:
        self._mean_rate = mean_rate

    def loan(self, giver: Standing, taker: Standing) -> LoanSize:
        """Return what ``giver`` should let ``taker`` have."""
        share = self._units_share(taker, giver)
        tokens = _whole(int((giver.tokens + taker.tokens) * share)) - taker.tokens
        tokens = min(tokens, giver.units - NANOS_PER_UNIT)
        tokens = max(0, tokens, _urgent(giver, taker))
        units = int((giver.units + taker.units) * share) - taker.units
        units = min(units, giver.units - NANOS_PER_UNIT)
        units = max(tokens, min(units, giver.units - giver.tokens + tokens))
        return LoanSize(units, max(0, self._rate_gap(giver, taker)), tokens)

    def surplus(self, holder: Standing, giver: Standing) -> LoanSize:
        """Return what ``holder`` should give back to ``giver``, as room."""
        share = self._units_share(giver, holder)
        units = int((giver.units + holder.units) * share) - giver.units
        units = max(0, min(units, holder.units - holder.tokens))
        return LoanSize(units, max(0, self._rate_gap(holder, giver)), 0)

    def _units_share(self, host: Standing, other: Standing) -> float:
        floor = self._mean_rate * UNITS_FLOOR_SHARE + UNITS_FLOOR_RATE
        mine = host.demand + floor
        return mine / (mine + other.demand + floor)

    def _rate_gap(self, giver: Standing, taker: Standing) -> int:
        floor = self._mean_rate * RATE_FLOOR_SHARE
        mine = taker.demand + floor
        share = mine / (mine + giver.demand + floor)
        gap = int((giver.rate + taker.rate) * share) - taker.rate
        return gap if gap > taker.rate * RATE_SLACK else 0


def _whole(tokens: int) -> int:
    return tokens - tokens % NANOS_PER_UNIT


def _urgent(giver: Standing, taker: Standing) -> int:
    """Return what held requests need, in whole tokens at the taker if it reaches for one."""
    free = max(0, giver.tokens - giver.waiting)
    needed = taker.waiting - taker.tokens
    if needed <= free:
        return needed
    whole = _whole(taker.tokens + free) - taker.tokens
    return whole if whole > 0 else free


def tokens_wanted(demand: int, round_trip_s: float) -> int:
    """Return the tokens that the arrivals of one round trip will want, with a margin."""
    arrivals = demand / NANOS_PER_UNIT * round_trip_s
    wanted = 1 + arrivals + FORECAST_DEVIATIONS * sqrt(arrivals)
    return int(wanted * NANOS_PER_UNIT)


def forecast(standing: Standing, age_s: float) -> Standing:
    """Return what a host probably holds ``age_s`` seconds after it said ``standing``."""
    used = standing.demand if age_s < DEMAND_KNOWN_S else 0
    gained = int((standing.rate - used) * age_s)
    tokens = min(max(standing.tokens + gained, 0), standing.units)
    return type(standing)(tokens, standing.units, standing.rate, standing.demand, 0)
