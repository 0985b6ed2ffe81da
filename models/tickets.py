"""At most once by tickets: idempotency keys that only the incarnation that issued them may run.

A caller presents one ticket up to twice, at its issuer or at another host, and may ask for
the outcome. Messages and writes may be late or lost, the issuer may crash or end gracefully, the
ticket expires, and old rows are pruned, all at any moment that the rules allow.
"""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

from minicheck import Protocol

from models.checked import CheckedModel

REQUESTS = 2

ONE_ENTRY_PER_TICKET = "one_entry_per_ticket"
ONLY_ISSUER_RUNS = "only_issuer_runs"
EXPIRED_IS_REFUSED = "expired_is_refused"
REMEMBERED_PAST_EXPIRY = "remembered_past_expiry"
REMEMBERED_UNTIL_WRITTEN = "remembered_until_written"
FORGOTTEN_IS_UNKNOWN = "forgotten_is_unknown"
CLOSED_TICKET_STAYS_CLOSED = "closed_ticket_stays_closed"
NOT_RUN_NEEDS_FRESH_KEY = "not_run_needs_fresh_key"
OUTCOMES_BEFORE_CLOSING = "outcomes_before_closing"
IDLE_BEFORE_CLOSING = "idle_before_closing"
CLOSING_READ_BEFORE = "closing_read_before"
CLOSING_READ_AFTER = "closing_read_after"
CLOSING_PRUNED_WITH_OUTCOMES = "closing_pruned_with_outcomes"
CLOSING_COVERS_RECENT_ONLY = "closing_covers_recent_only"

GUARDS = (
    ONE_ENTRY_PER_TICKET,
    ONLY_ISSUER_RUNS,
    EXPIRED_IS_REFUSED,
    REMEMBERED_PAST_EXPIRY,
    REMEMBERED_UNTIL_WRITTEN,
    FORGOTTEN_IS_UNKNOWN,
    CLOSED_TICKET_STAYS_CLOSED,
    NOT_RUN_NEEDS_FRESH_KEY,
    OUTCOMES_BEFORE_CLOSING,
    IDLE_BEFORE_CLOSING,
    CLOSING_READ_BEFORE,
    CLOSING_READ_AFTER,
    CLOSING_PRUNED_WITH_OUTCOMES,
    CLOSING_COVERS_RECENT_ONLY,
)


class Request(NamedTuple):
    """One presentation of the ticket, or a question for its outcome.

    ``phase`` is ``unsent``, ``sent`` to the issuer, ``asking`` at another host, ``closing_before``,
    ``outcome`` or ``closing_after`` while that host reads the table, or ``answered``.
    """

    phase: str = "unsent"
    question: bool = False
    fresh: bool = False
    abandoned: bool = False
    verdict: str = ""


class State(NamedTuple):
    """The whole state.

    ``issuer`` is ``live``, ``crashed`` or ``closed``. ``entry`` is what it remembers: nothing,
    ``held``, ``ran``, ``written`` or ``shut`` by a question. ``age`` is ``valid``, ``expired``,
    ``forgettable`` once the issuer may forget, or ``old`` once rows of the ticket may be pruned.
    ``outcome`` and ``closing`` are the rows of the table; ``covered`` tells whether the closing row
    speaks of this ticket. ``replaced`` is set once the caller uses another ticket instead.
    """

    issuer: str = "live"
    entry: str = ""
    age: str = "valid"
    outcome: bool = False
    closing: bool = False
    covered: bool = False
    requests: tuple[Request, ...] = (Request(),) * REQUESTS
    runs: int = 0
    replaced: bool = False
    false_not_run: bool = False


Step = tuple[str, State]

AGES = ("valid", "expired", "forgettable", "old")


