"""Requests that crash targets: ends found or missed, reports lost, restarts, and answers to others.

One request crashes every target that runs it, by a reset or in silence; another caller's request
with the same content is answered. Two hosts send the first whenever they know of fewer ends than
``CONDEMNING``. A report of an end may be lost; a host may be cut off, and restart. A settled
moment stands for the time that the platform allows: no host is cut off, so that repeated reports
have arrived and silent targets were probed. What is checked is that nothing is sent after it once
enough targets have ended. In a model of its own all hosts are killed at once: then the ends that no
host had to write to the store count no more.

``own_answers_clear`` and ``places_count_apart`` are rules of ``CrashHistory``, ``silence_counts``
that of ``SilenceCheck``, ``repeated`` and ``asked_at_start`` those of ``PoisonUpkeep``,
``kept_in_store`` that of ``EvidenceKeeper``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from minicheck import Protocol

from models.checked import CheckedModel
from models.hosts import with_host

if TYPE_CHECKING:
    from collections.abc import Iterator

CONDEMNING = 3
MAX_ENDS = 4
STORED_CAUSES = 2
GUARDS = (
    "own_answers_clear",
    "places_count_apart",
    "silence_counts",
    "repeated",
    "asked_at_start",
)
KILL_GUARDS = ("kept_in_store",)


class End(NamedTuple):
    """The end of a target at a ``moment``, under a request of host ``sender``."""

    moment: int
    sender: int
    is_silent: bool


class Host(NamedTuple):
    """What a host knows: the numbers of ends, and up to which it takes them for cleared."""

    known: frozenset[int] = frozenset()
    cleared: int = 0


class Limits(NamedTuple):
    """How often each kind of trouble may come."""

    restarts: int = 0
    cuts: int = 0
    kills: int = 0


class State(NamedTuple):
    """``cut`` is the host that is cut off, -1 for none; ``late`` counts forbidden sends.

    ``stored`` are the ends that are to be in the store. When all hosts were killed, ``old`` ends
    had been found, of which ``forgotten`` were not in the store.
    """

    ends: tuple[End, ...] = ()
    moment: int = 0
    hosts: tuple[Host, ...] = (Host(), Host())
    cut: int = -1
    settled: bool = False
    restarts: int = 0
    cuts: int = 0
    late: int = 0
    stored: frozenset[int] = frozenset()
    kills: int = 0
    old: int = 0
    forgotten: int = 0


Step = tuple[str, State]


class Rules:
    """The steps of the model with the guards that are in place."""

    def __init__(self, guards: frozenset[str], limits: Limits) -> None:
        self.guards = guards
        self.limits = limits

    def steps(self, state: tuple[Any, ...]) -> list[Step]:
        """Return each possible step and the state after it."""
        now = State(*state)
        found = [*_passage(now), *self._settle(now)]
        for index in range(len(now.hosts)):
            found += [*self._send(now, index), *self._answer(now, index)]
            found += [*self._restart(now, index), *self._cut(now, index)]
        return [*found, *self._kill_all(now)]

    def _causes(self, now: State, host: Host) -> int:
        counted = {number for number in host.known if number >= host.cleared}
        if "places_count_apart" in self.guards:
            return len(counted)
        return len({now.ends[number].moment for number in counted})

    def _send(self, now: State, index: int) -> Iterator[Step]:
        if len(now.ends) == MAX_ENDS or self._causes(now, now.hosts[index]) >= CONDEMNING:
            return
        remembered = len(now.ends) - now.forgotten
        late = now.late + (now.settled and remembered >= CONDEMNING)
        for is_silent in (False, True):
            number = len(now.ends)
            ends = (*now.ends, End(now.moment, index, is_silent))
            sent = now._replace(ends=ends, late=late, settled=False)
            if is_silent:
                yield f"target of host {index} falls silent", sent
                continue
            noted = self._keep(_with_known(sent, index, {number}), index)
            yield f"target of host {index} resets, report lost", noted
            if now.cut < 0:
                yield f"target of host {index} resets", _with_known(noted, 1 - index, {number})

    def _answer(self, now: State, index: int) -> Iterator[Step]:
        """Let the request of another caller be answered."""
        if "own_answers_clear" not in self.guards and now.ends:
            host = now.hosts[index]._replace(cleared=len(now.ends))
            yield f"host {index} passes on an answer to another", with_host(now, index, host)

    def _restart(self, now: State, index: int) -> Iterator[Step]:
        if now.restarts == self.limits.restarts:
            return
        after = with_host(now, index, Host())._replace(restarts=now.restarts + 1)
        if "asked_at_start" in self.guards and now.cut < 0:
            after = _with_known(after, index, now.hosts[1 - index].known)
        elif now.cut >= 0:
            after = after._replace(settled=False)
        yield f"host {index} restarts", after

    def _keep(self, now: State, index: int) -> State:
        """Let the host that found an end write what counts, once there are enough causes."""
        host = now.hosts[index]
        if not self.limits.kills or self._causes(now, host) < STORED_CAUSES:
            return now
        return now._replace(stored=now.stored | host.known)

    def _kill_all(self, now: State) -> Iterator[Step]:
        if now.kills == self.limits.kills:
            return
        known = now.stored if "kept_in_store" in self.guards else frozenset()
        yield (
            "all hosts are killed",
            now._replace(
                hosts=tuple(Host(known) for _ in now.hosts),
                kills=now.kills + 1,
                old=len(now.ends),
                forgotten=len(now.ends) - len(now.stored),
                settled=False,
            ),
        )

    def _settle(self, now: State) -> Iterator[Step]:
        if now.cut >= 0 or now.settled:
            return
        after = now
        if "silence_counts" in self.guards:
            for number, end in list(enumerate(now.ends))[now.old :]:
                after = self._keep(_with_known(after, end.sender, {number}), end.sender)
        if "repeated" in self.guards:
            everything = after.hosts[0].known | after.hosts[1].known
            for index in range(len(after.hosts)):
                after = _with_known(after, index, everything)
        yield "settled", after._replace(settled=True)

    def _cut(self, now: State, index: int) -> Iterator[Step]:
        if now.cut == index:
            yield f"host {index} is reached again", now._replace(cut=-1)
        elif now.cut < 0 and now.cuts < self.limits.cuts:
            after = now._replace(cut=index, cuts=now.cuts + 1, settled=False)
            yield f"host {index} is cut off", after


def _passage(now: State) -> Iterator[Step]:
    if now.ends and now.ends[-1].moment == now.moment:
        yield "time passes", now._replace(moment=now.moment + 1)


def _with_known(now: State, index: int, numbers: set[int] | frozenset[int]) -> State:
    host = now.hosts[index]
    return with_host(now, index, host._replace(known=host.known | numbers))


def _protocol(guards: frozenset[str], limits: Limits) -> Protocol:
    rules = Rules(guards, limits)
    return Protocol(
        name="poison",
        candidate=True,
        fields=State._fields,
        initial=State(),
        transitions=rules.steps,
        invariants={"condemned_is_held_back": lambda state: state["late"] == 0},
    )


def build(guards: frozenset[str]) -> Protocol:
    """Return the model of restarts and cuts with the given guards."""
    return _protocol(guards, Limits(restarts=1, cuts=1))


def build_with_kill(guards: frozenset[str]) -> Protocol:
    """Return the model of a kill of all hosts with the given guards and all of the others."""
    return _protocol(guards.union(GUARDS), Limits(kills=1))


MODELS = (
    CheckedModel(
        name="poison",
        build=build,
        guards=GUARDS,
        witnesses={
            "condemned and settled": lambda state: (
                state["settled"] and len(state["ends"]) >= CONDEMNING
            ),
            "restarted after the third end": lambda state: (
                state["restarts"] > 0 and state["settled"] and len(state["ends"]) > CONDEMNING
            ),
        },
    ),
    CheckedModel(
        name="poison, all hosts killed",
        build=build_with_kill,
        guards=KILL_GUARDS,
        witnesses={
            "all killed after the third end": lambda state: (
                state["kills"] > 0 and state["settled"] and len(state["stored"]) >= CONDEMNING
            ),
        },
    ),
)
