"""Proofs of freshness: commits, vouches, withdrawal of a key, registration and removal.

Three hosts; at most one crash with restart and two commits in a run. Any message and any read of
the store may fail to happen, and any host may be cut off for good: that is a step not taken. A
question's answer comes at any later time, which is why the answer of the store needs no step of
its own: proof given at once and ended at any time covers a late answer. One host, the holder,
uses proofs; the others matter by what they know.

Time is kept as order: a flag of each proof says whether its question was sent before a certain
event, and a wait is over once no proof with that flag is left.

``freshness/guards.py`` holds the guards of the same names. ``has_majority`` is used in three
places. ``suspended_keys`` is the property of ``LocalState``, ``head_unchanged`` the condition of
``HeadStorage.replace``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from minicheck import Protocol

from models.checked import CheckedModel

if TYPE_CHECKING:
    from collections.abc import Iterator

    from models.checked import Predicate

NONE = -1
HOSTS = (0, 1, 2)
MAX_CRASHES = 1
KNOWN, REMOVAL = "known", "removal"

IDLE, ANNOUNCED, SENT, CANCELLED, DONE = "idle", "announced", "sent", "cancelled", "done"
WITHDRAW, CONFIGURE, REMOVE, JOIN = "withdraw", "configure", "remove", "join"


class Host(NamedTuple):
    """What one host holds in memory; ``intent`` is the base of an open withdrawal, or NONE."""

    incarnation: int = 0
    installed: int = 0
    known: int = 0
    intent: int = NONE


class Proof(NamedTuple):
    """The holder's proof, or its question with the vouches so far.

    ``before_known`` and ``before_removal`` say that the question was sent before a majority knew
    the head, or before the last removal; ``after_withdrawal`` that it was sent after the
    withdrawal's commit. ``excepted`` says that the key may have been withdrawn.
    """

    before_known: bool = False
    before_removal: bool = False
    after_withdrawal: bool = False
    excepted: bool = False
    version: int = 0
    vouched: frozenset[int] = frozenset()

    def is_before(self, wait: str) -> bool:
        """Return whether the question was sent before the event that begins ``wait``."""
        return self.before_known if wait == KNOWN else self.before_removal


class Commit(NamedTuple):
    """A change on its way: ``acknowledged`` holds the hosts that know of it."""

    phase: str = IDLE
    incarnation: int = 0
    base: int = NONE
    acknowledged: frozenset[int] = frozenset()


class State(NamedTuple):
    """The whole system; ``members`` holds for each version the registered incarnations."""

    members: tuple[tuple[int, ...], ...]
    hosts: tuple[Host, ...]
    commits: tuple[Commit, ...]
    withdrawn_in: int = NONE
    proof: Proof | None = None
    question: Proof | None = None
    removed_in: int = NONE
    known_on: frozenset[int] = frozenset()
    in_force: int = 0
    crashes: int = 0
    reverted: bool = False
    overwritten: bool = False


class Change(NamedTuple):
    """A change, the host that commits it, and the host that it removes, if any."""

    kind: str
    host: int
    target: int = NONE


class Plan(NamedTuple):
    """What a run may do: the changes, and the host that holds the proof."""

    holder: int
    changes: tuple[Change, ...]
    members: tuple[int, ...] = (0, 0, 0)
    crashing: tuple[int, ...] = ()
    restarted: tuple[int, ...] = ()
    reports: bool = False


Step = tuple[str, State]


def _majority(hosts: frozenset[int], members: tuple[int, ...]) -> bool:
    registered = [host for host in HOSTS if members[host] != NONE]
    return 2 * len(hosts & frozenset(registered)) > len(registered)


class Freshness:
    """The steps of one plan under a set of guards."""

    def __init__(self, plan: Plan, guards: frozenset[str]) -> None:
        self.plan = plan
        self.guards = guards

    def without(self, guard: str) -> bool:
        """Return whether this mutant lacks ``guard``."""
        return guard not in self.guards

    def steps(self, state: State) -> list[Step]:
        """Return all steps from ``state``."""
        if self._violated(state):
            return []
        found: list[Step] = []
        for host in HOSTS:
            found += self._host_steps(state, host)
        found += self._holder_steps(state)
        for number in range(len(self.plan.changes)):
            found += self._commit_steps(state, number)
        found += self._report_steps(state)
        return found

    @staticmethod
    def _violated(state: State) -> bool:
        return state.reverted or state.overwritten

    # What every host does.

    def _host_steps(self, state: State, host: int) -> Iterator[Step]:
        me = state.hosts[host]
        if host in self.plan.crashing and state.crashes < MAX_CRASHES:
            yield f"crash {host}", self._crashed(state, host)
        if me.installed < _head(state) or host == self.plan.holder:
            yield f"read {host}", self._read(state, host)
        for other in HOSTS:
            theirs = state.hosts[other]
            if self._may_install(theirs.installed, me.installed):
                yield f"install {host} from {other}", self._install(state, host, theirs.installed)
            if theirs.known > me.known:
                yield f"learn {host} from {other}", _set(state, host, known=theirs.known)
        if self.without("intent_is_open") and me.intent != NONE:
            yield f"forget intent {host}", _set(state, host, intent=NONE)

    def _may_install(self, version: int, installed: int) -> bool:
        if self.without("may_install"):
            return version not in (NONE, installed)
        return version > installed

    def _crashed(self, state: State, host: int) -> State:
        fresh = Host(state.hosts[host].incarnation + 1, NONE, NONE)
        hosts = _put(state.hosts, host, fresh)
        state = state._replace(hosts=hosts, crashes=state.crashes + 1)
        return state._replace(proof=None, question=None) if host == self.plan.holder else state

    def _read(self, state: State, host: int) -> State:
        state = self._install(state, host, _head(state))
        if host != self.plan.holder:
            return state
        proof = Proof(after_withdrawal=state.withdrawn_in != NONE)
        return state._replace(proof=proof, question=None)

    def _install(self, state: State, host: int, version: int) -> State:
        me = state.hosts[host]
        intent = me.intent if version <= me.intent else NONE
        known = max(me.known, version)
        reverted = state.reverted or version < me.installed
        state = _set(state, host, installed=version, known=known, intent=intent)
        state = state._replace(reverted=reverted)
        if host != self.plan.holder or state.proof is None:
            return state
        return state._replace(proof=state.proof._replace(excepted=False))

    # What the holder of proofs does.

    def _holder_steps(self, state: State) -> Iterator[Step]:
        me = state.hosts[self.plan.holder]
        if state.proof is not None:
            yield "expire", state._replace(proof=None)
        question = state.question
        if question is None:
            if me.installed != NONE:
                yield "ask", state._replace(question=self._question(state, me.installed))
            return
        yield "give up", state._replace(question=None)
        if question.version != me.installed:
            return
        for other in HOSTS:
            if other in question.vouched or other == self.plan.holder:
                continue
            if self._vouches(state, question, other):
                vouched = self._vouched(state, question, other)
                yield f"vouch {other}", state._replace(question=vouched)
        if self._vouches(state, question, self.plan.holder):
            question = self._vouched(state, question, self.plan.holder)
        members = state.members[me.installed]
        if _majority(question.vouched, members) or self.without("has_majority.vouch"):
            yield "prove", self._proved(state, question)

    def _question(self, state: State, version: int) -> Proof:
        return Proof(after_withdrawal=state.withdrawn_in != NONE, version=version)

    def _vouches(self, state: State, question: Proof, other: int) -> bool:
        them = state.hosts[other]
        registered = state.members[question.version][other]
        if registered == NONE or them.installed != question.version:
            return False
        if them.known != them.installed and not self.without("may_confirm"):
            return False
        return registered == them.incarnation or self.without("may_count_confirmation")

    def _vouched(self, state: State, question: Proof, other: int) -> Proof:
        suspended = state.hosts[other].intent != NONE and not self.without("suspended_keys")
        excepted = question.excepted or suspended
        return question._replace(vouched=question.vouched | {other}, excepted=excepted)

    def _proved(self, state: State, question: Proof) -> State:
        proof = question._replace(version=0, vouched=frozenset())
        if self.without("proof_is_valid"):
            proof = Proof(after_withdrawal=state.withdrawn_in != NONE, excepted=proof.excepted)
        return state._replace(proof=proof, question=None)

    # Commits.

    def _commit_steps(self, state: State, number: int) -> Iterator[Step]:
        change = self.plan.changes[number]
        kind, host, _ = change
        commit = state.commits[number]
        alive = state.hosts[host].incarnation == commit.incarnation
        if commit.phase in (IDLE, CANCELLED) and self._applies(state, change):
            yield f"announce {kind}", self._announced(state, number, kind, host)
        if commit.phase == ANNOUNCED and alive:
            yield from self._announced_steps(state, number, kind)
        if commit.phase == ANNOUNCED and not alive:
            yield f"abandon {kind}", _phase(state, number, IDLE)
        if commit.phase == SENT and _head(state) != commit.base:
            yield f"fail {kind}", _phase(state, number, IDLE)
        if commit.phase == SENT and self._may_land(state, commit):
            for members in self._next_members(state, commit, change):
                yield f"land {kind}", self._landed(state, number, change, members)
        if kind == WITHDRAW and self._may_withdraw_intent(state, commit, alive):
            yield from self._closings(state, commit)

    def _applies(self, state: State, change: Change) -> bool:
        members = state.members[-1]
        if change.kind == JOIN:
            return members[change.host] != state.hosts[change.host].incarnation
        if change.kind == REMOVE:
            return members[change.target] != NONE
        return True

    def _announced(self, state: State, number: int, kind: str, host: int) -> State:
        base = _head(state)
        state = self._install(state, host, base)
        if kind == WITHDRAW:
            state = _set(state, host, intent=base)
        incarnation = state.hosts[host].incarnation
        commit = Commit(ANNOUNCED, incarnation, base, frozenset({host}))
        return state._replace(commits=_put(state.commits, number, commit))

    def _announced_steps(self, state: State, number: int, kind: str) -> Iterator[Step]:
        commit = state.commits[number]
        members = state.members[commit.base]
        for other in HOSTS:
            them = state.hosts[other]
            if other in commit.acknowledged or members[other] == NONE:
                continue
            if them.known <= commit.base:
                yield f"acknowledge {kind} {other}", self._acknowledged(state, number, kind, other)
            if them.incarnation != members[other]:
                yield f"dead {kind} {other}", _acknowledge(state, number, other)
        if _majority(commit.acknowledged, members) or self.without("has_majority.commit"):
            yield f"send {kind}", _phase(state, number, SENT)
        yield f"cancel {kind}", _phase(state, number, CANCELLED)

    def _acknowledged(self, state: State, number: int, kind: str, other: int) -> State:
        base = state.commits[number].base
        state = _acknowledge(state, number, other)
        state = _set(state, other, known=max(base, state.hosts[other].known))
        return _set(state, other, intent=base) if kind == WITHDRAW else state

    def _may_withdraw_intent(self, state: State, commit: Commit, alive: bool) -> bool:
        if commit.phase == SENT:
            return alive and self.without("may_abort_intent")
        return commit.phase == CANCELLED and alive

    def _closings(self, state: State, commit: Commit) -> Iterator[Step]:
        for other in HOSTS:
            if state.hosts[other].intent == commit.base:
                yield f"close intent {other}", _set(state, other, intent=NONE)

    def _may_land(self, state: State, commit: Commit) -> bool:
        return _head(state) == commit.base or self.without("head_unchanged")

    def _landed(self, state: State, number: int, change: Change, members: tuple[int, ...]) -> State:
        commit = state.commits[number]
        state = _phase(state, number, DONE)._replace(overwritten=commit.base != _head(state))
        if state.removed_in == _head(state):
            state = _mark(state, REMOVAL)
        if change.kind == REMOVE:
            state = state._replace(removed_in=len(state.members))
        if change.kind == WITHDRAW:
            state = state._replace(withdrawn_in=len(state.members))
        return state._replace(members=(*state.members, members), known_on=frozenset())

    def _next_members(
        self, state: State, commit: Commit, change: Change
    ) -> Iterator[tuple[int, ...]]:
        """Return what the commit may make of the members; others may be taken along or not."""
        members = state.members[-1]
        if change.kind == REMOVE:
            members = _put(members, change.target, NONE)
        if change.kind == JOIN:
            members = _put(members, change.host, commit.incarnation)
        yield members
        if change.kind != JOIN:
            return
        started = [
            each.incarnation if self._may_take_along(members[host]) else members[host]
            for host, each in enumerate(state.hosts)
        ]
        if tuple(started) != members:
            yield tuple(started)

    def _may_take_along(self, registered: int) -> bool:
        return registered != NONE or self.without("may_register")

    # Reports that the head is in force.

    def _report_steps(self, state: State) -> Iterator[Step]:
        head = _head(state)
        if state.in_force == head or not self.plan.reports:
            return
        for host in HOSTS:
            me = state.hosts[host]
            if me.known == head and host not in state.known_on:
                yield f"known on {host}", self._known(state, host)
        if self._enough(state) and self._wait_is_over(state, KNOWN, "wait_is_over"):
            yield "report after wait", _reported(state, KNOWN)
        if self._may_shorten_wait(state):
            yield "report at once", _reported(state, REMOVAL)

    def _may_shorten_wait(self, state: State) -> bool:
        head = _head(state)
        registered = [host for host in HOSTS if state.members[head][host] != NONE]
        if any(state.hosts[host].installed != head for host in registered):
            return False
        if self.without("may_shorten_wait"):
            return True
        return state.removed_in != head and self._wait_is_over(state, REMOVAL, "may_shorten_wait")

    def _enough(self, state: State) -> bool:
        if self.without("has_majority.report"):
            return bool(state.known_on)
        return _majority(state.known_on, state.members[-1])

    def _known(self, state: State, host: int) -> State:
        before = self._enough(state)
        state = state._replace(known_on=state.known_on | {host})
        return _mark(state, KNOWN) if self._enough(state) and not before else state

    def _wait_is_over(self, state: State, wait: str, guard: str) -> bool:
        return self.without(guard) or state.proof is None or not state.proof.is_before(wait)

    # What must hold.

    def _usable(self, state: dict[str, Any]) -> bool:
        """Return whether the holder serves requests now."""
        if state["proof"] is None:
            return False
        me = state["hosts"][self.plan.holder]
        if self.without("is_registered"):
            return True
        registered: int = state["members"][me.installed][self.plan.holder]
        return registered == me.incarnation

    def withdrawn_key_stops(self, state: dict[str, Any]) -> bool:
        """No proof whose question was sent after the withdrawal's commit serves the key."""
        if not self._usable(state) or not state["proof"].after_withdrawal:
            return True
        me = state["hosts"][self.plan.holder]
        suspended = me.intent != NONE or state["proof"].excepted
        return bool(me.installed >= state["withdrawn_in"] or suspended)

    def in_force_everywhere(self, state: dict[str, Any]) -> bool:
        """No host with proof acts on a version older than one reported in force."""
        installed = state["hosts"][self.plan.holder].installed
        return not self._usable(state) or installed >= state["in_force"]

    def _first(self, host: int) -> Host:
        if host in self.plan.restarted:
            return Host(1, NONE, NONE)
        return Host() if self.plan.members[host] != NONE else Host(0, NONE, NONE)

    def protocol(self, name: str) -> Protocol:
        """Return the protocol to check."""
        hosts = tuple(self._first(host) for host in HOSTS)
        commits = tuple(Commit() for _ in self.plan.changes)
        return Protocol(
            name=name,
            candidate=False,
            fields=State._fields,
            initial=State((self.plan.members,), hosts, commits),
            transitions=self.steps,
            invariants={
                "withdrawn_key_stops": self.withdrawn_key_stops,
                "in_force_everywhere": self.in_force_everywhere,
                "never_reverts": lambda state: not state["reverted"],
                "no_commit_is_lost": lambda state: not state["overwritten"],
            },
        )