class Tickets:
    """The transitions with the given guards in place."""

    __slots__ = ("_guards",)

    def __init__(self, guards: frozenset[str]) -> None:
        self._guards = guards

    def transitions(self, state: State) -> list[Step]:
        """Return every next state."""
        steps = self._sends(state) + self._issuer_steps(state) + self._table_steps(state)
        for number, request in enumerate(state.requests):
            steps += self._request_steps(state, number, request)
        if state.age != AGES[-1]:
            steps.append(("time passes", state._replace(age=AGES[AGES.index(state.age) + 1])))
        return steps

    def _lacks(self, guard: str) -> bool:
        return guard not in self._guards

    def _sends(self, state: State) -> list[Step]:
        number = next((n for n, r in enumerate(state.requests) if r.phase == "unsent"), None)
        if number is None or state.replaced:
            return []
        may_be_fresh = all(each.verdict == "not_run" for each in state.requests[:number])
        state = state._replace(requests=tuple(_abandoned(each) for each in state.requests))
        steps = []
        for phase in ("sent", "asking"):
            for fresh in {False, may_be_fresh}:
                steps.append((phase, _put(state, number, Request(phase, fresh=fresh))))
        return [*steps, ("question", _put(state, number, Request("asking", question=True)))]

    def _request_steps(self, state: State, number: int, request: Request) -> list[Step]:
        match request.phase:
            case "sent":
                return self._at_issuer(state, number, request)
            case "asking":
                return self._asking(state, number, request)
            case "closing_before" | "outcome" | "closing_after":
                return self._reading(state, number, request)
            case "answered" if request.fresh and _all_not_run(state):
                return [("use another ticket", state._replace(replaced=True))]
        return []

    def _at_issuer(self, state: State, number: int, request: Request) -> list[Step]:
        if state.issuer != "live":
            return [("connection lost", _answer(state, number, request, "unheard"))]
        if state.entry == "shut":
            return [("shut", _answer(state, number, request, "not_run"))]
        if state.entry and not (self._lacks(ONE_ENTRY_PER_TICKET) and state.entry != "held"):
            return self._joined(state, number, request)
        if state.age == "valid" or self._lacks(EXPIRED_IS_REFUSED):
            return [("accept", _put(state, number, request)._replace(entry="held"))]
        if state.age == "expired" or self._lacks(FORGOTTEN_IS_UNKNOWN):
            return [("expired", _answer(state, number, request, "not_run"))]
        return [("forgotten", _answer(state, number, request, "may_have_run"))]

    def _joined(self, state: State, number: int, request: Request) -> list[Step]:
        if state.entry == "held":
            return []
        return [("join", _answer(state, number, request, "ran"))]

    def _asking(self, state: State, number: int, request: Request) -> list[Step]:
        reading = _put(state, number, request._replace(phase=self._first_read()))
        steps = [("no reply", reading)]
        if state.issuer != "live":
            return steps
        if state.entry == "shut":
            return [*steps, ("told shut", _answer(state, number, request, "not_run"))]
        if state.entry in ("ran", "written"):
            return [*steps, ("told outcome", _answer(state, number, request, "ran"))]
        forgotten = state.age in AGES[2:] and not self._lacks(FORGOTTEN_IS_UNKNOWN)
        if state.entry == "held" or forgotten:
            return steps
        shuts = request.question and not self._lacks(CLOSED_TICKET_STAYS_CLOSED)
        told = state._replace(entry="shut") if shuts and state.age == "valid" else state
        return [*steps, ("told never", _answer(told, number, request, "not_run"))]

    def _first_read(self) -> str:
        return "outcome" if self._lacks(CLOSING_READ_BEFORE) else "closing_before"

    def _reading(self, state: State, number: int, request: Request) -> list[Step]:
        steps = [("store out", self._unknown(state, number, request))]
        if request.phase == "outcome":
            return [*steps, self._read_outcome(state, number, request)]
        if not (state.closing and state.covered):
            if request.phase == "closing_before":
                known = "ran" if state.outcome else ""
                if known:
                    return [*steps, ("read outcome", _answer(state, number, request, known))]
            return steps
        if request.phase == "closing_before":
            read = _put(state, number, request._replace(phase="outcome"))
            return [*steps, ("read closing", read)]
        return [*steps, ("read closing", _answer(state, number, request, "not_run"))]

    def _read_outcome(self, state: State, number: int, request: Request) -> Step:
        if state.outcome:
            return ("read outcome", _answer(state, number, request, "ran"))
        if self._lacks(CLOSING_READ_AFTER):
            return ("read no outcome", _answer(state, number, request, "not_run"))
        read = _put(state, number, request._replace(phase="closing_after"))
        return ("read no outcome", read)

    def _unknown(self, state: State, number: int, request: Request) -> State:
        if self._lacks(ONLY_ISSUER_RUNS) and not request.question:
            ran = _answer(state, number, request, "ran")
            return ran._replace(runs=state.runs + 1)
        certain = request.fresh or self._lacks(NOT_RUN_NEEDS_FRESH_KEY)
        verdict = "not_run" if certain and not request.question else "may_have_run"
        return _answer(state, number, request._replace(fresh=certain), verdict)

    def _issuer_steps(self, state: State) -> list[Step]:
        if state.issuer == "crashed":
            return []
        steps: list[Step] = []
        if state.entry == "held":
            steps.append(("dispatch", state._replace(entry="ran", runs=state.runs + 1)))
            if state.issuer == "live":
                steps.append(("no capacity", self._no_capacity(state)))
        if state.entry == "ran":
            steps.append(("write outcome", state._replace(outcome=True)))
            if state.outcome:
                steps.append(("outcome confirmed", state._replace(entry="written")))
        if state.issuer == "closed":
            return steps
        if self._may_forget(state):
            steps.append(("forget", state._replace(entry="")))
        if self._may_close(state):
            covered = state.age != "old" or self._lacks(CLOSING_COVERS_RECENT_ONLY)
            closed = state._replace(issuer="closed", closing=True, covered=covered)
            steps.append(("close", closed))
        return [*steps, ("crash", state._replace(issuer="crashed", entry=""))]

    def _no_capacity(self, state: State) -> State:
        """Answer the requests that wait at the issuer; the ticket may be used again."""
        released = state._replace(entry="")
        for number, request in enumerate(released.requests):
            if request.phase == "sent":
                released = _answer(released, number, request, "not_run")
        return released

    def _may_forget(self, state: State) -> bool:
        if state.entry not in ("ran", "written", "shut"):
            return False
        if state.entry == "ran" and not self._lacks(REMEMBERED_UNTIL_WRITTEN):
            return False
        return state.age in AGES[2:] or self._lacks(REMEMBERED_PAST_EXPIRY)

    def _may_close(self, state: State) -> bool:
        if state.entry == "held":
            return self._lacks(IDLE_BEFORE_CLOSING)
        return state.entry != "ran" or self._lacks(OUTCOMES_BEFORE_CLOSING)

    def _table_steps(self, state: State) -> list[Step]:
        if state.age != "old" or not state.outcome or state.entry == "ran":
            return []
        pruned = state._replace(outcome=False)
        if not self._lacks(CLOSING_PRUNED_WITH_OUTCOMES):
            pruned = pruned._replace(closing=False, covered=False)
        return [("prune", pruned)]


