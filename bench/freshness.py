"""Seconds until changes are in force, what is refused meanwhile, and what freshness costs.

Seven hosts run their decision classes in one process on injected time, with the delays of both
deployments. Plain polling of the table, without proofs, is the baseline.
"""

from __future__ import annotations

import asyncio
import math
from time import process_time
from typing import TYPE_CHECKING
from typing import TypeAlias

import msgspec
from tests.freshness.fleet import KEY
from tests.freshness.fleet import SETTINGS
from tests.freshness.fleet import Fleet

from flamingoladder.daemon.peer_messages import PEER_CODEC
from flamingoladder.freshness.head import HEAD_KEY
from flamingoladder.freshness.head import decode_head
from flamingoladder.freshness.head import decode_state
from flamingoladder.freshness.messages import ConfirmReply
from flamingoladder.freshness.messages import ConfirmRequest
from flamingoladder.keys.changes import WithdrawKey
from flamingoladder.peers.envelope import Envelope
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.standins.memory import MemoryTable
from flamingoladder.storage.exceptions import PlatformError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

SAMPLE_S = 0.005
WATCH_S = 10.0
SETTLE_S = 3.0
REGIONS = 3

Withdraw: TypeAlias = "Callable[[Delays, Case], Coroutine[None, None, Outcome]]"


class Delays(msgspec.Struct, frozen=True):
    """One-way delays of a deployment in seconds; the store is in the first region."""

    name: str
    domain_s: float
    region_s: float


class Case(msgspec.Struct, frozen=True):
    """A partition: the hosts cut from the store, and groups of hosts cut from each other."""

    name: str
    storeless: tuple[int, ...] = ()
    groups: tuple[tuple[int, ...], tuple[int, ...]] = ((), ())


class Outcome(msgspec.Struct, frozen=True):
    """What a withdrawal came to; times in seconds from the operator's call.

    ``answered_s`` is when the operator was told that it is in force (by the baseline: committed),
    None if it was refused for the reason ``refused``. ``refused_host_s`` sums over hosts the
    seconds without proof.
    """

    answered_s: float | None
    refused: str
    last_use_s: float
    refused_host_s: float


class Costs(msgspec.Struct, frozen=True):
    """Averages over a quiet time. Processor time is in microseconds for each host and second."""

    reads_per_s: float
    writes_per_s: float
    messages_per_host_s: float
    processor_us_per_host_s: float


TJALDVIK = Delays("tjaldvik", 0.0005, 0.020)
KALAHARI = Delays("kalahari", 0.0014, 0.055)
CASES = (
    Case("no fault"),
    Case("1 cut from store", (6,)),
    Case("1 cut from peers", (), ((6,), (0, 1, 2, 3, 4, 5))),
    Case("1 cut from both", (6,), ((6,), (0, 1, 2, 3, 4, 5))),
    Case("3 cut from both", (4, 5, 6), ((0, 1, 2, 3), (4, 5, 6))),
    Case("committer with 2, rest has no store", (3, 4, 5, 6), ((0, 1, 2), (3, 4, 5, 6))),
    Case("store out", (0, 1, 2, 3, 4, 5, 6)),
)


def _fleet(delays: Delays, size: int) -> Fleet:
    fleet = Fleet(size)
    for number, host in enumerate(fleet.hosts):
        region = number % REGIONS
        fleet.faults_by_host[host].delay_s = delays.region_s if region else delays.domain_s
        for other_number, other in enumerate(fleet.hosts):
            same = region == other_number % REGIONS
            fleet.network.delays_by_pair[host, other] = delays.domain_s if same else delays.region_s
    return fleet


def _partition(fleet: Fleet, case: Case) -> None:
    fleet.cut_store([fleet.hosts[number] for number in case.storeless])
    one, other = ([fleet.hosts[number] for number in group] for group in case.groups)
    fleet.cut(one, other)


async def _withdraw(delays: Delays, case: Case) -> Outcome:
    fleet = _fleet(delays, 7)
    await fleet.bootstrap()
    await asyncio.sleep(SETTLE_S)
    _partition(fleet, case)
    started = fleet.now
    committing = asyncio.create_task(fleet.first_replica.commit(WithdrawKey(KEY.key_id)))
    last_use, without_proof = 0.0, 0
    while fleet.now < started + WATCH_S:
        if any(fleet.serves(host) for host in fleet.hosts):
            last_use = fleet.now - started
        without_proof += sum(not fleet.serves_any(host) for host in fleet.hosts)
        await asyncio.sleep(SAMPLE_S)
    result = await committing
    if last_use + 2 * SAMPLE_S > WATCH_S:
        last_use = math.inf
    refused_host_s = without_proof * SAMPLE_S
    if result.is_error():
        return Outcome(None, result.error.kind, last_use, refused_host_s)
    return Outcome(result.ok.seconds, "", last_use, refused_host_s)