def _head(state: State) -> int:
    return len(state.members) - 1


def _put(values: tuple[Any, ...], index: int, value: Any) -> tuple[Any, ...]:
    return (*values[:index], value, *values[index + 1 :])


def _set(state: State, host: int, **fields: int) -> State:
    return state._replace(hosts=_put(state.hosts, host, state.hosts[host]._replace(**fields)))


def _phase(state: State, number: int, phase: str) -> State:
    commit = state.commits[number]._replace(phase=phase)
    if phase in (IDLE, DONE):
        commit = Commit(phase)
    if phase in (SENT, CANCELLED):
        commit = commit._replace(acknowledged=frozenset())
    return state._replace(commits=_put(state.commits, number, commit))


def _acknowledge(state: State, number: int, host: int) -> State:
    commit = state.commits[number]
    commit = commit._replace(acknowledged=commit.acknowledged | {host})
    return state._replace(commits=_put(state.commits, number, commit))


def _mark(state: State, wait: str) -> State:
    return state._replace(proof=_marked(state.proof, wait), question=_marked(state.question, wait))


def _marked(proof: Proof | None, wait: str) -> Proof | None:
    if proof is None:
        return None
    if wait == KNOWN:
        return proof._replace(before_known=True)
    return proof._replace(before_removal=True)


