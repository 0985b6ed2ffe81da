"""Tests of changes of the registered hosts."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from flamingoladder.config.agreed import AgreedState
from flamingoladder.members.changes import MarkLeaving
from flamingoladder.members.changes import RegisterMember
from flamingoladder.members.changes import RemoveMember
from flamingoladder.members.directory import DirectoryEntry
from flamingoladder.members.member import Member
from flamingoladder.storage.table import Condition
from tests.freshness.fleet import DEPLOYMENT


def _member(host: str, incarnation: str = "i1") -> Member:
    return Member(host, "north", "n1", incarnation, "", "", "")


def _entry(host: str, incarnation: str = "i1") -> DirectoryEntry:
    return DirectoryEntry(_member(host, incarnation), Condition(f"hosts/{host}", 1))


NO_MEMBERS = AgreedState(1, 1, 1, DEPLOYMENT)
TWO_MEMBERS = replace(NO_MEMBERS, members=(_member("h1"), _member("h2")))


@pytest.mark.parametrize(
    ("state", "entries", "expected"),
    [
        (NO_MEMBERS, (), {"h3": "i1"}),
        (NO_MEMBERS, (_entry("h1"), _entry("h2")), {"h1": "i1", "h2": "i1", "h3": "i1"}),
        (TWO_MEMBERS, (_entry("h2", "i2"),), {"h1": "i1", "h2": "i2", "h3": "i1"}),
        (TWO_MEMBERS, (_entry("h4"),), {"h1": "i1", "h2": "i1", "h3": "i1"}),
    ],
)
def test_registration_adds_one_new_host_unless_none_is_registered(
    state: AgreedState, entries: tuple[DirectoryEntry, ...], expected: dict[str, str]
) -> None:
    changed = RegisterMember(_member("h3"), entries).apply(state)
    assert isinstance(changed, AgreedState)
    assert {member.host: member.incarnation for member in changed.members} == expected


def test_registration_requires_unchanged_rows_of_other_hosts() -> None:
    change = RegisterMember(_member("h3"), (_entry("h2", "i2"),))
    assert change.conditions == (Condition("hosts/h2", 1),)


def test_repeated_registration_keeps_the_leaving_flag() -> None:
    leaving = MarkLeaving("h2").apply(TWO_MEMBERS)
    assert isinstance(leaving, AgreedState)
    assert leaving.members_by_host["h2"].leaving
    assert RegisterMember(_member("h2")).apply(leaving) is leaving


@pytest.mark.parametrize(("incarnation", "removed"), [(None, True), ("i1", True), ("i0", False)])
def test_removal_applies_only_to_the_given_incarnation(
    incarnation: str | None, removed: bool
) -> None:
    changed = RemoveMember("h2", incarnation).apply(TWO_MEMBERS)
    assert isinstance(changed, AgreedState)
    assert ("h2" not in changed.members_by_host) is removed
