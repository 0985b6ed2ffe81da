"""Tests of the directory of started daemons."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from flamingoladder.members.directory import DIRECTORY_PREFIX
from flamingoladder.members.directory import delete_entry
from flamingoladder.members.directory import read_directory
from flamingoladder.members.directory import write_entry
from flamingoladder.members.member import Member
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.standins.memory import MemoryTable
from flamingoladder.standins.memory import StoredTable
from flamingoladder.storage.table import Write
from tests.nesting import json_with_nested_field

TIMEOUT_S = 1.0
FIRST_INCARNATION = Member("h1", "north", "n1", "i1", "", "", "")
SECOND_INCARNATION = Member("h1", "north", "n1", "i2", "", "", "")


def test_delayed_write_of_a_dead_incarnation_does_not_replace_a_later_one() -> None:
    async def scenario() -> None:
        stored = StoredTable()
        slow_table = MemoryTable(stored)
        slow_table.faults.delay_s = 0.2
        delayed_write = asyncio.create_task(write_entry(slow_table, FIRST_INCARNATION, TIMEOUT_S))
        await asyncio.sleep(0.5)
        assert await write_entry(MemoryTable(stored), SECOND_INCARNATION, TIMEOUT_S)
        assert not await delayed_write
        assert await read_directory(MemoryTable(stored), TIMEOUT_S) == {"h1": SECOND_INCARNATION}

    run_on_injected_time(scenario())


def test_delete_entry_keeps_the_row_of_another_incarnation() -> None:
    async def scenario() -> None:
        table = MemoryTable(StoredTable())
        await write_entry(table, SECOND_INCARNATION, TIMEOUT_S)
        await delete_entry(table, FIRST_INCARNATION, TIMEOUT_S)
        assert await read_directory(table, TIMEOUT_S) == {"h1": SECOND_INCARNATION}
        await delete_entry(table, SECOND_INCARNATION, TIMEOUT_S)
        assert await read_directory(table, TIMEOUT_S) == {}

    run_on_injected_time(scenario())


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("h0", b"\xff"),
        ("h0", json_with_nested_field(FIRST_INCARNATION)),
        ("h9", msgspec.json.encode(FIRST_INCARNATION)),
        ("h1", b"{}"),
    ],
)
def test_a_row_that_names_no_host_hides_no_other(key: str, value: bytes) -> None:
    """Daemons that started while such a row stood could neither register nor learn of others."""

    async def scenario() -> None:
        table = MemoryTable(StoredTable())
        await table.transact((), [Write(DIRECTORY_PREFIX + key, value)], TIMEOUT_S)
        assert await write_entry(table, SECOND_INCARNATION, TIMEOUT_S)
        assert await read_directory(table, TIMEOUT_S) == {"h1": SECOND_INCARNATION}
        await delete_entry(table, SECOND_INCARNATION, TIMEOUT_S)
        assert await read_directory(table, TIMEOUT_S) == {}

    run_on_injected_time(scenario())