def _reported(state: State, wait: str) -> State:
    question = state.question
    if question is not None and question.is_before(wait):
        question = None
    return state._replace(in_force=_head(state), question=question)


class Checked(NamedTuple):
    """A plan and the guards whose mutants are tried on it."""

    plan: Plan
    guards: tuple[str, ...]


CHECKED_BY_NAME = {
    "withdrawal": Checked(
        Plan(1, (Change(WITHDRAW, 0),), crashing=(2,)),
        (
            "has_majority.commit",
            "has_majority.vouch",
            "suspended_keys",
            "intent_is_open",
            "may_abort_intent",
            "may_count_confirmation",
            "proof_is_valid",
        ),
    ),
    "report": Checked(
        Plan(1, (Change(CONFIGURE, 0),), crashing=(2,), reports=True),
        ("has_majority.report", "wait_is_over", "may_confirm", "may_count_confirmation"),
    ),
    "two committers": Checked(
        Plan(2, (Change(WITHDRAW, 0), Change(CONFIGURE, 1))),
        ("suspended_keys", "may_install", "head_unchanged"),
    ),
    "restart": Checked(
        Plan(1, (Change(WITHDRAW, 0), Change(JOIN, 2)), crashing=(1,), restarted=(2,)),
        ("may_count_confirmation", "head_unchanged"),
    ),
    "removal": Checked(
        Plan(2, (Change(REMOVE, 0, 2), Change(CONFIGURE, 0)), reports=True),
        ("may_shorten_wait", "wait_is_over"),
    ),
    "two removals": Checked(
        Plan(1, (Change(REMOVE, 0, 2), Change(REMOVE, 0, 1)), reports=True),
        ("has_majority.commit",),
    ),
    "joining": Checked(
        Plan(2, (Change(CONFIGURE, 0), Change(JOIN, 2)), members=(0, 0, NONE), reports=True),
        ("is_registered",),
    ),
    "growing": Checked(
        Plan(0, (Change(JOIN, 1), Change(JOIN, 2)), members=(0, NONE, NONE), reports=True),
        ("may_register",),
    ),
}

GUARDS = frozenset(guard for checked in CHECKED_BY_NAME.values() for guard in checked.guards)


def _model(name: str, checked: Checked) -> CheckedModel:
    full_name = f"freshness: {name}"

    def build(present: frozenset[str]) -> Protocol:
        absent = frozenset(checked.guards) - present
        return Freshness(checked.plan, GUARDS - absent).protocol(full_name)

    return CheckedModel(full_name, build, checked.guards, _witnesses(checked.plan))


def _witnesses(plan: Plan) -> dict[str, Predicate]:
    last = len(plan.changes)
    witnesses: dict[str, Predicate] = {
        "all_changes_committed": lambda state: len(state["members"]) > last,
        "proof_of_the_last": lambda state: _proves(state, plan.holder, last),
    }
    if plan.reports:
        witnesses["last_in_force"] = lambda state: state["in_force"] == last
    return witnesses


def _proves(state: dict[str, Any], holder: int, version: int) -> bool:
    return state["proof"] is not None and state["hosts"][holder].installed == version


MODELS = tuple(_model(name, checked) for name, checked in CHECKED_BY_NAME.items())