async def _withdraw_by_polling(delays: Delays, case: Case) -> Outcome:
    """The baseline: hosts read the table at the same interval and act on what they last read."""
    fleet = _fleet(delays, 7)
    await fleet.bootstrap()
    before = decode_head(fleet.stored_table.rows_by_key[HEAD_KEY].value)
    await fleet.commit(WithdrawKey(KEY.key_id))
    after = fleet.stored_table.rows_by_key[HEAD_KEY]
    for host in fleet.hosts:
        await fleet.kill(host)
    _partition(fleet, case)
    serving = set(fleet.hosts)

    async def poll(host: str, offset_s: float) -> None:
        table = MemoryTable(fleet.stored_table, fleet.faults_by_host[host])
        await asyncio.sleep(offset_s)
        while host in serving:
            await asyncio.sleep(SETTINGS.poll_s)
            try:
                row = await table.get(HEAD_KEY, SETTINGS.store_timeout_s)
            except PlatformError:
                continue
            if row is not None and decode_state(decode_head(row.value), {}).grants[0].withdrawn:
                serving.discard(host)

    fleet.stored_table.rows_by_key[HEAD_KEY] = msgspec.structs.replace(
        after, value=msgspec.msgpack.encode(before)
    )
    tasks = [
        asyncio.create_task(poll(host, SETTINGS.poll_s * number / len(fleet.hosts)))
        for number, host in enumerate(fleet.hosts)
    ]
    await asyncio.sleep(SETTLE_S)
    started = fleet.now
    if fleet.faults_by_host[fleet.hosts[0]].down:
        return Outcome(None, "store_unavailable", math.inf, 0.0)
    await asyncio.sleep(fleet.faults_by_host[fleet.hosts[0]].delay_s)
    fleet.stored_table.rows_by_key[HEAD_KEY] = after
    for _ in range(int(WATCH_S / SAMPLE_S)):
        await asyncio.sleep(SAMPLE_S if serving else 0.0)
    last_use = math.inf if serving else fleet.now - started
    await asyncio.gather(*(_cancelled(task) for task in tasks))
    return Outcome(2 * fleet.faults_by_host[fleet.hosts[0]].delay_s, "", last_use, 0.0)


async def _cancelled(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def _costs(size: int, store_out: bool, seconds: float) -> Costs:
    fleet = _fleet(TJALDVIK, size)
    await fleet.bootstrap()
    await asyncio.sleep(SETTLE_S)
    fleet.cut_store(fleet.hosts if store_out else [])
    await asyncio.sleep(SETTLE_S)
    stored, network = fleet.stored_table, fleet.network
    reads, writes, messages = stored.reads, stored.writes, network.messages
    began = process_time()
    await asyncio.sleep(seconds)
    processor_s = process_time() - began
    return Costs(
        (stored.reads - reads) / seconds,
        (stored.writes - writes) / seconds,
        (network.messages - messages) / seconds / size,
        processor_s * 1e6 / seconds / size,
    )


async def _outage(delays: Delays, seconds: float) -> float:
    """Return the share of host time without proof in a store outage."""
    fleet = _fleet(delays, 7)
    await fleet.bootstrap()
    fleet.cut_store(fleet.hosts)
    ends = fleet.now + seconds
    samples = without_proof = 0
    while fleet.now < ends:
        await asyncio.sleep(0.1)
        samples += len(fleet.hosts)
        without_proof += sum(not fleet.serves_any(host) for host in fleet.hosts)
    return without_proof / samples


def measure(quick: bool) -> None:
    """Print all measures; ``quick`` restricts sizes and durations."""
    _print_withdrawals("proofs", _withdraw)
    _print_withdrawals("plain polling", _withdraw_by_polling)
    outage_s = 60.0 if quick else 3_600.0
    for delays in (TJALDVIK, KALAHARI):
        share = run_on_injected_time(_outage(delays, outage_s))
        print(f"store out for {outage_s:.0f} s, {delays.name}: {share:.4%} of host time refused")
    _print_costs((7, 14) if quick else (7, 14, 28, 56), 5.0 if quick else 20.0)
    request = PEER_CODEC.encode(Envelope("h1", "0" * 12, 1, 1 << 50, ConfirmRequest(1_000)))
    reply = PEER_CODEC.encode(
        Envelope("h1", "0" * 12, 1, 1 << 50, ConfirmReply(1_000, True, "0" * 12))
    )
    print(f"a vouch: {len(request)} bytes asked, {len(reply)} bytes answered")


def _print_withdrawals(name: str, withdraw: Withdraw) -> None:
    print(f"withdrawal of a key, {name}: answered s / last use s / host seconds refused in 10 s")
    for case in CASES:
        cells = []
        for delays in (TJALDVIK, KALAHARI):
            outcome = run_on_injected_time(withdraw(delays, case))
            answered = (
                outcome.refused if outcome.answered_s is None else f"{outcome.answered_s:.2f}"
            )
            refused = f"{outcome.refused_host_s:.1f}"
            cells.append(f"{delays.name} {answered} / {outcome.last_use_s:.2f} / {refused}")
        print(f"  {case.name:36} {'   '.join(cells)}")


def _print_costs(sizes: tuple[int, ...], seconds: float) -> None:
    print("costs: store reads/s, writes/s, messages and processor µs for each host and second")
    for size in sizes:
        for store_out in (False, True):
            costs = run_on_injected_time(_costs(size, store_out, seconds))
            state = "store out" if store_out else "quiet"
            print(
                f"  {size:3} hosts, {state:9} {costs.reads_per_s:7.1f} {costs.writes_per_s:5.1f}"
                f" {costs.messages_per_host_s:7.1f} {costs.processor_us_per_host_s:9.0f}"
            )