def _put(state: State, number: int, request: Request) -> State:
    requests = (*state.requests[:number], request, *state.requests[number + 1 :])
    return state._replace(requests=requests)


def _answer(state: State, number: int, request: Request, verdict: str) -> State:
    verdict = "unheard" if request.abandoned else verdict
    answered = _put(state, number, request._replace(phase="answered", verdict=verdict))
    untrue = verdict == "not_run" and state.runs > 0
    return answered._replace(false_not_run=state.false_not_run or untrue)


def _abandoned(request: Request) -> Request:
    unanswered = request.phase not in ("unsent", "answered")
    return request._replace(abandoned=True) if unanswered else request


def _all_not_run(state: State) -> bool:
    sent = [each for each in state.requests if each.phase != "unsent"]
    return not state.replaced and all(each.verdict == "not_run" for each in sent)


def _closed_ticket_never_runs(state: dict[str, Any]) -> bool:
    closed = any(each.question and each.verdict == "not_run" for each in state["requests"])
    return not closed or state["runs"] == 0


def build(guards: frozenset[str]) -> Protocol:
    """Return the protocol with the given guards in place."""
    return Protocol(
        name="tickets",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=Tickets(guards).transitions,
        invariants={
            "runs_at_most_once": lambda state: state["runs"] + state["replaced"] <= 1,
            "not_run_is_true": lambda state: not state["false_not_run"],
            "closed_ticket_never_runs": _closed_ticket_never_runs,
        },
    )


MODELS = (
    CheckedModel(
        "tickets",
        build,
        GUARDS,
        {
            "a ticket runs": lambda state: state["runs"] == 1,
            "an outcome is pruned": lambda state: state["runs"] and not state["outcome"],
            "another ticket is used": lambda state: bool(state["replaced"]),
        },
    ),
)
