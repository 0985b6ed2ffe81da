"""At most once by claim rows: a caller's own idempotency key in the platform's table.

A caller sends up to three requests with one key, through two hosts; one may be a question for the
outcome. Any answer of the table may be late or lost, any write may land late, any host may be
slow, crash or end gracefully at any moment. A host that is frozen is one that takes no step.
Pruning of old rows is left out: it bounds the promise to the time that a key is kept.
"""

from __future__ import annotations

from functools import partial
from typing import Any

from minicheck import Protocol

from models.checked import CheckedModel
from models.claim_state import ABSENT
from models.claim_state import ON_THE_WAY
from models.claim_state import Attempt
from models.claim_state import Pending
from models.claim_state import Row
from models.claim_state import Scope
from models.claim_state import State
from models.claim_state import Step
from models.claim_state import abandoned
from models.claim_state import all_not_run
from models.claim_state import answer
from models.claim_state import ended
from models.claim_state import is_live_at
from models.claim_state import joins
from models.claim_state import late_writes
from models.claim_state import next_revision
from models.claim_state import put
from models.claim_state import renumbered
from models.claim_state import tell_joined

HOSTS = 2

CLAIM_IS_CONDITIONAL = "claim_is_conditional"
HELD_BEFORE_DISPATCH = "held_before_dispatch"
TAKEOVER_ON_WORD_ONLY = "takeover_on_word_only"
WORD_NEVER_IS_FINAL = "word_never_is_final"
REMEMBERED_UNTIL_WRITTEN = "remembered_until_written"
RUN_KEEPS_CLAIM = "run_keeps_claim"
RELEASE_IS_CONDITIONAL = "release_is_conditional"
GIVEN_UP_IS_FINAL = "given_up_is_final"
NOT_RUN_NEEDS_FRESH_KEY = "not_run_needs_fresh_key"
OUTCOMES_BEFORE_CLOSING = "outcomes_before_closing"
IDLE_BEFORE_CLOSING = "idle_before_closing"
CLOSED_KEY_STAYS_CLOSED = "closed_key_stays_closed"
FRESH_WORD_IS_ITS_OWN = "fresh_word_is_its_own"

GUARDS = (
    CLAIM_IS_CONDITIONAL,
    HELD_BEFORE_DISPATCH,
    TAKEOVER_ON_WORD_ONLY,
    WORD_NEVER_IS_FINAL,
    REMEMBERED_UNTIL_WRITTEN,
    RUN_KEEPS_CLAIM,
    RELEASE_IS_CONDITIONAL,
    GIVEN_UP_IS_FINAL,
    NOT_RUN_NEEDS_FRESH_KEY,
    OUTCOMES_BEFORE_CLOSING,
    IDLE_BEFORE_CLOSING,
    CLOSED_KEY_STAYS_CLOSED,
    FRESH_WORD_IS_ITS_OWN,
)


