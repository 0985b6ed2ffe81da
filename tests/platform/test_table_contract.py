"""What every table service must do, run against each of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import pytest_asyncio

from flamingoladder.storage.exceptions import OutcomeUnknownError
from flamingoladder.storage.exceptions import PlatformError
from flamingoladder.storage.exceptions import PlatformRefusedError
from flamingoladder.storage.exceptions import PlatformUnavailableError
from flamingoladder.storage.table import MAX_TRANSACTION_ROWS
from flamingoladder.storage.table import Commit
from flamingoladder.storage.table import Condition
from flamingoladder.storage.table import Row
from flamingoladder.storage.table import Rows
from flamingoladder.storage.table import Write
from tests.platform.access import http_access
from tests.platform.access import memory_access

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.platform.access import TableAccess

TIMEOUT_S = 5.0
SHORT_TIMEOUT_S = 0.1
ABSENT = 0


@pytest_asyncio.fixture(params=[memory_access, http_access])
async def access(request: pytest.FixtureRequest) -> AsyncIterator[TableAccess]:
    async with request.param() as opened:
        yield opened


async def _put(access: TableAccess, *keys: str) -> Commit:
    return await access.table.transact((), [Write(key, key.encode()) for key in keys], TIMEOUT_S)


@pytest.mark.parametrize(
    ("conditions", "committed"),
    [
        ([], True),
        ([Condition("a", 1)], True),
        ([Condition("a", ABSENT)], False),
        ([Condition("a", 2)], False),
        ([Condition("c", ABSENT)], True),
        ([Condition("c", 1)], False),
        ([Condition("a", 1), Condition("b", 2)], True),
        ([Condition("a", 1), Condition("b", 1)], False),
    ],
)
async def test_a_transaction_is_committed_only_if_all_conditions_hold(
    access: TableAccess, conditions: list[Condition], committed: bool
) -> None:
    await _put(access, "a")
    await _put(access, "b")
    writes = [Write("a", b"\x00\xff"), Write("b", None), Write("c", b"")]
    commit = await access.table.transact(conditions, writes, TIMEOUT_S)
    assert commit == Commit(committed, 3 if committed else 2)
    after = Rows((Row("a", b"\x00\xff", 3), Row("c", b"", 3)), 3)
    before = Rows((Row("a", b"a", 1), Row("b", b"b", 2)), 2)
    assert await access.table.read("", TIMEOUT_S) == (after if committed else before)


@pytest.mark.parametrize(
    ("prefix", "expected"),
    [
        ("", ["a", "ab", "b/é", "b/ê", "c"]),
        ("a", ["a", "ab"]),
        ("b/", ["b/é", "b/ê"]),
        ("b/é", ["b/é"]),
        ("d", []),
    ],
)
async def test_a_read_returns_the_rows_under_its_prefix_in_key_order(
    access: TableAccess, prefix: str, expected: list[str]
) -> None:
    await _put(access, "c", "b/ê", "ab", "a", "b/é")
    rows = await access.table.read(prefix, TIMEOUT_S)
    assert [row.key for row in rows.rows] == expected
    assert rows.revision == 1


async def test_get_returns_the_row_of_exactly_that_key(access: TableAccess) -> None:
    await _put(access, "ab")
    assert await access.table.get("a", TIMEOUT_S) is None
    assert await access.table.get("ab", TIMEOUT_S) == Row("ab", b"ab", 1)


async def test_a_row_that_was_deleted_and_made_again_has_a_new_revision(
    access: TableAccess,
) -> None:
    await _put(access, "a")
    await access.table.transact([Condition("a", 1)], [Write("a", None)], TIMEOUT_S)
    await _put(access, "a")
    assert await access.table.get("a", TIMEOUT_S) == Row("a", b"a", 3)


@pytest.mark.parametrize(
    ("conditions", "writes"),
    [
        ([], [Write("a", b"1"), Write("a", b"2")]),
        ([], [Write(f"k{number}", b"") for number in range(MAX_TRANSACTION_ROWS + 1)]),
        ([Condition("a", ABSENT)] * (MAX_TRANSACTION_ROWS + 1), [Write("a", b"1")]),
    ],
)
async def test_a_transaction_that_is_too_large_or_ambiguous_is_refused(
    access: TableAccess, conditions: list[Condition], writes: list[Write]
) -> None:
    with pytest.raises(PlatformRefusedError):
        await access.table.transact(conditions, writes, TIMEOUT_S)
    assert access.stored.revision == 0


async def test_a_transaction_of_the_greatest_size_is_taken(access: TableAccess) -> None:
    keys = [f"k{number}" for number in range(MAX_TRANSACTION_ROWS)]
    conditions = [Condition(key, ABSENT) for key in keys]
    writes = [Write(key, b"") for key in keys]
    assert (await access.table.transact(conditions, writes, TIMEOUT_S)).committed


async def test_a_write_whose_answer_is_lost_took_effect_and_is_reported_as_unknown(
    access: TableAccess,
) -> None:
    access.set_faults(lost_answers=1)
    with pytest.raises(OutcomeUnknownError):
        await access.table.transact((), [Write("a", b"1")], SHORT_TIMEOUT_S)
    assert await access.table.get("a", TIMEOUT_S) == Row("a", b"1", 1)
    assert (await _put(access, "b")).committed


async def test_while_down_nothing_takes_effect_and_afterwards_all_works(
    access: TableAccess,
) -> None:
    access.set_faults(down=True)
    with pytest.raises(PlatformUnavailableError):
        await access.table.read("", SHORT_TIMEOUT_S)
    with pytest.raises(PlatformUnavailableError):
        await access.table.get("a", SHORT_TIMEOUT_S)
    with pytest.raises(PlatformError):
        await access.table.transact((), [Write("a", b"1")], SHORT_TIMEOUT_S)
    access.set_faults()
    assert await access.table.read("", TIMEOUT_S) == Rows((), 0)
    assert (await _put(access, "a")).committed


async def test_a_slow_answer_counts_if_it_comes_within_the_timeout(access: TableAccess) -> None:
    access.set_faults(delay_s=0.05)
    assert (await _put(access, "a")).committed
    with pytest.raises(PlatformUnavailableError):
        await access.table.read("", 0.05)
    with pytest.raises(PlatformError):
        await access.table.transact((), [Write("b", b"1")], 0.05)
    assert (await access.table.read("", TIMEOUT_S)).by_key["a"].revision == 1
