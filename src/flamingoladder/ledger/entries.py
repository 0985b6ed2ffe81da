"""One host's memory of the requests that it has accepted."""

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
MAX_KEPT_BYTES = 8 * 1024 * 1024

ANSWER_NOT_KEPT = Refusal(
    Verdict.RAN, Reason.ANSWER_NOT_KEPT, "the request ran, but its answer was not kept"
)


class EntryState(Enum):
    """How far a request has come on this host.

    ``HELD`` is the only state that allows dispatch; ``GIVEN_UP`` and ``DONE`` are final.
    """

    CLAIMING = auto()
    HELD = auto()
    RUNNING = auto()
    DONE = auto()
    GIVEN_UP = auto()


class Entry:
    """A request under an idempotency key.

    ``revision`` is that of the claim row, or None for a ticket, which has no row before its
    outcome. ``claim_in_doubt`` is set once the answer to a write of the claim was lost,
    ``unclaimed`` once the claim was given up with nothing known of the key.
    ``remembered_until`` and ``forget_at`` are monotonic time in seconds; the latter is
    None until the outcome is in the table. ``finished`` brings the outcome to all who wait for it;
    it is None afterwards, when ``kept`` holds the outcome until the table does.
    """

    __slots__ = (
        "attempt",
        "claim_in_doubt",
        "digest",
        "finished",
        "forget_at",
        "kept",
        "name",
        "remembered_until",
        "revision",
        "state",
        "unclaimed",
    )

    def __init__(self, name: str, attempt: int, digest: str, remembered_until: float) -> None:
        self.name = name
        self.attempt = attempt
        self.digest = digest
        self.remembered_until = remembered_until
        self.state = EntryState.CLAIMING
        self.revision: int | None = None
        self.claim_in_doubt = False
        self.unclaimed: Reason | None = None
        self.kept: StoredOutcome | None = None
        self.forget_at: float | None = None
        self.finished: asyncio.Future[Outcome] | None = asyncio.get_running_loop().create_future()

    @property
    def in_progress(self) -> bool:
        """Return whether the request may still be dispatched or is running."""
        return self.state in (EntryState.CLAIMING, EntryState.HELD, EntryState.RUNNING)

    def finish(self, state: EntryState, outcome: Outcome) -> None:
        """Bring the outcome to all who wait for it."""
        self.state = state
        assert self.finished is not None
        self.finished.set_result(outcome)
        self.finished = None


class Entries:
    """Entries by name, bounded in number and in kept bytes.

    An entry whose outcome has not reached the table is never dropped to make room.
    """

    __slots__ = ("_kept_bytes", "by_name")

    def __init__(self) -> None:
        self.by_name: dict[str, Entry] = {}
        self._kept_bytes = 0

    def __iter__(self) -> Iterator[Entry]:
        return iter(self.by_name.values())

    @property
    def has_room(self) -> bool:
        """Return whether one more entry fits."""
        return len(self.by_name) < MAX_ENTRIES

    def add(self, entry: Entry) -> None:
        """Remember an entry under its name."""
        self.by_name[entry.name] = entry

    def keep(self, entry: Entry, outcome: Outcome) -> None:
        """Keep the outcome of an entry, or only that it ran if there is no room for the answer."""
        kept = StoredOutcome.of(outcome)
        if self._kept_bytes + kept.size_bytes > MAX_KEPT_BYTES:
            kept = StoredOutcome(refusal=ANSWER_NOT_KEPT)
        self._kept_bytes += kept.size_bytes
        entry.kept = kept

    def written(self, entry: Entry, now: float) -> None:
        """Note that the entry's outcome is in the table, where repeats will find it."""
        self._drop_kept(entry)
        entry.forget_at = max(now, entry.remembered_until)
        if entry.forget_at <= now:
            self.remove(entry)

    def add_closed(self, name: str, remembered_until: float, refusal: Outcome) -> None:
        """Remember that nothing is ever dispatched under ``name``."""
        entry = Entry(name, 0, "", remembered_until)
        entry.finish(EntryState.GIVEN_UP, refusal)
        entry.kept = StoredOutcome.of(refusal)
        entry.forget_at = remembered_until
        self.add(entry)

    def remove(self, entry: Entry) -> None:
        """Drop an entry, unless a later attempt has taken its name."""
        self._drop_kept(entry)
        if self.by_name.get(entry.name) is entry:
            del self.by_name[entry.name]

    def forget(self, now: float) -> None:
        """Drop the entries whose time has come."""
        old = [each for each in self if each.forget_at is not None and each.forget_at <= now]
        for entry in old:
            self.remove(entry)

    def _drop_kept(self, entry: Entry) -> None:
        if entry.kept is not None:
            self._kept_bytes -= entry.kept.size_bytes
            entry.kept = None
