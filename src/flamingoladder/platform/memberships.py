"""Registers this host in the platform's store and takes in the registrations of the others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.decoding import MalformedValueError
from flamingoladder.feed.reader import TableReader
from flamingoladder.members.member import Member
from flamingoladder.members.member import decode_member
from flamingoladder.storage.exceptions import OutcomeUnknownError
from flamingoladder.storage.exceptions import PlatformError
from flamingoladder.storage.exceptions import PlatformUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from flamingoladder.fleet.members import MemberRegistry
    from flamingoladder.platform.rows import RowStore
    from flamingoladder.storage.feed import StoredRow
    from flamingoladder.timeline.recorder import Recorder

TABLE = "members"
RETRY_PAUSE_S = 0.5


class MembershipReader(TableReader):
    """Brings registrations to the registry of members, and repeats this host's if it is lost."""

    __slots__ = (
        "_members",
        "_on_change",
        "_own",
        "_own_value",
        "_recorder",
        "_registered",
        "_store",
        "_tasks",
    )

    def __init__(
        self,
        own: Member,
        members: MemberRegistry,
        store: RowStore,
        on_change: Callable[[], None],
        recorder: Recorder,
    ) -> None:
        self._own = own
        self._own_value = msgspec.json.encode(own)
        self._members = members
        self._store = store
        self._on_change = on_change
        self._recorder = recorder
        self._registered = False
        self._tasks: set[asyncio.Task[None]] = set()

    def replace(self, rows: Sequence[StoredRow], now: float) -> None:
        """Take in all registrations."""
        for host in self._members.members_by_host.keys() - {row.key for row in rows}:
            self._members.remove(host)
        self.change(rows, now)
        if self._registered:
            self._restore_registration(rows)

    def change(self, rows: Sequence[StoredRow], now: float) -> None:
        """Take in changed registrations."""
        for row in rows:
            if row.value is None:
                self._handle_removal(row.key)
                continue
            try:
                member = decode_member(row.key, row.value)
            except MalformedValueError as error:
                self._recorder.record("member.unreadable", peer=row.key, error=error)
                continue
            self._members.put(member, now)
        self._on_change()

    def went_back(self, rows: Sequence[StoredRow], now: float) -> None:
        """Repeat this host's registration if it was lost."""
        self._restore_registration(rows)

    def regained(self, now: float) -> None:
        """Need nothing: registrations do not lapse."""

    async def register(self) -> None:
        """Write this host's registration, however often that takes."""
        while True:
            try:
                await self._store.write(TABLE, self._own.host, self._own_value)
            except PlatformError as error:
                self._recorder.record("member.not_registered", error=error)
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                self._registered = True
                return

    async def leave(self) -> None:
        """Delete this host's registration, if the store can be reached."""
        await self.forget(self._own.host)

    async def forget(self, host: str) -> None:
        """Delete a host's registration, if the store can be reached."""
        try:
            await self._store.delete(TABLE, host)
        except (PlatformUnavailableError, OutcomeUnknownError) as error:
            self._recorder.record("member.not_deleted", peer=host, error=error)

    def _handle_removal(self, host: str) -> None:
        if host == self._own.host:
            self._register_again()
        else:
            self._members.remove(host)

    def _restore_registration(self, rows: Sequence[StoredRow]) -> None:
        if not any(row.key == self._own.host and row.value == self._own_value for row in rows):
            self._register_again()

    def _register_again(self) -> None:
        task = asyncio.create_task(self.register())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
