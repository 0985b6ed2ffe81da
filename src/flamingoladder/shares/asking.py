"""Which hosts to ask for a loan, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.shares.bucket import NANOS_PER_UNIT
from flamingoladder.shares.policy import tokens_wanted

if TYPE_CHECKING:
    from collections.abc import Mapping

    from flamingoladder.config.model import Places
    from flamingoladder.members.state import Member
    from flamingoladder.shares.lending import Lending

MAX_ASKED = 3
MIN_EXPECTED = NANOS_PER_UNIT // 4
NEARNESS_S = 0.005
MS_PER_S = 1_000


def round_trip_s(places: Places, here: Member, there: Member) -> float:
    """Return the declared round trip between two hosts, in seconds."""
    same_region = here.region == there.region
    delays = places.delays
    one_way_ms = delays.between_domains_ms if same_region else delays.between_regions_ms
    return 2 * one_way_ms / MS_PER_S


class Candidate:
    """A host that may be asked, with the tokens expected from it."""

    __slots__ = ("expected", "host", "score")

    def __init__(self, host: str, expected: int, round_trip_s: float) -> None:
        self.host = host
        self.expected = expected
        self.score = expected / (round_trip_s + NEARNESS_S)


def hosts_to_ask(
    lending: Lending, round_trips: Mapping[str, float], underway: int, now: float
) -> list[Candidate]:
    """Return the hosts to ask for tokens now, the best first.

    ``round_trips`` has the seconds to each host that can be asked; ``underway`` is the number of
    tokens expected from questions that are on their way.
    """
    mine = lending.standing(now)
    missing = mine.waiting - mine.tokens - underway
    found = []
    short = 0
    longest = max(round_trips.values(), default=0.0)
    for host, trip_s in round_trips.items():
        short_here = missing if mine.waiting else missing + tokens_wanted(mine.demand, longest)
        if short_here <= 0:
            continue
        short = max(short, short_here)
        expected = _expected(lending, host, now)
        if expected >= min(MIN_EXPECTED, short_here):
            found.append(Candidate(host, expected, trip_s))
    return _enough(sorted(found, key=lambda candidate: -candidate.score), short)


def _expected(lending: Lending, host: str, now: float) -> int:
    giver = lending.forecast_of(host, now)
    if giver is None:
        return NANOS_PER_UNIT
    return lending.fairness.loan(giver, lending.standing(now)).tokens


def _enough(candidates: list[Candidate], short: int) -> list[Candidate]:
    chosen = []
    for candidate in candidates[:MAX_ASKED]:
        if short <= 0:
            break
        chosen.append(candidate)
        short -= candidate.expected
    return chosen
