"""A token bucket whose units are conserved over all hosts together.

An allowance of burst B is B units, each a token or room for one. Refill turns room into tokens at
the host's share of the rate, spending turns a token into room, and a loan moves units and parts of
the rate from one host to another for a term. The hosts' units add up to B at most and their rates
to the allowance's rate at most, at any moment; so does every window of time.

Amounts are in nano-units, rates in nano-units per second, times in monotonic seconds.
"""

from __future__ import annotations

from math import inf

NANOS_PER_UNIT = 1_000_000_000


class Loan:
    """Units and rate on loan until ``expires_at``."""

    __slots__ = ("expires_at", "rate", "units")

    def __init__(self, units: int, rate: int, expires_at: float) -> None:
        self.units = units
        self.rate = rate
        self.expires_at = expires_at

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is on loan."""
        return not self.units and not self.rate


class Part:
    """A host's own part of an allowance."""

    __slots__ = ("rate", "units")

    def __init__(self, units: int, rate: int) -> None:
        self.units = units
        self.rate = rate


class Bucket:
    """One host's units of one allowance.

    ``units`` is what the host holds now: its own part, less what it has lent, plus what it has
    borrowed. ``tokens`` of these are filled. Only the own part is lent on, so that a loan never
    depends on another one.
    """

    __slots__ = (
        "_grow_at",
        "_grown",
        "_next_event_at",
        "_updated_at",
        "borrowed_by_host",
        "lent_by_host",
        "own",
        "rate",
        "tokens",
        "units",
    )

    def __init__(self, now: float) -> None:
        self.own = Part(0, 0)
        self.units = 0
        self.rate = 0
        self.tokens = 0
        self.borrowed_by_host: dict[str, Loan] = {}
        self.lent_by_host: dict[str, Loan] = {}
        self._grown: Part | None = None
        self._grow_at = inf
        self._next_event_at = inf
        self._updated_at = now

    @property
    def room(self) -> int:
        """Return the units that are not tokens."""
        return self.units - self.tokens

    @property
    def lendable_units(self) -> int:
        """Return the own units that are not lent."""
        return self.own.units - sum(loan.units for loan in self.lent_by_host.values())

    @property
    def lendable_rate(self) -> int:
        """Return the own rate that is not lent."""
        return self.own.rate - sum(loan.rate for loan in self.lent_by_host.values())

    def divide(self, part: Part, grow_at: float, now: float, *, follows: bool) -> None:
        """Take ``part`` as the own part, and end all loans.

        What shrinks does so at once. What grows does so at ``grow_at`` and starts as room, as its
        earlier owner may have spent it a moment before. Nothing is kept unless the division
        ``follows`` the one in which the units were held.
        """
        kept = Part(min(self.units, part.units), min(self.rate, part.rate))
        kept = kept if follows else Part(0, 0)
        self.rate = kept.rate
        self._refill(now)
        self.own = kept
        self.borrowed_by_host.clear()
        self.lent_by_host.clear()
        self._grown = part
        self._grow_at = grow_at
        self._recount()

    def grow_from(self, grow_at: float) -> None:
        """Set when the whole own part may be taken, if it isn't yet."""
        if self._grown is not None:
            self._grow_at = grow_at
            self._recount()

    def grow(self, now: float) -> None:
        """Take the whole own part now; the units that come with it are room."""
        self.advance(now)
        self._grow()

    def _grow(self) -> None:
        if self._grown is not None:
            self.own = self._grown
        self._grown = None
        self._grow_at = inf
        self._recount()

    def advance(self, now: float) -> None:
        """Refill up to ``now``, and end what has expired on the way at its own time."""
        while self._next_event_at <= now:
            at = max(self._next_event_at, self._updated_at)
            self._refill(at)
            self._expire(at)
        self._refill(now)

    def spend(self, now: float) -> bool:
        """Spend a unit's worth of tokens, if there is one."""
        self.advance(now)
        if self.tokens < NANOS_PER_UNIT:
            return False
        self.tokens -= NANOS_PER_UNIT
        return True

    def seconds_until(self, tokens: int) -> float:
        """Return how long the refill takes until the bucket has ``tokens``."""
        if self.tokens >= tokens:
            return 0.0
        return (tokens - self.tokens) / self.rate if self.rate else inf

    def lend(self, taker: str, loan: Loan, tokens: int) -> None:
        """Deduct units, rate and ``tokens`` on top of what ``taker`` holds already."""
        lent = self.lent_by_host.setdefault(taker, Loan(0, 0, 0.0))
        lent.units += loan.units
        lent.rate += loan.rate
        lent.expires_at = loan.expires_at
        self.tokens -= tokens
        self._recount()

    def take_back(self, taker: str, units: int, rate: int) -> None:
        """Take back, as room, what ``taker`` no longer holds."""
        lent = self.lent_by_host.get(taker)
        if lent is None:
            return
        lent.units = min(lent.units, units)
        lent.rate = min(lent.rate, rate)
        self._recount()

    def borrow(self, giver: str, loan: Loan, tokens: int) -> None:
        """Credit units, rate and ``tokens`` on top of what is held from ``giver`` already."""
        borrowed = self.borrowed_by_host.setdefault(giver, Loan(0, 0, 0.0))
        borrowed.units += loan.units
        borrowed.rate += loan.rate
        borrowed.expires_at = loan.expires_at
        self._recount()
        self.tokens = min(self.tokens + tokens, self.units)

    def give_back(self, giver: str, units: int, rate: int, tokens: int) -> None:
        """Let go of a part of what is held from ``giver``; ``tokens`` of it are filled."""
        borrowed = self.borrowed_by_host[giver]
        borrowed.units -= units
        borrowed.rate -= rate
        self.tokens -= tokens
        self._recount()

    def _refill(self, now: float) -> None:
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0:
            return
        self._updated_at = now
        self.tokens = min(self.tokens + int(self.rate * elapsed_s), self.units)

    def _expire(self, now: float) -> None:
        for loans_by_host in (self.borrowed_by_host, self.lent_by_host):
            for host in [host for host, loan in loans_by_host.items() if loan.expires_at <= now]:
                del loans_by_host[host]
        if self._grow_at <= now:
            self._grow()
        self._recount()

    def _recount(self) -> None:
        borrowed = self.borrowed_by_host.values()
        for loans_by_host in (self.borrowed_by_host, self.lent_by_host):
            for host in [host for host, loan in loans_by_host.items() if loan.is_empty]:
                del loans_by_host[host]
        self.units = self.lendable_units + sum(loan.units for loan in borrowed)
        self.rate = self.lendable_rate + sum(loan.rate for loan in borrowed)
        self.tokens = min(self.tokens, self.units)
        expiries = [loan.expires_at for loan in borrowed]
        expiries += [loan.expires_at for loan in self.lent_by_host.values()]
        self._next_event_at = min(expiries, default=inf)
        self._next_event_at = min(self._next_event_at, self._grow_at)
