"""Tests of the authentication of callers' keys."""

from __future__ import annotations

import msgspec
import pytest

from flamingoladder.config.agreed import KeyGrant
from flamingoladder.keys.authentication import GrantedKeys
from flamingoladder.keys.authentication import key_digest
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict
from tests.gateway.states import KEY
from tests.gateway.states import FixedState
from tests.gateway.states import agreed


@pytest.mark.parametrize(
    ("key", "reason"),
    [
        (None, Reason.KEY_MISSING),
        ("", Reason.KEY_MISSING),
        ("guess", Reason.KEY_UNKNOWN),
        (KEY[:-1], Reason.KEY_UNKNOWN),
        (key_digest(KEY), Reason.KEY_UNKNOWN),
        ("\udcff\udcfe", Reason.KEY_UNKNOWN),
    ],
)
def test_key_that_is_not_granted_is_refused(key: str | None, reason: Reason) -> None:
    result = GrantedKeys(FixedState(agreed())).authenticate(key)
    assert (result.error.reason, result.error.verdict) == (reason, Verdict.NOT_RUN)


def test_key_authenticates_its_workspace_until_withdrawn() -> None:
    state = FixedState(agreed())
    keys = GrantedKeys(state)
    grant = keys.authenticate(KEY).ok
    assert (grant.workspace, keys.recheck(grant.key_id)) == ("midnight-sun", None)
    state.set(grants=(msgspec.structs.replace(grant, withdrawn=True),))
    assert keys.authenticate(KEY).error.reason is Reason.KEY_WITHDRAWN
    recheck = keys.recheck(grant.key_id)
    assert recheck is not None
    assert recheck.reason is Reason.KEY_WITHDRAWN
    state.set(grants=())
    assert keys.recheck(grant.key_id) is not None


@pytest.mark.parametrize("withdrawn_first", [True, False])
def test_withdrawal_takes_precedence_over_a_grant_of_the_same_key(withdrawn_first: bool) -> None:
    grants = [
        KeyGrant("k1", "midnight-sun", key_digest(KEY), withdrawn=withdrawn_first),
        KeyGrant("k2", "ferry-camp", key_digest(KEY), withdrawn=not withdrawn_first),
    ]
    state = FixedState(agreed())
    state.set(grants=tuple(grants))
    assert GrantedKeys(state).authenticate(KEY).error.reason is Reason.KEY_WITHDRAWN
