"""Tests that a silence of the store which its other answers hide delays no change."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from flamingoladder.standins.loop import run_on_injected_time
from tests.feed.harness import PROPAGATION_S
from tests.feed.harness import TABLES
from tests.feed.harness import Fleet

REGIONS = ("r1", "r1", "r1", "r2", "r2", "r3", "r3")
LONE_HOSTS = ("r1", "r2", "r3")
CHURN_INTERVAL_S = 0.3
CHURN_S = 3.0
MOMENTS = 4
LIMIT_S = 30.0
# What the pages allow after a disturbance of the store: its answers count once it was calm.
CALM_S = 3.0


async def _change_rows(fleet: Fleet, table: str, for_s: float) -> None:
    """Change a row at intervals, so that polls of its table are sent again and again."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + for_s
    while loop.time() < ends_at:
        fleet.store.write(table, "churn", str(loop.time()).encode())
        await asyncio.sleep(CHURN_INTERVAL_S)


async def _in_force_after_s(
    regions: tuple[str, ...], table: str, silence_s: float, moment: float, *, answers_too: bool
) -> float:
    """Return the seconds until a change that follows a silence at once is in force everywhere.

    ``moment`` shifts the silence against the polls, as a part of the longest time between them.
    """
    fleet = Fleet(regions)
    await fleet.start()
    fleet.store.loses_answers = answers_too
    churn = asyncio.create_task(_change_rows(fleet, table, CHURN_S))
    await asyncio.sleep(CHURN_S / 2 + moment * PROPAGATION_S / 2)
    fleet.store.silent_hosts = set(fleet.names)
    await asyncio.sleep(silence_s)
    fleet.store.silent_hosts = set()
    await churn
    fleet.store.write(table, "k", b"1")
    return await fleet.in_force_after_s(table, "k", b"1", fleet.hosts, LIMIT_S)


@pytest.mark.parametrize("table", TABLES)
@pytest.mark.parametrize("silence_s", [0.2, 0.3, 0.4, 0.6, 0.9, 1.2])
@pytest.mark.parametrize("regions", [REGIONS, LONE_HOSTS])
@pytest.mark.parametrize("answers_too", [False, True])
def test_a_poll_lost_in_a_short_silence_hides_no_change(
    table: str, silence_s: float, regions: tuple[str, ...], *, answers_too: bool
) -> None:
    """Hosts missed for 12.5 s that targets left: other polls showed that the store answers."""

    def taken_s(moment: float) -> float:
        scenario = _in_force_after_s(regions, table, silence_s, moment, answers_too=answers_too)
        return run_on_injected_time(scenario)

    assert max(taken_s(number / MOMENTS) for number in range(MOMENTS)) < PROPAGATION_S


@pytest.mark.parametrize("seed", range(40))
def test_changes_are_in_force_in_time_after_any_series_of_short_silences(seed: int) -> None:
    """A silence, of the store or between hosts, that no host notices as such hides changes."""

    async def scenario() -> dict[str, float]:
        draw = Random(seed)
        fleet = Fleet(draw.choice([REGIONS, LONE_HOSTS, ("r1",) * 4]))
        await fleet.start()
        fleet.store.loses_answers = draw.random() < 0.5
        churn = [asyncio.create_task(_change_rows(fleet, table, CHURN_S)) for table in TABLES]
        for _ in range(draw.randint(1, 5)):
            await asyncio.sleep(draw.uniform(0.0, 1.5))
            await _short_silence(fleet, draw)
        await asyncio.gather(*churn)
        calm_at = asyncio.get_running_loop().time() + CALM_S
        await asyncio.sleep(draw.uniform(0.0, CALM_S))
        owed_s = max(0.0, calm_at - asyncio.get_running_loop().time()) + PROPAGATION_S
        for table in TABLES:
            fleet.store.write(table, "k", b"1")
        late_s = {}
        for table in TABLES:
            taken_s = await fleet.in_force_after_s(table, "k", b"1", fleet.hosts, LIMIT_S)
            late_s[table] = taken_s - owed_s
        return late_s

    late_s = run_on_injected_time(scenario())
    assert max(late_s.values()) < 0.0, late_s


async def _short_silence(fleet: Fleet, draw: Random) -> None:
    names = sorted(fleet.names)
    lost_to = set(draw.choice([names, draw.sample(names, 2), draw.sample(names, 1)]))
    cut = {(name, other) for name in names for other in lost_to if draw.random() < 0.3}
    fleet.store.silent_hosts = lost_to
    fleet.network.cuts.update(cut)
    await asyncio.sleep(draw.uniform(0.1, 1.5))
    fleet.store.silent_hosts = set()
    fleet.network.cuts.difference_update(cut)
