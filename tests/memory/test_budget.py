"""Loads on the memory budget, replayed without a network.

A lost release would shrink the budget for good, so each test ends with a count of zero.
"""

from __future__ import annotations

import pytest

from flamingoladder.memory.accounts import Account
from flamingoladder.memory.accounts import AccountKind
from flamingoladder.memory.accounts import Shares
from flamingoladder.memory.body import PartedBody
from flamingoladder.memory.body import contains
from flamingoladder.memory.budget import DEFAULT_LIMIT_BYTES
from flamingoladder.memory.budget import MIB
from flamingoladder.memory.budget import MIN_LIMIT_BYTES
from flamingoladder.memory.budget import SMALL_BYTES
from flamingoladder.memory.budget import MemoryBudget
from flamingoladder.memory.budget import limit_for
from flamingoladder.memory.caller_connections import CallerConnections
from flamingoladder.memory.events import MemoryEvents
from flamingoladder.memory.idle_connection import IdleConnection
from flamingoladder.memory.reservation import Reservation
from flamingoladder.poison.fingerprints import fingerprints_of
from flamingoladder.timeline.recorder import Recorder

FIRST, SECOND = (Account(AccountKind.CLIENT, name) for name in ("10.0.0.1", "10.0.0.2"))


@pytest.mark.parametrize(
    ("memory_mb", "rest_mb", "limit_mb"), [(200, 55, 71), (552, 60, 287.76), (100, 90, 8)]
)
def test_peak_leaves_three_tenths_of_the_memory(
    memory_mb: int, rest_mb: int, limit_mb: float
) -> None:
    limit_bytes = limit_for(memory_mb * MIB, rest_mb * MIB)
    assert limit_bytes == pytest.approx(limit_mb * MIB, abs=1)
    assert rest_mb * MIB + limit_bytes < 0.7 * memory_mb * MIB or limit_bytes == MIN_LIMIT_BYTES
    assert MemoryBudget.from_config(0).limit_bytes == DEFAULT_LIMIT_BYTES


def test_large_bodies_never_get_the_part_of_small_requests() -> None:
    budget = MemoryBudget(16 * MIB)
    large = [Reservation(budget) for _ in range(40)]
    held = sum(each.grow(MIB // 2, 0.0) for each in large)
    assert 0 < held < len(large)
    small = [Reservation(budget) for _ in range(16)]
    assert all(each.grow(SMALL_BYTES, 0.0) for each in small)
    assert budget.held_bytes <= budget.limit_bytes
    del large, small
    assert budget.held_bytes == 0


def test_one_client_has_all_in_calm_and_half_while_another_wants_some() -> None:
    budget = MemoryBudget(32 * MIB)
    alone = Reservation(budget, (FIRST,))
    assert alone.grow(budget.large_limit_bytes, 0.0)
    assert not Reservation(budget, (SECOND,)).grow(MIB, 1.0)
    alone.release()
    assert not Reservation(budget, (FIRST,)).grow(20 * MIB, 1.5)
    assert Reservation(budget, (FIRST,)).grow(10 * MIB, 1.5)
    assert Reservation(budget, (FIRST,)).grow(20 * MIB, 1.5 + Shares.WANTED_S)
    assert budget.held_bytes == 0


@pytest.mark.parametrize(
    "steps", [(10,), (SMALL_BYTES, 1), (MIB, MIB), (64 * MIB,), (MIB, 64 * MIB), (10, 64 * MIB, 10)]
)
def test_count_is_zero_after_each_end_of_a_reservation(steps: tuple[int, ...]) -> None:
    budget = MemoryBudget(16 * MIB)
    for is_released in (True, False):
        reservation = Reservation(budget, (FIRST, SECOND))
        for step in steps:
            reservation.grow(step, 0.0)
        assert budget.held_bytes == reservation.held_bytes
        if is_released:
            reservation.release()
            reservation.release()
            assert budget.held_bytes == 0
        del reservation
        assert budget.held_bytes == 0


@pytest.mark.parametrize("part_bytes", [1, 1_000, 65_536, 100_000, 300_000])
def test_a_parted_body_has_the_content_and_fingerprints_of_a_whole_one(part_bytes: int) -> None:
    whole = b"".join(number.to_bytes(4, "big") for number in range(200_000))
    body = PartedBody(in_blocks=part_bytes == 1_000)
    for start in range(0, len(whole), part_bytes):
        body.add(whole[start : start + part_bytes])
    assert (len(body), body.joined()) == (len(whole), whole)
    assert fingerprints_of(("n",), body, ()) == fingerprints_of(("n",), whole, ())
    assert contains(body, whole[65_530:65_545])
    assert not contains(body, b"no such text")


class Connection(IdleConnection):
    """A connection without a socket."""

    def forget_unread(self) -> None:
        """Do nothing, as nothing is counted."""


async def test_the_connection_that_is_idle_longest_is_closed_beyond_the_bound() -> None:
    counted: list[str] = []
    events = MemoryEvents(Recorder("h", "i"), lambda _, reason: counted.append(reason))
    connections = CallerConnections(MemoryBudget(), events, max_fds=272)
    assert connections.max_connections == 20
    opened = [Connection() for _ in range(22)]
    for connection in opened[:20]:
        connections.add(connection)
    connections.note_busy(opened[0])
    for connection in opened[20:]:
        connections.add(connection)
    assert counted == ["too_many_connections"] * 2
    connections.header_timeout_s, connections.idle_timeout_s = 1.0, 9.0
    opened[5].has_head = True
    connections.close_expired(opened[5].idle_since + 2.0)
    assert counted[2:] == ["head_timeout"]
    connections.close_expired(opened[21].idle_since + 9.0)
    assert counted[3:] == ["idle_timeout"] * 18
