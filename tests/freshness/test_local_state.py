"""Tests of one host's local state and of the decisions in ``guards``."""

from __future__ import annotations

import math

import pytest
from msgspec.structs import replace

from flamingoladder.config.agreed import AgreedState
from flamingoladder.freshness import guards
from flamingoladder.freshness.head import encode_state
from flamingoladder.freshness.local_state import LocalState
from flamingoladder.freshness.local_state import OpenIntent
from flamingoladder.members.member import Member
from tests.freshness.fleet import DEPLOYMENT
from tests.freshness.fleet import KEY
from tests.freshness.fleet import PROOF_S
from tests.freshness.fleet import WAIT_S

MEMBERS = tuple(Member(host, "north", "n1", "i1", "", "", "") for host in ("h1", "h2", "h3"))
STATE = AgreedState(5, 5, 5, DEPLOYMENT, (KEY,), MEMBERS)


def _install(local_state: LocalState, state: AgreedState, now: float = 0.0) -> bool:
    return local_state.install(encode_state(state, "c", ()).head, state, now)


@pytest.fixture
def local_state() -> LocalState:
    """Return the local state of a host that has installed version 5."""
    local_state = LocalState(MEMBERS[0])
    _install(local_state, STATE)
    return local_state


def _intent(base_version: int) -> OpenIntent:
    return OpenIntent("c1", base_version, KEY.key_id, "h2", "i1", 0.0)


def test_answer_processed_after_a_long_pause_gives_no_proof(local_state: LocalState) -> None:
    resumed_at = 100.0
    assert local_state.renew_proof(5, 1.0, frozenset())
    assert not local_state.has_proof(resumed_at)
    assert not local_state.renew_proof(5, 0.5, frozenset())


def test_proof_expires_after_its_lifetime(local_state: LocalState) -> None:
    local_state.renew_proof(5, 1.0, frozenset())
    assert local_state.has_proof(0.99 + PROOF_S)
    assert not local_state.has_proof(1.0 + PROOF_S)


def test_unregistered_incarnation_has_no_proof(local_state: LocalState) -> None:
    restarted = LocalState(replace(MEMBERS[0], incarnation="i2"))
    _install(restarted, STATE)
    assert restarted.renew_proof(5, 1.0, frozenset())
    assert not restarted.has_proof(1.0)


def test_lower_version_is_not_installed(local_state: LocalState) -> None:
    assert not _install(local_state, replace(STATE, version=4))
    assert local_state.installed == 5


def test_intent_stays_open_until_a_later_version_is_installed(local_state: LocalState) -> None:
    assert local_state.open_intent(_intent(6))
    _install(local_state, replace(STATE, version=6))
    assert local_state.suspended_keys == {KEY.key_id}
    _install(local_state, replace(STATE, version=7))
    assert not local_state.suspended_keys


def test_intent_on_an_older_version_is_not_acknowledged(local_state: LocalState) -> None:
    assert not local_state.open_intent(_intent(4))
    assert not local_state.suspended_keys


def test_peer_suspended_key_is_withdrawn_until_newer_proof(local_state: LocalState) -> None:
    local_state.renew_proof(5, 1.0, frozenset({KEY.key_id}))
    assert local_state.effective is not None
    assert local_state.effective.grants[0].withdrawn
    local_state.renew_proof(5, 2.0, frozenset())
    assert local_state.effective == STATE


def test_division_settles_wait_s_after_a_majority_knows_it(local_state: LocalState) -> None:
    settles_at: list[float] = []
    local_state.changes.subscribe(lambda _: settles_at.append(local_state.division_settles_at))
    local_state.confirm_division(5, {"h1"}, 1.0)
    local_state.confirm_division(5, {"h1", "h2"}, 2.0)
    local_state.confirm_division(5, {"h1", "h2", "h3"}, 3.0)
    assert settles_at == [math.inf, 2.0 + WAIT_S]


def test_later_version_proves_that_a_majority_knows_the_division(local_state: LocalState) -> None:
    _install(local_state, replace(STATE, version=6), now=4.0)
    assert local_state.division_settles_at == 4.0 + WAIT_S
    _install(local_state, replace(STATE, version=7, division_version=7), now=5.0)
    assert math.isinf(local_state.division_settles_at)


@pytest.mark.parametrize(
    ("asked_version", "installed", "known", "expected"),
    [(5, 5, 5, True), (5, 5, 6, False), (5, 6, 6, False), (6, 5, 6, False)],
)
def test_host_may_confirm_only_the_installed_and_newest_version(
    asked_version: int, installed: int, known: int, expected: bool
) -> None:
    assert guards.may_confirm(asked_version, installed, known) is expected


@pytest.mark.parametrize(
    ("hosts", "expected"),
    [(set(), False), ({"h1"}, False), ({"h1", "h2"}, True), ({"x", "h1"}, False)],
)
def test_majority_counts_only_registered_hosts(hosts: set[str], expected: bool) -> None:
    assert guards.has_majority(hosts, STATE.members_by_host) is expected


def test_no_acknowledgement_is_needed_without_registered_hosts() -> None:
    assert guards.has_majority(set(), {})
