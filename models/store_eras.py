"""A store that goes back: it loses commits, and hosts that know them put them back.

Three hosts, two changes, and one return from an older copy, as two are over 1.5 million states. A
version is the tuple of the changes in it, so that two versions of one number can differ. Hosts
sleep by taking no step. One host, the holder, uses proofs; a change is reported once
a majority has it and no proof without it is left.

``is_trusted`` is the property of ``StoreTrust``, ``head_unchanged`` the condition of
``HeadStorage.put_back``, ``majority_has_it`` that of ``ProofRenewer`` before it replaces a version;
``freshness/guards.py`` holds the others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from minicheck import Protocol

from models.checked import CheckedModel

if TYPE_CHECKING:
    from collections.abc import Iterator

HOSTS = (0, 1, 2)
MAJORITY = 2
COMMITTERS = (0, 1)
MAX_ERA = 1

Version = tuple[int, ...]


class Host(NamedTuple):
    """What a host has in memory: ``stored`` is the head that it read last, in era ``seen``.

    ``told`` is the newest era that it knows of.
    """

    installed: Version = ()
    known: int = 0
    seen: int = 0
    stored: Version = ()
    trusted: int = 0
    told: int = 0


class State(NamedTuple):
    """The whole system; ``bases`` holds what each change is to replace, None before it is acked.

    ``stored_in`` is the newest era in which a change's committer knows it to be in the store.
    ``past`` holds every head that the store had. ``broken`` says that two reported versions have
    one number.
    """

    hosts: tuple[Host, ...] = (Host(), Host(), Host())
    head: Version = ()
    era: int = 0
    past: frozenset[Version] = frozenset({()})
    bases: tuple[Version | None, ...] = (None, None)
    done: frozenset[int] = frozenset()
    stored_in: tuple[int, ...] = (0, 0)
    proof: Version | None = None
    reported: Version = ()
    broken: bool = False


Step = tuple[str, State]


class StoreEras:
    """The steps under a set of guards; ``holder`` uses proofs."""

    def __init__(self, holder: int, guards: frozenset[str]) -> None:
        self.holder = holder
        self.guards = guards

    def protocol(self, name: str) -> Protocol:
        """Return the model for the checker."""
        return Protocol(
            name=name,
            candidate=False,
            fields=State._fields,
            initial=State(),
            transitions=self.steps,
            invariants={
                "reported_stays_in_force": _reported_stays,
                "numbers_are_given_once": lambda state: not state["broken"],
            },
        )

    def steps(self, state: Any) -> list[Step]:
        """Return all steps from ``state``."""
        state = State(*state)
        found = [*self._store_steps(state), *self._change_steps(state)]
        for host in HOSTS:
            found += self._host_steps(state, host)
        if state.proof is not None:
            found.append(("proof ends", state._replace(proof=None)))
        return found

    def _store_steps(self, state: State) -> Iterator[Step]:
        if state.era == MAX_ERA:
            return
        for head in sorted(state.past - {state.head}):
            if len(head) < len(state.head):
                back = state._replace(head=head, era=state.era + 1)
                yield f"store back at {head}", back

    def _host_steps(self, state: State, number: int) -> Iterator[Step]:
        yield f"{number} reads", self._read(state, number)
        yield from self._put_back(state, number)
        yield from self._confirm(state, number)
        yield from self._adopt(state, number)
        for other in HOSTS:
            if len(state.hosts[other].installed) > len(state.hosts[number].installed):
                version = state.hosts[other].installed
                yield f"{number} fetches from {other}", _install(state, number, version)

    def _read(self, state: State, number: int) -> State:
        host = state.hosts[number]
        if len(state.head) > len(host.installed):
            state = _install(state, number, state.head)
        state = _set(state, number, seen=state.era, told=state.era, stored=state.head)
        if number in state.done and number in state.head:
            state = _note_stored(state, number)
        host = state.hosts[number]
        is_same = state.head == host.installed
        if "is_same_change" not in self.guards:
            is_same = len(state.head) == len(host.installed)
        is_trusted = host.trusted == state.era or "is_trusted" not in self.guards
        if is_same and is_trusted:
            return self._prove(state, number)
        return state

    def _put_back(self, state: State, number: int) -> Iterator[Step]:
        host = state.hosts[number]
        is_unchanged = (host.seen, host.stored) == (state.era, state.head)
        if "head_unchanged" not in self.guards:
            is_unchanged = host.seen == state.era
        if is_unchanged and len(host.stored) < len(host.installed):
            yield f"{number} puts back", _write(state, host.installed)

    def _confirm(self, state: State, number: int) -> Iterator[Step]:
        host = state.hosts[number]
        if len(self._confirming(state, host)) < MAJORITY:
            return
        confirmed = self._prove(state, number)
        for other in HOSTS:
            if state.hosts[other] in self._confirming(state, host):
                told = max(state.hosts[other].told, host.seen)
                confirmed = _set(confirmed, other, told=told)
        if host.stored == host.installed:
            confirmed = _set(confirmed, number, trusted=host.seen)
        yield f"{number} is confirmed", confirmed
        diverged = host.stored != host.installed and len(host.stored) == len(host.installed)
        if diverged and (host.seen, host.stored) == (state.era, state.head):
            yield f"{number} puts back over another", _write(confirmed, host.installed)

    def _confirming(self, state: State, asker: Host) -> list[Host]:
        """Return the hosts that know of nothing newer than what the asker has."""
        version = asker.installed
        return [
            host
            for host in state.hosts
            if host.known == len(host.installed) == len(version)
            and (host.installed == version or "is_same_change" not in self.guards)
        ]

    def _adopt(self, state: State, number: int) -> Iterator[Step]:
        """Replace another content of the installed version by that of the store."""
        host = state.hosts[number]
        if host.stored == host.installed or len(host.stored) != len(host.installed):
            return
        holders = sum(other.installed == host.stored for other in state.hosts)
        if holders >= MAJORITY or "majority_has_it" not in self.guards:
            yield f"{number} adopts", _set(state, number, installed=host.stored)

    def _change_steps(self, state: State) -> Iterator[Step]:
        for change in COMMITTERS:
            if change in state.done:
                yield from self._report(state, change)
            elif state.bases[change] is None:
                yield from self._announce(state, change)
            else:
                yield from self._commit(state, change)

    def _announce(self, state: State, change: int) -> Iterator[Step]:
        base = state.hosts[change].installed
        if state.head != base:
            return
        acknowledging = [number for number in HOSTS if state.hosts[number].known <= len(base)]
        if change in acknowledging and len(acknowledging) >= MAJORITY:
            for number in acknowledging:
                known = max(state.hosts[number].known, len(base))
                state = _set(state, number, known=known)
            bases = (*state.bases[:change], base, *state.bases[change + 1 :])
            yield f"{change} announces", state._replace(bases=bases)

    def _commit(self, state: State, change: int) -> Iterator[Step]:
        base = state.bases[change]
        assert base is not None
        if state.head != base:
            return
        version = (*base, change)
        written = _write(state, version)._replace(done=state.done | {change})
        written = _note_stored(written, change)
        if len(version) > len(state.hosts[change].installed):
            written = _install(written, change, version)
        yield f"{change} commits", written

    def _report(self, state: State, change: int) -> Iterator[Step]:
        base = state.bases[change]
        assert base is not None
        version = (*base, change)
        if state.hosts[change].installed != version or change in state.reported:
            return
        holding = sum(
            self._has(host, version) and self._is_in_era(host, state.stored_in[change])
            for host in state.hosts
        )
        proof_ended = state.proof is None or _extends(state.proof, version)
        if holding >= MAJORITY and proof_ended:
            broken = state.broken or not _extends(version, state.reported)
            yield f"{change} is reported", state._replace(reported=version, broken=broken)

    def _has(self, host: Host, version: Version) -> bool:
        if "acknowledged_change" not in self.guards:
            return host.known >= len(version)
        return _extends(host.installed, version)

    def _is_in_era(self, host: Host, stored_in: int) -> bool:
        """Return whether the host knows of no era in which the change may not be stored."""
        return host.told <= stored_in or "acknowledged_in_era" not in self.guards

    def _prove(self, state: State, number: int) -> State:
        if number != self.holder:
            return state
        return state._replace(proof=state.hosts[number].installed)


def _extends(version: Version, earlier: Version) -> bool:
    return version[: len(earlier)] == earlier


def _reported_stays(state: dict[str, Any]) -> bool:
    return state["proof"] is None or _extends(state["proof"], state["reported"])


def _set(state: State, number: int, **fields: Any) -> State:
    host = state.hosts[number]._replace(**fields)
    return state._replace(hosts=(*state.hosts[:number], host, *state.hosts[number + 1 :]))


def _note_stored(state: State, change: int) -> State:
    eras = state.stored_in
    return state._replace(stored_in=(*eras[:change], state.era, *eras[change + 1 :]))


def _install(state: State, number: int, version: Version) -> State:
    known = max(state.hosts[number].known, len(version))
    return _set(state, number, installed=version, known=known)


def _write(state: State, head: Version) -> State:
    return state._replace(head=head, past=state.past | {head})


GUARDS = (
    "is_trusted",
    "is_same_change",
    "acknowledged_change",
    "acknowledged_in_era",
    "majority_has_it",
    "head_unchanged",
)


def _model(holder: int) -> CheckedModel:
    name = f"store eras: host {holder} holds"

    def build(present: frozenset[str]) -> Protocol:
        return StoreEras(holder, present).protocol(name)

    witnesses = {
        "both_reported": lambda state: len(state["reported"]) == len(COMMITTERS),
        "put_back": lambda state: state["era"] == MAX_ERA and len(state["head"]) > 1,
    }
    return CheckedModel(name, build, GUARDS, witnesses)


# Host 2 commits nothing, so it may have slept over both changes.
MODELS = (_model(2),)
