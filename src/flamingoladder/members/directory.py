"""The directory of started daemons: one row for each host, with its newest incarnation."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from flamingoladder.decoding import MalformedValueError
from flamingoladder.members.member import Member
from flamingoladder.members.member import decode_member
from flamingoladder.storage.table import Condition
from flamingoladder.storage.table import Write

if TYPE_CHECKING:
    from flamingoladder.storage.table import Row
    from flamingoladder.storage.table import TableService

DIRECTORY_PREFIX = "hosts/"


class DirectoryEntry(msgspec.Struct, frozen=True):
    """A host's newest incarnation; ``condition`` requires that it still is the newest."""

    member: Member
    condition: Condition


async def read_directory(table: TableService, timeout_s: float) -> dict[str, Member]:
    """Return the newest incarnation of each host that ever started, by host.

    :raises PlatformUnavailableError: if no answer came within ``timeout_s`` seconds.
    """
    entries = await read_entries(table, timeout_s)
    return {entry.member.host: entry.member for entry in entries}


async def read_entries(table: TableService, timeout_s: float) -> tuple[DirectoryEntry, ...]:
    """Return the newest incarnation of each host that ever started; unreadable rows name none.

    :raises PlatformUnavailableError: if no answer came within ``timeout_s`` seconds.
    """
    rows = await table.read(DIRECTORY_PREFIX, timeout_s)
    return tuple(
        DirectoryEntry(member, Condition(row.key, row.revision))
        for row in rows.rows
        if (member := _member_in(row)) is not None
    )


async def write_entry(table: TableService, member: Member, timeout_s: float) -> bool:
    """Write ``member``'s row, replacing an earlier incarnation's; return whether it is stored.

    A host runs one daemon at a time, so an earlier incarnation is dead. The write requires the
    row to be unchanged since it was read: a delayed write of an earlier incarnation then fails.

    :raises PlatformError: if the table did not answer; the call may be repeated.
    """
    key = DIRECTORY_PREFIX + member.host
    row = await table.get(key, timeout_s)
    if _incarnation_in(row) == member.incarnation:
        return True
    condition = Condition(key, row.revision if row else 0)
    write = Write(key, msgspec.json.encode(member))
    commit = await table.transact((condition,), (write,), timeout_s)
    return commit.committed


async def delete_entry(table: TableService, member: Member, timeout_s: float) -> None:
    """Delete the row of ``member``'s host, unless a later incarnation has written it.

    :raises PlatformError: if the table did not answer; the call may be repeated.
    """
    key = DIRECTORY_PREFIX + member.host
    row = await table.get(key, timeout_s)
    if row is None or _incarnation_in(row) != member.incarnation:
        return
    await table.transact((Condition(key, row.revision),), (Write(key, None),), timeout_s)


def _member_in(row: Row) -> Member | None:
    """Return the member in a row, or None if it holds none, or that of another key."""
    try:
        return decode_member(row.key.removeprefix(DIRECTORY_PREFIX), row.value)
    except MalformedValueError:
        return None


def _incarnation_in(row: Row | None) -> str | None:
    member = None if row is None else _member_in(row)
    return None if member is None else member.incarnation
