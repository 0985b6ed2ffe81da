"""Changes of the registered hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from flamingoladder.freshness import guards
from flamingoladder.freshness.changes import Change

if TYPE_CHECKING:
    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.freshness.changes import Rejection
    from flamingoladder.members.directory import DirectoryEntry
    from flamingoladder.members.member import Member
    from flamingoladder.storage.table import Condition


class RegisterMember(Change):
    """Registers ``member`` and the hosts of ``entries`` that ``member`` may register too.

    This is sound only while the directory's rows are unchanged since they were read: an outdated
    entry would register a dead incarnation in place of a live one.
    """

    __slots__ = ("entries", "member")

    def __init__(self, member: Member, entries: tuple[DirectoryEntry, ...] = ()) -> None:
        self.member = member
        self.entries = entries

    @property
    def scope(self) -> str:
        """Return ``member:<host>``."""
        return f"member:{self.member.host}"

    @property
    def conditions(self) -> tuple[Condition, ...]:
        """Require that the directory's rows are unchanged."""
        return tuple(entry.condition for entry in self.entries)

    def apply(self, state: AgreedState) -> AgreedState | Rejection:
        """Register the new incarnations."""
        by_host = state.members_by_host
        for member in (*(entry.member for entry in self.entries), self.member):
            if guards.may_register(member.host, self.member.host, state.members_by_host):
                by_host[member.host] = _registration(member, by_host.get(member.host))
        return _with_members(state, by_host)


class MarkLeaving(Change):
    """Marks a host as leaving, so that look-ups no longer return it."""

    __slots__ = ("host",)

    def __init__(self, host: str) -> None:
        self.host = host

    @property
    def scope(self) -> str:
        """Return ``member:<host>``."""
        return f"member:{self.host}"

    def apply(self, state: AgreedState) -> AgreedState | Rejection:
        """Mark the host."""
        by_host = state.members_by_host
        member = by_host.get(self.host)
        if member is None or member.leaving:
            return state
        by_host[self.host] = replace(member, leaving=True)
        return _with_members(state, by_host)


class RemoveMember(Change):
    """Removes a host; ``incarnation`` restricts this to one run of its daemon."""

    __slots__ = ("host", "incarnation")

    def __init__(self, host: str, incarnation: str | None = None) -> None:
        self.host = host
        self.incarnation = incarnation

    @property
    def scope(self) -> str:
        """Return ``member:<host>``."""
        return f"member:{self.host}"

    def apply(self, state: AgreedState) -> AgreedState | Rejection:
        """Remove the host."""
        by_host = state.members_by_host
        member = by_host.get(self.host)
        if member is None or self.incarnation not in (None, member.incarnation):
            return state
        del by_host[self.host]
        return _with_members(state, by_host)


def _registration(member: Member, registered: Member | None) -> Member:
    """Return ``registered`` if its incarnation is ``member``'s, so that ``leaving`` stays set."""
    if registered is not None and registered.incarnation == member.incarnation:
        return registered
    return member


def _with_members(state: AgreedState, by_host: dict[str, Member]) -> AgreedState:
    members = tuple(by_host[host] for host in sorted(by_host))
    if members == state.members:
        return state
    return replace(state, members=members)
