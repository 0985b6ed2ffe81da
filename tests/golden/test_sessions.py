"""Golden files of whole sessions; ``pytest --snapshot-update`` writes them anew."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from msgspec.structs import replace
from syrupy.extensions.single_file import SingleFileSnapshotExtension
from syrupy.extensions.single_file import WriteMode

from flamingoladder.config.agreed import Drain
from flamingoladder.config.agreed import DrainKind
from flamingoladder.config.changes import ApplyConfiguration
from flamingoladder.keys.changes import WithdrawKey
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.steering.drain_changes import AddDrain
from tests.golden.session import Session

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from syrupy.assertion import SnapshotAssertion

BOOKING = "/services/bookings/bookings"
TENTS = "/services/catalogue/tents"
PROOF_S = 2.0


class TranscriptSnapshot(SingleFileSnapshotExtension):
    """One text file for each session."""

    _write_mode = WriteMode.TEXT
    file_extension = "txt"


async def ordinary_day(session: Session) -> None:
    await session.call("h1", "GET", TENTS)
    await session.call("h2", "POST", BOOKING, "b1")
    await session.call("h2", "POST", BOOKING, "b1")
    await session.call("h3", "POST", BOOKING, "b1")
    await session.ask_outcome("h1", "b1")
    await session.call("h1", "POST", BOOKING)
    await session.call("h1", "GET", "/services/nothing/x")


async def key_withdrawn_while_a_request_runs(session: Session) -> None:
    session.upstream.run_s = 0.3
    running = asyncio.create_task(session.call("h2", "GET", TENTS))
    await asyncio.sleep(0.1)
    await session.operate("h1", WithdrawKey(session.key.grant.key_id))
    await running
    for host in ("h1", "h2", "h3"):
        await session.call(host, "GET", TENTS)


async def booking_with_its_claim_answer_lost(session: Session) -> None:
    session.faults.lost_answers = 1
    await session.call("h1", "POST", BOOKING, "b1")
    await session.call("h2", "POST", BOOKING, "b1")
    await session.ask_outcome("h3", "b1")


async def same_booking_at_two_hosts_at_once(session: Session) -> None:
    session.upstream.run_s = 0.2
    first = asyncio.create_task(session.call("h1", "POST", BOOKING, "b1"))
    await asyncio.sleep(0.1)
    await session.call("h2", "POST", BOOKING, "b1")
    await first


async def drain_and_stop(session: Session) -> None:
    drain = Drain(DrainKind.TARGET, "bookings/bookings-01", "memory swap")
    await session.operate("h1", AddDrain(drain))
    stopping = session.by_host["h3"]
    await stopping.keeper.mark_leaving()
    await session.call("h3", "POST", BOOKING, "b1")
    await stopping.leave(asyncio.get_running_loop().time())
    await session.call("h1", "POST", BOOKING, "b1")


async def operators_racing(session: Session) -> None:
    state = session.by_host["h1"].keeper.current
    assert state is not None
    deployments = [replace(state.deployment, name=name) for name in ("first", "second")]
    await asyncio.gather(
        *(
            session.operate(host, ApplyConfiguration(state.configuration_version, deployment))
            for host, deployment in zip(("h1", "h2"), deployments, strict=True)
        )
    )


async def store_out_and_back(session: Session) -> None:
    session.faults.down = True
    await asyncio.sleep(2 * PROOF_S)
    await session.call("h1", "GET", TENTS)
    await session.operate("h1", WithdrawKey(session.key.grant.key_id))
    ticket = await session.call("h2", "POST", BOOKING, "b1", fresh=True)
    assert ticket is not None
    await session.call("h2", "POST", BOOKING, ticket)
    await session.call("h3", "POST", BOOKING, ticket)
    session.faults.down = False
    await asyncio.sleep(PROOF_S)
    await session.operate("h1", WithdrawKey(session.key.grant.key_id))


SESSIONS: tuple[Callable[[Session], Awaitable[None]], ...] = (
    ordinary_day,
    key_withdrawn_while_a_request_runs,
    booking_with_its_claim_answer_lost,
    same_booking_at_two_hosts_at_once,
    drain_and_stop,
    operators_racing,
    store_out_and_back,
)


@pytest.mark.parametrize("script", SESSIONS, ids=lambda script: script.__name__)
def test_session(script: Callable[[Session], Awaitable[None]], snapshot: SnapshotAssertion) -> None:
    async def scenario() -> str:
        session = Session()
        await session.start()
        await script(session)
        await session.close()
        assert session.key.key not in session.transcript.text
        return session.transcript.text

    assert run_on_injected_time(scenario()) == snapshot(extension_class=TranscriptSnapshot)