class ClaimRows:
    """The transitions with the given guards in place."""

    __slots__ = ("_guards", "_scope")

    def __init__(self, scope: Scope, guards: frozenset[str]) -> None:
        self._scope = scope
        self._guards = guards

    def transitions(self, state: State) -> list[Step]:
        """Return every next state."""
        steps = self._sends(state)
        for number, attempt in enumerate(state.attempts):
            if attempt.end != "crashed":
                steps += self._host_steps(state, number, attempt)
        for pending in state.pending:
            steps += self._landings(state, pending)
        for host in range(HOSTS if self._scope.ends else 0):
            steps += self._ends(state, host)
        return [(label, renumbered(each)) for label, each in steps]

    def _lacks(self, guard: str) -> bool:
        return guard not in self._guards

    def _sends(self, state: State) -> list[Step]:
        number = next((n for n, a in enumerate(state.attempts) if a.phase == "unsent"), None)
        if number is None or state.ticket:
            return []
        earlier = state.attempts[:number]
        may_be_fresh = all(each.verdict == "not_run" for each in earlier)
        state = state._replace(attempts=tuple(abandoned(each) for each in state.attempts))
        steps = []
        for host in range(HOSTS if number else 1):
            joined = next((n for n, each in enumerate(earlier) if joins(each, host)), None)
            if joined is not None:
                waiting = Attempt("joined", host=host, other=joined)
                waits = put(state, number, waiting)
                if earlier[joined].phase == "ran":
                    waits = tell_joined(waits, joined, "ran")
                steps.append((f"{number} joins {joined}", waits))
                continue
            for fresh in {False, may_be_fresh}:
                sent = Attempt("writing", host=host, fresh=fresh)
                pending = Pending("claim", number, ABSENT)
                steps.append((f"send {number} to {host}", put(state, number, sent, pending)))
            if number and self._scope.questions:
                asked = Attempt("reading", host=host, question=True)
                steps.append((f"question {number} to {host}", put(state, number, asked)))
        return steps

    def _host_steps(self, state: State, number: int, attempt: Attempt) -> list[Step]:
        match attempt.phase:
            case "writing":
                return self._writing(state, number, attempt)
            case "reading":
                return self._reading(state, number, attempt)
            case "asking":
                return self._asking(state, number, attempt)
            case "held":
                return self._held(state, number, attempt)
            case "ran":
                return self._ran(state, number, attempt)
            case "given_up":
                return self._given_up(state, number, attempt)
        return []

    def _writing(self, state: State, number: int, attempt: Attempt) -> list[Step]:
        """The answer is late: the claim is resolved by reading."""
        steps: list[Step] = []
        sent = any(each.attempt == number for each in state.pending)
        if not sent or late_writes(state) < self._scope.late_writes:
            reading = attempt._replace(phase="reading")
            steps.append(("answer lost", put(state, number, reading)))
        if self._lacks(HELD_BEFORE_DISPATCH) and not attempt.question:
            steps.append(("assume held", put(state, number, attempt._replace(phase="held"))))
        return steps

    def _reading(self, state: State, number: int, attempt: Attempt) -> list[Step]:
        steps = [("store out", self._unclaimed(state, number, attempt))]
        row = state.row
        if row is None:
            return [*steps, self._write(state, number, attempt, ABSENT)]
        if row.attempt == number and row.state == "claimed":
            held = attempt._replace(phase="held", revision=row.revision)
            return [*steps, ("read own claim", put(state, number, held))]
        if row.state == "done":
            return [*steps, ("read outcome", answer(state, number, attempt, "ran"))]
        if row.state == "closed":
            if self._lacks(CLOSED_KEY_STAYS_CLOSED):
                return [*steps, self._write(state, number, attempt, row.revision)]
            return [*steps, ("read closed", answer(state, number, attempt, "not_run"))]
        asking = attempt._replace(phase="asking", other=row.attempt, revision=row.revision)
        return [*steps, ("read claim", put(state, number, asking))]

    def _asking(self, state: State, number: int, attempt: Attempt) -> list[Step]:
        steps = [
            ("unreachable", answer(state, number, attempt, "may_have_run")),
            ("read again", put(state, number, attempt._replace(phase="reading"))),
        ]
        holder = state.attempts[attempt.other]
        if self._may_take_over(holder):
            steps.append(self._write(state, number, attempt, attempt.revision))
        if holder.end == "live" and holder.phase == "ran":
            steps.append(("told outcome", answer(state, number, attempt, "ran")))
        return steps

    def _may_take_over(self, holder: Attempt) -> bool:
        if self._lacks(TAKEOVER_ON_WORD_ONLY):
            return True
        if holder.end == "closed":
            return True
        if holder.end == "crashed":
            return False
        if holder.phase in ON_THE_WAY:
            return self._lacks(WORD_NEVER_IS_FINAL)
        if holder.phase == "ran":
            return self._lacks(REMEMBERED_UNTIL_WRITTEN)
        return True

    def _write(self, state: State, number: int, attempt: Attempt, revision: int) -> Step:
        kind = "close" if attempt.question else "claim"
        writing = attempt._replace(phase="writing", revision=revision)
        return (kind, put(state, number, writing, Pending(kind, number, revision)))

    def _unclaimed(self, state: State, number: int, attempt: Attempt) -> State:
        certain = attempt.fresh or self._lacks(NOT_RUN_NEEDS_FRESH_KEY)
        verdict = "not_run" if certain and not attempt.question else "may_have_run"
        told = verdict if self._lacks(FRESH_WORD_IS_ITS_OWN) else "may_have_run"
        return answer(state, number, attempt._replace(fresh=certain), verdict, told)

    def _held(self, state: State, number: int, attempt: Attempt) -> list[Step]:
        ran = attempt._replace(phase="ran", verdict="unheard" if attempt.abandoned else "ran")
        untrue = state.false_not_run or attempt.verdict == "not_run"
        dispatched = tell_joined(put(state, number, ran), number, "ran")
        steps = [("dispatch", dispatched._replace(runs=state.runs + 1, false_not_run=untrue))]
        refused = answer(state, number, attempt._replace(fresh=False), "not_run")
        release = Pending("release", number, attempt.revision)
        return [*steps, ("no capacity", refused._replace(pending=refused.pending | {release}))]

    def _ran(self, state: State, number: int, attempt: Attempt) -> list[Step]:
        row = state.row
        if self._lacks(RUN_KEEPS_CLAIM):
            gone = put(state, number, attempt._replace(phase="given_up", verdict="may_have_run"))
            release = Pending("release", number, attempt.revision)
            return [("release", gone._replace(pending=gone.pending | {release}))]
        if row is not None and (row.attempt, row.state) == (number, "claimed"):
            done = Row(number, "done", next_revision(state))
            return [("write outcome", state._replace(row=done))]
        return [("outcome confirmed", put(state, number, attempt._replace(phase="written")))]

    def _given_up(self, state: State, number: int, attempt: Attempt) -> list[Step]:
        steps: list[Step] = []
        if attempt.end == "closed":
            return steps
        if attempt.fresh and not state.ticket and all_not_run(state):
            steps.append(("use ticket", state._replace(ticket=True)))
        row = state.row
        if row is None or (row.attempt, row.state) != (number, "claimed"):
            return steps
        release = Pending("release", number, row.revision)
        if release not in state.pending:
            steps.append(("clean", state._replace(pending=state.pending | {release})))
        if self._lacks(GIVEN_UP_IS_FINAL):
            held = attempt._replace(phase="held", revision=row.revision)
            steps.append(("resume", put(state, number, held)))
        return steps

    def _landings(self, state: State, pending: Pending) -> list[Step]:
        landed = state._replace(pending=state.pending - {pending})
        revision = state.row.revision if state.row else ABSENT
        matches = revision == pending.revision
        if pending.kind == "release":
            if matches or self._lacks(RELEASE_IS_CONDITIONAL):
                landed = landed._replace(row=None)
            return [("release lands", landed)]
        if matches or self._lacks(CLAIM_IS_CONDITIONAL):
            kept = "claimed" if pending.kind == "claim" else "closed"
            landed = landed._replace(row=Row(pending.attempt, kept, next_revision(state)))
            matches = True
        attempt = state.attempts[pending.attempt]
        awaited = (attempt.phase, attempt.revision) == ("writing", pending.revision)
        steps = [(f"{pending.kind} lands", landed)]
        if awaited and attempt.end == "live":
            steps.append(("answered", self._answered(landed, pending.attempt, attempt, matches)))
        return steps

    def _answered(self, landed: State, number: int, attempt: Attempt, committed: bool) -> State:
        if not committed:
            return put(landed, number, attempt._replace(phase="reading"))
        if attempt.question:
            return answer(landed, number, attempt, "not_run")
        assert landed.row is not None
        held = attempt._replace(phase="held", revision=landed.row.revision)
        return put(landed, number, held)

    def _ends(self, state: State, host: int) -> list[Step]:
        here = [each for each in state.attempts if is_live_at(each, host)]
        if not here:
            return []
        steps = [(f"{host} crashes", ended(state, host, "crashed"))]
        if all(self._lets_close(each) for each in here):
            steps.append((f"{host} closes", ended(state, host, "closed")))
        return steps

    def _lets_close(self, attempt: Attempt) -> bool:
        if attempt.phase in ON_THE_WAY:
            return self._lacks(IDLE_BEFORE_CLOSING) and not attempt.question
        return attempt.phase != "ran" or self._lacks(OUTCOMES_BEFORE_CLOSING)


