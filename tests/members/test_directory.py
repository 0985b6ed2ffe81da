"""Tests of the directory of started daemons."""

from __future__ import annotations

import asyncio

from flamingoladder.members.directory import enter_directory
from flamingoladder.members.directory import leave_directory
from flamingoladder.members.directory import read_directory
from flamingoladder.members.state import Member
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.standins.memory import MemoryTable
from flamingoladder.standins.memory import StoredTable

TIMEOUT_S = 1.0
FIRST = Member("h1", "north", "n1", "i1", "", "", "")
SECOND = Member("h1", "north", "n1", "i2", "", "", "")


def test_delayed_write_of_a_dead_incarnation_does_not_replace_a_later_one() -> None:
    async def scenario() -> None:
        stored = StoredTable()
        slow = MemoryTable(stored)
        slow.faults.delay_s = 0.2
        delayed = asyncio.create_task(enter_directory(slow, FIRST, TIMEOUT_S))
        await asyncio.sleep(0.5)
        assert await enter_directory(MemoryTable(stored), SECOND, TIMEOUT_S)
        assert not await delayed
        assert await read_directory(MemoryTable(stored), TIMEOUT_S) == {"h1": SECOND}

    run_on_injected_time(scenario())


def test_leaving_deletes_only_the_own_row() -> None:
    async def scenario() -> None:
        table = MemoryTable(StoredTable())
        await enter_directory(table, SECOND, TIMEOUT_S)
        await leave_directory(table, FIRST, TIMEOUT_S)
        assert await read_directory(table, TIMEOUT_S) == {"h1": SECOND}
        await leave_directory(table, SECOND, TIMEOUT_S)
        assert await read_directory(table, TIMEOUT_S) == {}

    run_on_injected_time(scenario())
