"""At most once when the store goes back: claim rows are lost, and hosts write theirs again.

One key, a request at each of two hosts, a third request or a question for the outcome at the second
host, and one return from any older copy, in which revisions are given out again. Answers of the
table may be lost, hosts sleep by taking no step, and none ends: what holds when a holder dies is
written in ``docs/design/at-most-once.md``. Writes that are on their way when the store goes back
are lost with it.

``doubt_after_claim``, ``kept_if_trusted`` and ``era_of_found_row`` are checks of ``ClaimStore``,
``gave_up_is_not_restored``, ``all_know_the_era`` and ``settled_by_all`` those of ``EraRecovery``,
``era_of_revision`` that of ``OutcomeWriter``. No guard is made of rules whose absence others make
up for: that a row in doubt is not claimed, and that what ran replaces all else.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from minicheck import Protocol

from models.checked import CheckedModel

if TYPE_CHECKING:
    from collections.abc import Iterator

HOST_OF = (0, 1, 1)
LAST = 2
MAX_ERA = 1
ABSENT = 0
IN_PROGRESS = ("claim", "reading", "asking", "held", "ran", "writing")


class Row(NamedTuple):
    """A claim row: its attempt, ``claimed``, ``done`` or ``closed``, and its revision."""

    attempt: int
    state: str
    revision: int


class Attempt(NamedTuple):
    """One request; ``revision`` is the one that its next write needs, read in ``era``."""

    phase: str = "unsent"
    revision: int = ABSENT
    era: int = 0
    other: int = 0


class Host(NamedTuple):
    """What a host has in memory: ``kept`` is the row that it remembers.

    ``seen``, ``restored`` and ``settled`` are eras, ``found`` the revision that its kept row is to
    replace, None while it has not read it, and ``all_knew`` whether all knew the era then.
    """

    seen: int = 0
    restored: int = 0
    settled: int = 0
    kept: tuple[int, str] | None = None
    found: int | None = None
    all_knew: bool = False

    @property
    def is_in_doubt(self) -> bool:
        """Return whether an absent row may be a lost one."""
        return self.settled != self.seen


class State(NamedTuple):
    """The whole system; ``past`` holds every row and revision that the table had."""

    hosts: tuple[Host, ...] = (Host(), Host())
    attempts: tuple[Attempt, ...] = (Attempt(), Attempt(), Attempt())
    row: Row | None = None
    revision: int = ABSENT
    era: int = 0
    past: frozenset[tuple[Row | None, int]] = frozenset({(None, ABSENT)})
    runs: int = 0
    told_closed: bool = False


Step = tuple[str, State]


class ClaimEras:
    """The steps under a set of guards; the last attempt is a question if ``asks``."""

    __slots__ = ("_asks", "_guards")

    def __init__(self, guards: frozenset[str], *, asks: bool) -> None:
        self._guards = guards
        self._asks = asks

    def steps(self, state: Any) -> list[Step]:
        """Return all steps from ``state``."""
        state = State(*state)
        found = list(_returns(state))
        for number in range(len(HOST_OF)):
            found += self._attempt_steps(state, number)
        for host in range(len(state.hosts)):
            found += self._recovery_steps(state, host)
        return found

    def _has(self, guard: str) -> bool:
        return guard in self._guards

    def _is_question(self, number: int) -> bool:
        return self._asks and number == LAST

    def _attempt_steps(self, state: State, number: int) -> Iterator[Step]:
        attempt, host = state.attempts[number], state.hosts[HOST_OF[number]]
        match attempt.phase:
            case "unsent":
                if number == LAST and not self._asks and state.attempts[1].phase != "over":
                    return
                is_read = host.is_in_doubt or self._is_question(number)
                phase = "reading" if is_read else "claim"
                yield f"send {number}", _put(state, number, phase=phase)
            case "claim":
                yield from self._claim(state, number)
            case "reading":
                yield f"{number} reads", self._read(_learn(state, number), number)
            case "asking":
                yield from self._ask(state, number)
            case "held":
                ran = _put(state, number, phase="ran")
                yield f"{number} runs", ran._replace(runs=state.runs + 1)
                yield f"{number} gives up", _put(state, number, phase="releasing")
            case "ran" | "releasing":
                yield from self._finish(state, number)
            case "writing" | "deleting":
                yield from self._finish_alone(state, number)

    def _claim(self, state: State, number: int) -> Iterator[Step]:
        attempt = state.attempts[number]
        reading = {"phase": "reading", "revision": ABSENT}
        is_stale = attempt.era != state.hosts[HOST_OF[number]].seen
        if is_stale and attempt.revision != ABSENT and self._has("era_of_found_row"):
            yield f"claim {number} is stale", _put(state, number, **reading)
            return
        yield f"claim {number} lost", _put(state, number, **reading)
        if _revision(state) != attempt.revision:
            yield f"claim {number} refused", _put(_learn(state, number), number, **reading)
            return
        written = _write(state, number, "closed" if self._is_question(number) else "claimed")
        yield f"claim {number} lands, answer lost", _put(written, number, **reading)
        yield f"claim {number} lands", self._held(_learn(written, number), number)

    def _held(self, state: State, number: int) -> State:
        """Go on with a claim that is in the table, or a key that is closed."""
        host = state.hosts[HOST_OF[number]]
        is_question = self._is_question(number)
        if not host.is_in_doubt or not self._has("kept_if_trusted"):
            state = _keep(state, number, "closed" if is_question else "claimed")
        is_refused = host.is_in_doubt and self._has("doubt_after_claim")
        if is_question:
            told = state.told_closed or not is_refused
            return _put(state, number, phase="over")._replace(told_closed=told)
        phase = "releasing" if is_refused else "held"
        return _put(state, number, phase=phase, revision=_revision(state), era=state.era)

    def _read(self, state: State, number: int) -> State:
        row = state.row
        if row is None:
            return self._claimable(state, number, ABSENT)
        if row.attempt == number and row.state == "claimed":
            return self._held(state, number)
        if row.state == "closed" and self._is_question(number):
            return self._held(state, number)
        if row.state != "claimed":
            return _put(state, number, phase="over")
        return _put(
            state, number, phase="asking", revision=row.revision, era=state.era, other=row.attempt
        )

    def _claimable(self, state: State, number: int, revision: int) -> State:
        host = state.hosts[HOST_OF[number]]
        if host.is_in_doubt:
            return _put(state, number, phase="over")
        return _put(state, number, phase="claim", revision=revision)

    def _ask(self, state: State, number: int) -> Iterator[Step]:
        attempt = state.attempts[number]
        holder = state.attempts[attempt.other].phase
        yield f"{number} hears nothing", _put(state, number, phase="over")
        if holder not in IN_PROGRESS and holder not in ("written", "unsent"):
            yield f"{number} may claim", self._claimable(state, number, attempt.revision)

    def _finish(self, state: State, number: int) -> Iterator[Step]:
        """Write an outcome, or delete a claim, as part of a batch or after another read."""
        attempt, host = state.attempts[number], state.hosts[HOST_OF[number]]
        is_of_era = attempt.era == host.seen or not self._has("era_of_revision")
        if is_of_era and _revision(state) == attempt.revision:
            yield f"{number} finishes", self._finished(_learn(state, number), number)
            yield f"{number} finishes, answer lost", self._written(state, number)
        yield f"{number} reads to finish", self._read_to_finish(_learn(state, number), number)

    def _read_to_finish(self, state: State, number: int) -> State:
        row, is_outcome = state.row, state.attempts[number].phase == "ran"
        phase = "writing" if is_outcome else "deleting"
        if row is None and is_outcome:
            return _put(state, number, phase=phase, revision=ABSENT, era=state.era)
        if row is None or (row.attempt, row.state) != (number, "claimed"):
            return self._confirmed(state, number)
        return _put(state, number, phase=phase, revision=row.revision, era=state.era)

    def _finish_alone(self, state: State, number: int) -> Iterator[Step]:
        attempt = state.attempts[number]
        again = "ran" if attempt.phase == "writing" else "releasing"
        if attempt.era != state.hosts[HOST_OF[number]].seen:
            # The host writes as soon as it has read.
            yield f"{number} reads again", _put(state, number, phase=again, era=-1)
            return
        if _revision(state) == attempt.revision:
            yield f"{number} finishes", self._finished(_learn(state, number), number)
            written = self._written(state, number)
            yield f"{number} finishes, answer lost", _put(written, number, phase=again, era=-1)
        else:
            yield f"{number} reads again", _put(_learn(state, number), number, phase=again, era=-1)

    def _finished(self, state: State, number: int) -> State:
        return self._confirmed(self._written(state, number), number)

    def _written(self, state: State, number: int) -> State:
        is_outcome = state.attempts[number].phase in ("ran", "writing")
        return _write(state, number, "done" if is_outcome else None)

    def _confirmed(self, state: State, number: int) -> State:
        if state.attempts[number].phase in ("ran", "writing"):
            return _put(_keep(state, number, "done"), number, phase="written")
        host = state.hosts[HOST_OF[number]]
        if host.kept == (number, "claimed"):
            state = _set(state, HOST_OF[number], kept=None)
        return _put(state, number, phase="over")

    def _recovery_steps(self, state: State, number: int) -> Iterator[Step]:
        host = state.hosts[number]
        if host.seen < state.era:
            yield f"host {number} learns", _set(
                state, number, seen=state.era, found=None, all_knew=False
            )
        if not host.is_in_doubt:
            return
        if host.restored != host.seen:
            yield from self._restore(state, number)
        elif self._is_settled(state, number):
            yield f"host {number} settles", _set(state, number, settled=host.seen)

    def _restore(self, state: State, number: int) -> Iterator[Step]:
        host = state.hosts[number]
        if state.era != host.seen:
            return
        all_know = all(each.seen == state.era for each in state.hosts)
        all_know = all_know or not self._has("all_know_the_era")
        if host.kept is None or not self._still_holds(state, host.kept):
            if all_know:
                yield f"host {number} has nothing", _set(state, number, restored=host.seen)
        elif host.found is None:
            if self._precedes(state.row, host.kept):
                reads = _set(state, number, found=_revision(state), all_knew=all_know)
                yield f"host {number} reads", reads
            elif all_know:
                yield f"host {number} is restored", _set(state, number, restored=host.seen)
        elif host.found == _revision(state):
            written = _set(_write(state, *host.kept), number, found=None, all_knew=False)
            if host.all_knew:
                written = _set(written, number, restored=host.seen)
            yield f"host {number} restores", written
        else:
            yield f"host {number} reads again", _set(state, number, found=None, all_knew=False)

    def _still_holds(self, state: State, kept: tuple[int, str]) -> bool:
        if kept[1] != "claimed" or not self._has("gave_up_is_not_restored"):
            return True
        return state.attempts[kept[0]].phase in IN_PROGRESS

    @staticmethod
    def _precedes(row: Row | None, kept: tuple[int, str]) -> bool:
        if row is None:
            return True
        if row.state == "done":
            return False
        is_same = (row.attempt, row.state) == kept
        return not is_same and (kept[1] != "closed" or row.state == "claimed")

    def _is_settled(self, state: State, number: int) -> bool:
        other, era = state.hosts[1 - number], state.hosts[number].seen
        has_restored = other.restored >= era or not self._has("settled_by_all")
        return has_restored or other.settled >= era


def _returns(state: State) -> Iterator[Step]:
    if state.era == MAX_ERA:
        return
    for row, revision in sorted(state.past, key=repr):
        if revision < state.revision:
            back = state._replace(row=row, revision=revision, era=state.era + 1)
            yield f"store back at {revision}", back


def _revision(state: State) -> int:
    return state.row.revision if state.row else ABSENT


def _write(state: State, attempt: int, kind: str | None) -> State:
    revision = state.revision + 1
    row = Row(attempt, kind, revision) if kind else None
    past = state.past | {(row, revision)} if state.era < MAX_ERA else frozenset()
    return state._replace(row=row, revision=revision, past=past)


def _put(state: State, number: int, **fields: Any) -> State:
    attempt = state.attempts[number]._replace(**fields)
    if attempt.phase in ("over", "written", "reading"):
        attempt = Attempt(attempt.phase)
    attempts = (*state.attempts[:number], attempt, *state.attempts[number + 1 :])
    return state._replace(attempts=attempts)


def _set(state: State, number: int, **fields: Any) -> State:
    host = state.hosts[number]._replace(**fields)
    return state._replace(hosts=(*state.hosts[:number], host, *state.hosts[number + 1 :]))


def _learn(state: State, number: int) -> State:
    host = state.hosts[HOST_OF[number]]
    if host.seen == state.era:
        return state
    return _set(state, HOST_OF[number], seen=state.era, found=None, all_knew=False)


def _keep(state: State, number: int, kind: str) -> State:
    return _set(state, HOST_OF[number], kept=(number, kind))


GUARDS = (
    "doubt_after_claim",
    "kept_if_trusted",
    "era_of_found_row",
    "era_of_revision",
    "gave_up_is_not_restored",
    "all_know_the_era",
    "settled_by_all",
)
WITNESSES = {
    "a run was lost and is known again": lambda state: (
        state["era"] == MAX_ERA
        and state["runs"] == 1
        and state["row"] is not None
        and state["row"].state == "done"
    ),
    "a request runs after the return": lambda state: (
        state["era"] == MAX_ERA and state["runs"] == 1 and state["attempts"][0].phase == "over"
    ),
}


def _build(asks: bool, guards: frozenset[str]) -> Protocol:
    return Protocol(
        name="claim eras",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=ClaimEras(guards, asks=asks).steps,
        invariants={
            "runs_at_most_once": lambda state: state["runs"] <= 1,
            "closed_key_never_runs": lambda state: not (state["told_closed"] and state["runs"]),
        },
    )


IN_QUESTION = ("kept_if_trusted", "era_of_found_row", "all_know_the_era")
IN_REQUESTS = tuple(guard for guard in GUARDS if guard not in IN_QUESTION)

MODELS = (
    CheckedModel(
        "claim eras, 3 requests", partial(_build, False), GUARDS, WITNESSES, mutants=IN_REQUESTS
    ),
    CheckedModel(
        "claim eras, a question", partial(_build, True), GUARDS, WITNESSES, mutants=IN_QUESTION
    ),
)
