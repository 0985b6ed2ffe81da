"""The state of the model of claim rows, and its small changes."""

from __future__ import annotations

from typing import NamedTuple

ABSENT = 0
ON_THE_WAY = ("writing", "reading", "asking", "held")


class Scope(NamedTuple):
    """Bounds of a search.

    ``late_writes`` bounds the writes that are on their way after their senders have stopped
    waiting, at any one time; ``questions`` and ``ends`` allow questions for the outcome and ends
    of hosts.
    """

    requests: int
    late_writes: int
    questions: bool
    ends: bool


class Row(NamedTuple):
    """The claim row: its attempt, ``claimed``, ``done`` or ``closed``, and its revision."""

    attempt: int
    state: str
    revision: int


class Pending(NamedTuple):
    """A write on its way to the table: ``claim``, ``close`` or ``release`` at a revision."""

    kind: str
    attempt: int
    revision: int


class Attempt(NamedTuple):
    """One request at one host.

    ``phase`` is ``unsent``, ``writing``, ``reading``, ``asking``, ``held``, ``ran``, ``written``,
    ``given_up``, or ``joined`` while it waits for another attempt of its host. ``end`` is ``live``,
    ``crashed`` or ``closed``, for its incarnation. ``other`` is the attempt that is asked about or
    joined, ``revision`` that of the row concerned. The caller no longer hears the answer to a
    request that it has ``abandoned`` by sending the next one.
    """

    phase: str = "unsent"
    end: str = "live"
    host: int = 0
    question: bool = False
    fresh: bool = False
    abandoned: bool = False
    verdict: str = ""
    other: int = 0
    revision: int = 0


class State(NamedTuple):
    """The whole state.

    ``runs`` counts those under the key; ``ticket`` tells whether the caller has used the ticket of
    a refusal instead. ``false_not_run`` records an answer that was untrue when it was given.
    """

    row: Row | None = None
    pending: frozenset[Pending] = frozenset()
    attempts: tuple[Attempt, ...] = ()
    runs: int = 0
    ticket: bool = False
    false_not_run: bool = False


Step = tuple[str, State]


def put(state: State, number: int, attempt: Attempt, pending: Pending | None = None) -> State:
    """Return the state with one attempt changed, and perhaps a write on its way."""
    attempts = (*state.attempts[:number], attempt, *state.attempts[number + 1 :])
    writes = state.pending | {pending} if pending else state.pending
    return state._replace(attempts=attempts, pending=writes)


def answer(
    state: State, number: int, attempt: Attempt, verdict: str, told: str | None = None
) -> State:
    """Answer the caller and give up the attempt for good; ``told`` goes to those who joined."""
    state = put(state, number, attempt._replace(phase="given_up"))
    return tell_joined(_heard(state, number, verdict), number, told or verdict)


def tell_joined(state: State, number: int, verdict: str) -> State:
    """Answer the requests at the same host that wait for the attempt."""
    for other, attempt in enumerate(state.attempts):
        if (attempt.phase, attempt.other, attempt.end) == ("joined", number, "live"):
            given_up = put(state, other, attempt._replace(phase="given_up"))
            state = _heard(given_up, other, verdict)
    return state


def _heard(state: State, number: int, verdict: str) -> State:
    attempt = state.attempts[number]
    verdict = "unheard" if attempt.abandoned else verdict
    untrue = state.false_not_run or (verdict == "not_run" and state.runs > 0)
    heard = put(state, number, attempt._replace(verdict=verdict))
    return heard._replace(false_not_run=untrue)


def all_not_run(state: State) -> bool:
    """Return whether the caller has heard ``not_run`` to every request with the key."""
    sent = [each for each in state.attempts if each.phase != "unsent"]
    return all(each.verdict == "not_run" for each in sent)


def abandoned(attempt: Attempt) -> Attempt:
    """Return the attempt once the caller no longer hears its answer."""
    unanswered = attempt.phase != "unsent" and not attempt.verdict
    return attempt._replace(abandoned=True) if unanswered else attempt


def joins(attempt: Attempt, host: int) -> bool:
    """Return whether a repeat at the host waits for this attempt instead of making its own."""
    on_the_way = attempt.phase in ON_THE_WAY or attempt.phase == "ran"
    return is_live_at(attempt, host) and on_the_way and not attempt.question


def is_live_at(attempt: Attempt, host: int) -> bool:
    """Return whether the attempt was made by the present incarnation of the host."""
    return attempt.phase != "unsent" and (attempt.host, attempt.end) == (host, "live")


def ended(state: State, host: int, end: str) -> State:
    """Return the state once the host's incarnation has ended."""
    attempts = (
        each._replace(end=end) if is_live_at(each, host) else each for each in state.attempts
    )
    return state._replace(attempts=tuple(attempts))


def late_writes(state: State) -> int:
    """Return the number of writes on their way for which nobody waits."""
    return sum(state.attempts[each.attempt].phase != "writing" for each in state.pending)


def _revisions(state: State) -> set[int]:
    used = {each.revision for each in state.attempts} | {each.revision for each in state.pending}
    return used | {state.row.revision if state.row else ABSENT, ABSENT}


def next_revision(state: State) -> int:
    """Return a revision above all that are in use."""
    return max(_revisions(state)) + 1


def renumbered(state: State) -> State:
    """Return the state without what no longer matters, its revisions counted from 0."""
    state = state._replace(attempts=tuple(_essence(each) for each in state.attempts))
    revisions = sorted(_revisions(state))
    if revisions[-1] < len(revisions):
        return state
    number = {revision: index for index, revision in enumerate(revisions)}
    row = state.row._replace(revision=number[state.row.revision]) if state.row else None
    pending = (each._replace(revision=number[each.revision]) for each in state.pending)
    attempts = (each._replace(revision=number[each.revision]) for each in state.attempts)
    return state._replace(row=row, pending=frozenset(pending), attempts=tuple(attempts))


def _essence(attempt: Attempt) -> Attempt:
    if attempt.end == "crashed":
        return Attempt("given_up", "crashed", verdict=attempt.verdict)
    if attempt.phase in ("asking", "joined") or (attempt.other == 0 and attempt.revision == ABSENT):
        return attempt
    if attempt.phase in ("writing", "held", "ran"):
        return attempt._replace(other=0)
    return attempt._replace(other=0, revision=ABSENT)
