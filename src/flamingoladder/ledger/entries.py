"""In-memory entries of the requests that this host has accepted."""

from __future__ import annotations

import asyncio
from enum import Enum
from enum import auto
from typing import TYPE_CHECKING

from flamingoladder.ledger.rows import StoredOutcome
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterator

    from flamingoladder.verdict import Outcome

MAX_ENTRIES = 50_000
MAX_CACHED_BYTES = 8 * 1024 * 1024

ANSWER_NOT_KEPT = Refusal(
    Verdict.RAN, Reason.ANSWER_NOT_KEPT, "the request ran, but its answer was not kept"
)


class EntryState(Enum):
    """The state of a request on this host.

    ``CLAIMED`` is the only state that allows dispatch; ``ABANDONED`` and ``DONE`` are final.
    """

    CLAIMING = auto()
    CLAIMED = auto()
    RUNNING = auto()
    DONE = auto()
    ABANDONED = auto()


class Entry:
    """A request under an idempotency key.

    ``attempt`` numbers this host's claims from 1; it is 0 for a ticket, which needs no claim.
    ``revision`` is that of the claim row, in the store's ``era``, or None for a ticket, which has
    no row before its outcome. ``claim_in_doubt`` is set when the answer to a write of the claim is
    lost, ``claim_failure`` when the claim is abandoned before the state of its row is known.
    ``retain_until`` and ``expires_at`` are monotonic time in seconds: the entry is kept at least
    until ``retain_until``, and ``expires_at`` is None until the outcome is in the table.
    ``outcome_future`` delivers the outcome to all waiting requests and is None afterwards;
    ``cached_outcome`` then holds the outcome until the table does.
    """

    __slots__ = (
        "attempt",
        "cached_outcome",
        "claim_failure",
        "claim_in_doubt",
        "digest",
        "era",
        "expires_at",
        "outcome_future",
        "retain_until",
        "revision",
        "row_key",
        "state",
    )

    def __init__(self, row_key: str, attempt: int, digest: str, retain_until: float) -> None:
        self.row_key = row_key
        self.attempt = attempt
        self.digest = digest
        self.retain_until = retain_until
        self.state = EntryState.CLAIMING
        self.revision: int | None = None
        self.era = 0
        self.claim_in_doubt = False
        self.claim_failure: Reason | None = None
        self.cached_outcome: StoredOutcome | None = None
        self.expires_at: float | None = None
        self.outcome_future: asyncio.Future[Outcome] | None = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def in_progress(self) -> bool:
        """Return whether the request may still be dispatched or is running."""
        return self.state in (EntryState.CLAIMING, EntryState.CLAIMED, EntryState.RUNNING)

    def finish(self, state: EntryState, outcome: Outcome) -> None:
        """Set the final state, and deliver the outcome to all waiting requests."""
        self.state = state
        assert self.outcome_future is not None
        self.outcome_future.set_result(outcome)
        self.outcome_future = None


class Entries:
    """Entries by row key, bounded in number and in bytes of cached answers.

    An entry whose outcome is not in the table yet is never evicted.
    """

    __slots__ = ("_cached_bytes", "by_row_key")

    def __init__(self) -> None:
        self.by_row_key: dict[str, Entry] = {}
        self._cached_bytes = 0

    def __iter__(self) -> Iterator[Entry]:
        return iter(self.by_row_key.values())

    @property
    def has_room(self) -> bool:
        """Return whether one more entry fits."""
        return len(self.by_row_key) < MAX_ENTRIES

    def add(self, entry: Entry) -> None:
        """Add an entry under its row key."""
        self.by_row_key[entry.row_key] = entry

    def cache_outcome(self, entry: Entry, outcome: Outcome) -> None:
        """Cache the outcome of an entry, or only that it ran if there is no room for the answer."""
        cached = StoredOutcome.from_outcome(outcome)
        if self._cached_bytes + cached.size_bytes > MAX_CACHED_BYTES:
            cached = StoredOutcome(refusal=ANSWER_NOT_KEPT)
        self._cached_bytes += cached.size_bytes
        entry.cached_outcome = cached

    def mark_written(self, entry: Entry, now: float) -> None:
        """Drop the cached outcome, which is now in the table, and set when the entry expires."""
        self._drop_cached_outcome(entry)
        entry.expires_at = max(now, entry.retain_until)
        if entry.expires_at <= now:
            self.remove(entry)

    def add_closed(self, row_key: str, retain_until: float, refusal: Outcome) -> None:
        """Add an abandoned entry, so that nothing is ever dispatched under ``row_key``."""
        entry = Entry(row_key, 0, "", retain_until)
        entry.finish(EntryState.ABANDONED, refusal)
        entry.cached_outcome = StoredOutcome.from_outcome(refusal)
        entry.expires_at = retain_until
        self.add(entry)

    def remove(self, entry: Entry) -> None:
        """Remove an entry, unless a later attempt has replaced it."""
        self._drop_cached_outcome(entry)
        if self.by_row_key.get(entry.row_key) is entry:
            del self.by_row_key[entry.row_key]

    def remove_expired(self, now: float) -> None:
        """Remove the entries that have expired."""
        expired = [each for each in self if each.expires_at is not None and each.expires_at <= now]
        for entry in expired:
            self.remove(entry)

    def _drop_cached_outcome(self, entry: Entry) -> None:
        if entry.cached_outcome is not None:
            self._cached_bytes -= entry.cached_outcome.size_bytes
            entry.cached_outcome = None