def _closed_key_never_runs(state: dict[str, Any]) -> bool:
    closed = any(each.question and each.verdict == "not_run" for each in state["attempts"])
    return not closed or state["runs"] == 0


def build(scope: Scope, guards: frozenset[str]) -> Protocol:
    """Return the protocol within ``scope`` with the given guards in place."""
    return Protocol(
        name="claim rows",
        candidate=False,
        fields=State._fields,
        initial=State(attempts=(Attempt(),) * scope.requests),
        transitions=ClaimRows(scope, guards).transitions,
        invariants={
            "runs_at_most_once": lambda state: state["runs"] + state["ticket"] <= 1,
            "not_run_is_true": lambda state: not state["false_not_run"],
            "closed_key_never_runs": _closed_key_never_runs,
        },
    )


def _runs_after_takeover(state: dict[str, Any]) -> bool:
    first, *later = state["attempts"]
    return first.phase == "given_up" and any(each.phase == "ran" for each in later)


WITNESSES = {
    "a request runs": lambda state: state["runs"] == 1,
    "a ticket runs": lambda state: bool(state["ticket"]),
    "a later request runs after the first was given up": _runs_after_takeover,
}
WHOLE = Scope(requests=2, late_writes=4, questions=True, ends=True)
THREE = Scope(requests=3, late_writes=1, questions=False, ends=False)

IN_THREE = (RELEASE_IS_CONDITIONAL, FRESH_WORD_IS_ITS_OWN)
IN_TWO = tuple(guard for guard in GUARDS if guard not in IN_THREE)

MODELS = (
    CheckedModel(
        "claim rows, 2 requests", partial(build, WHOLE), GUARDS, WITNESSES, mutants=IN_TWO
    ),
    CheckedModel(
        "claim rows, 3 requests", partial(build, THREE), GUARDS, WITNESSES, mutants=IN_THREE
    ),
)
