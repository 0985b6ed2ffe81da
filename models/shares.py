"""Changes of an allowance's division: takeover after lapse of proof, return, restart and freeze.

Two hosts own the parts in ``PARTS`` one version after the other, where a
host with no part isn't a member. A host learns the newest version
at any time, or not at all while it is frozen; its proof lapses ``PROOF`` ticks after the commit
that it doesn't know of. A restarted host is a member from the next commit on. The guards are those
of ``flamingoladder.shares``: ``division``, ``bucket``, ``lending`` and ``account``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from minicheck import Protocol

from models.checked import CheckedModel
from models.loans import MODELS as LOAN_MODELS

if TYPE_CHECKING:
    from collections.abc import Iterator

UNITS = 2
PARTS = ((0, 0), (1, 1), (0, 2), (1, 1))
NEWEST = len(PARTS) - 1
PROOF = 2
MAX_LOANS = 2
MAX_RESTARTS = 1
GUARDS = (
    "has_proof",
    "division_settles_at",
    "keeps_smaller_part",
    "follows",
    "is_member",
    "loans_end_at_division",
    "all_adopted",
    "is_settled",
    "may_lend_to",
    "is_same_division",
)


class Host(NamedTuple):
    """One run of a host; ``version`` 0 is that of a run that has learned nothing yet.

    ``grow_in`` counts the ticks until the run may use the whole of its part, ``settled`` says that
    it may do so earlier if all owners of the division before have adopted this one.
    """

    version: int = 1
    own: int = 1
    lent: int = 0
    borrowed: int = 0
    grow_in: int = 0
    settled: bool = False
    member_from: int = 1

    @property
    def units(self) -> int:
        """Return what the host holds."""
        return max(0, self.own - self.lent + self.borrowed)


class State(NamedTuple):
    """``ages`` has the ticks since each version's commit, at most ``PROOF``; -1 before it.

    ``sent`` holds loans under way as pairs of receiver and version, ``said`` the versions that each
    run of a host has said to have adopted; a run is named by its host and ``member_from``.
    """

    version: int = 1
    ages: tuple[int, ...] = (PROOF, PROOF) + (-1,) * (NEWEST - 1)
    hosts: tuple[Host, ...] = (Host(), Host())
    sent: frozenset[tuple[int, int]] = frozenset()
    said: frozenset[tuple[int, int, int]] = frozenset()
    loans: int = 0
    restarts: int = 0


Step = tuple[str, State]


def proven(state: State, host: Host) -> bool:
    """Return whether a host has proof that its version is the newest."""
    if host.version == 0:
        return False
    return host.version == state.version or state.ages[host.version + 1] < PROOF


class Rules:
    """The steps of the model with the guards that are in place."""

    def __init__(self, guards: frozenset[str]) -> None:
        self.guards = guards

    def steps(self, state: tuple[Any, ...]) -> list[Step]:
        """Return each possible step and the state after it."""
        now = State(*state)
        found = [*self._tick(now), *self._commit(now)]
        for index in range(len(now.hosts)):
            found += [*self._adopt(now, index), *self._lend(now, index)]
            found += [*self._credit(now, index), *self._restart(now, index)]
            found += self._grow_early(now, index)
        return found

    def conserved(self, state: dict[str, Any]) -> bool:
        """Return whether the hosts that may spend hold no more than the allowance together."""
        now = State(**state)
        checked = "has_proof" in self.guards
        spending = [host for host in now.hosts if not checked or proven(now, host)]
        return sum(host.units for host in spending) <= UNITS

    def _tick(self, now: State) -> Iterator[Step]:
        ages = tuple(age if age < 0 else min(PROOF, age + 1) for age in now.ages)
        hosts = tuple(self._aged(host, index) for index, host in enumerate(now.hosts))
        yield "tick", now._replace(ages=ages, hosts=hosts)

    def _aged(self, host: Host, index: int) -> Host:
        if host.grow_in == 0:
            return host
        own = self._part(host, host.version, index) if host.grow_in == 1 else host.own
        return host._replace(own=own, grow_in=host.grow_in - 1)

    def _grow_early(self, now: State, index: int) -> Iterator[Step]:
        host = now.hosts[index]
        settled = host.settled or "is_settled" not in self.guards
        if host.grow_in == 0 or host.version < 2 or not settled:
            return
        if "all_adopted" in self.guards and not self._all_adopted(now, index):
            return
        own = self._part(host, host.version, index)
        yield f"host {index} grows early", _with_host(now, index, host._replace(own=own, grow_in=0))

    def _all_adopted(self, now: State, index: int) -> bool:
        """Return whether the other owner of the division before has let go of it."""
        host, other = now.hosts[index], now.hosts[1 - index]
        before = host.version - 1
        run = other.member_from if other.member_from <= before else 1
        if PARTS[before][1 - index] == 0:
            return True
        versions = [said for at, who, said in now.said if (at, who) == (1 - index, run)]
        return any(version >= host.version for version in versions)

    def _part(self, host: Host, version: int, index: int) -> int:
        if "is_member" in self.guards and version < host.member_from:
            return 0
        return PARTS[version][index]

    def _commit(self, now: State) -> Iterator[Step]:
        if now.version < NEWEST:
            version = now.version + 1
            ages = tuple(0 if index == version else age for index, age in enumerate(now.ages))
            yield f"commit {version}", now._replace(version=version, ages=ages)

    def _adopt(self, now: State, index: int) -> Iterator[Step]:
        host = now.hosts[index]
        if host.version == now.version:
            return
        part = self._part(host, now.version, index)
        kept = min(host.units, part) if "keeps_smaller_part" in self.guards else part
        follows = 0 < host.version == now.version - 1
        if "follows" in self.guards and not follows:
            kept = 0
        ended = "loans_end_at_division" in self.guards
        waits = "division_settles_at" in self.guards
        after = host._replace(
            version=now.version,
            own=kept if waits else part,
            lent=0 if ended else host.lent,
            borrowed=0 if ended else host.borrowed,
            grow_in=PROOF if waits else 0,
            settled=follows and host.grow_in == 0,
        )
        said = now.said | {(index, host.member_from, now.version)}
        yield f"host {index} adopts {now.version}", _with_host(now, index, after)._replace(
            said=said
        )

    def _lend(self, now: State, index: int) -> Iterator[Step]:
        host = now.hosts[index]
        if now.loans == MAX_LOANS or not proven(now, host) or host.own - host.lent < 1:
            return
        if "may_lend_to" in self.guards and not self._may_lend_to(now, 1 - index, host.version):
            return
        sent = now.sent | {(1 - index, host.version)}
        after = _with_host(now, index, host._replace(lent=host.lent + 1))
        yield f"host {index} lends", after._replace(sent=sent, loans=now.loans + 1)

    def _may_lend_to(self, now: State, index: int, version: int) -> bool:
        """Return whether the present run of a host is a member of a division."""
        return self._part(now.hosts[index], version, index) > 0

    def _credit(self, now: State, index: int) -> Iterator[Step]:
        host = now.hosts[index]
        for receiver, version in now.sent:
            if receiver != index or host.version == 0:
                continue
            if "is_same_division" in self.guards and version != host.version:
                continue
            after = _with_host(now, index, host._replace(borrowed=host.borrowed + 1))
            yield f"host {index} credits", after._replace(sent=now.sent - {(receiver, version)})

    def _restart(self, now: State, index: int) -> Iterator[Step]:
        if now.restarts == MAX_RESTARTS:
            return
        run = Host(version=0, own=0, member_from=now.version + 1)
        yield f"host {index} restarts", _with_host(now, index, run)._replace(
            restarts=now.restarts + 1
        )


def _with_host(now: State, index: int, host: Host) -> State:
    hosts = tuple(host if at == index else each for at, each in enumerate(now.hosts))
    return now._replace(hosts=hosts)


def build(guards: frozenset[str]) -> Protocol:
    """Return the model with the given guards."""
    rules = Rules(guards)
    return Protocol(
        name="division",
        candidate=True,
        fields=State._fields,
        initial=State(),
        transitions=rules.steps,
        invariants={"units_conserved": rules.conserved},
    )


MODELS = (
    *LOAN_MODELS,
    CheckedModel(
        name="division",
        build=build,
        guards=GUARDS,
        witnesses={
            "taken over": lambda state: state["hosts"][1].own == UNITS,
            "returned": lambda state: state["hosts"][0][:2] == (NEWEST, 1),
            "restarted and used": lambda state: (
                state["hosts"][1].member_from > 1 and state["hosts"][1].own > 0
            ),
        },
    ),
)
