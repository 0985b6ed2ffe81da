"""A cap whose parts change hands: takeover after lapse of proof, return, restart and freeze.

Two hosts own the parts in ``PARTS`` one version after the other, where a host with no part isn't a
member. A host learns the newest version at any time, or not at all while it is frozen; its proof
lapses ``PROOF`` ticks after the commit that it doesn't know of. A restarted host starts with
nothing. The guards are those of ``flamingoladder.steering``: ``cap_bucket`` and ``shift_cap``.
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

UNITS = 2
PARTS = ((0, 0), (1, 1), (0, 2), (1, 1))
NEWEST = len(PARTS) - 1
PROOF = 2
MAX_RESTARTS = 1
GUARDS = ("has_proof", "division_settles_at", "keeps_smaller_part", "follows")


class Host(NamedTuple):
    """One run of a host; ``version`` 0 is that of a run that has learned nothing yet.

    ``grow_in`` counts the ticks until the run may use the whole of its part.
    """

    version: int = 1
    own: int = 1
    grow_in: int = 0


class State(NamedTuple):
    """``ages`` has the ticks since each version's commit, at most ``PROOF``; -1 before it."""

    version: int = 1
    ages: tuple[int, ...] = (PROOF, PROOF) + (-1,) * (NEWEST - 1)
    hosts: tuple[Host, ...] = (Host(), Host())
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
            found += [*self._adopt(now, index), *self._restart(now, index)]
        return found

    def conserved(self, state: dict[str, Any]) -> bool:
        """Return whether the hosts that may spend hold no more than the cap together."""
        now = State(**state)
        checked = "has_proof" in self.guards
        spending = [host for host in now.hosts if not checked or proven(now, host)]
        return sum(host.own for host in spending) <= UNITS

    def _tick(self, now: State) -> Iterator[Step]:
        ages = tuple(age if age < 0 else min(PROOF, age + 1) for age in now.ages)
        hosts = tuple(self._aged(host, index) for index, host in enumerate(now.hosts))
        yield "tick", now._replace(ages=ages, hosts=hosts)

    def _aged(self, host: Host, index: int) -> Host:
        if host.grow_in == 0:
            return host
        own = PARTS[host.version][index] if host.grow_in == 1 else host.own
        return host._replace(own=own, grow_in=host.grow_in - 1)

    def _commit(self, now: State) -> Iterator[Step]:
        if now.version < NEWEST:
            version = now.version + 1
            ages = tuple(0 if index == version else age for index, age in enumerate(now.ages))
            yield f"commit {version}", now._replace(version=version, ages=ages)

    def _adopt(self, now: State, index: int) -> Iterator[Step]:
        host = now.hosts[index]
        if host.version == now.version:
            return
        part = PARTS[now.version][index]
        kept = min(host.own, part) if "keeps_smaller_part" in self.guards else part
        if "follows" in self.guards and not 0 < host.version == now.version - 1:
            kept = 0
        waits = "division_settles_at" in self.guards
        after = host._replace(
            version=now.version, own=kept if waits else part, grow_in=PROOF if waits else 0
        )
        yield f"host {index} adopts {now.version}", with_host(now, index, after)

    def _restart(self, now: State, index: int) -> Iterator[Step]:
        if now.restarts == MAX_RESTARTS:
            return
        run = Host(version=0, own=0)
        yield f"host {index} restarts", with_host(now, index, run)._replace(
            restarts=now.restarts + 1
        )


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
    CheckedModel(
        name="division",
        build=build,
        guards=GUARDS,
        witnesses={
            "taken over": lambda state: state["hosts"][1].own == UNITS,
            "returned": lambda state: state["hosts"][0][:2] == (NEWEST, 1),
            "restarted and used": lambda state: (
                state["restarts"] > 0 and state["hosts"][1].own == UNITS
            ),
        },
    ),
)
