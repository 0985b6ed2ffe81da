"""CPU cost of the links of a host to the 30 others of its region, over loopback.

The other hosts run in a process of their own; each sends a report in every interval of a fleet of
91 hosts, and so does the host under measurement.
"""

from __future__ import annotations

import asyncio
import cProfile
import multiprocessing
import os
import pstats
from random import Random
from time import process_time
from typing import TYPE_CHECKING

from flamingoladder.fleet.messages import FleetMessage
from flamingoladder.fleet.messages import HostReport
from flamingoladder.limits.rate_limiter import RateReport
from flamingoladder.members.member import Member
from flamingoladder.peers.envelope import EnvelopeCodec
from flamingoladder.peers.keys import LinkKeys
from flamingoladder.peers.zmq_links import ZmqLinks
from flamingoladder.standins.processes import LOOPBACK
from flamingoladder.standins.processes import free_ports
from flamingoladder.timeline.recorder import Recorder

if TYPE_CHECKING:
    from flamingoladder.peers.link import Peer

SEED = 1
PEERS = 30
REPORT_INTERVAL_S = 0.25 * 91 / 32
REPORT = HostReport(
    rates_by_workspace={f"workspace-{n:02}": RateReport(n, 0.5) for n in range(6)},
    in_flight_by_target={"i-000000000001": 1},
    sequence=1,
)
SETTLE_S = 4.0
DURATION_S = 20.0
QUICK_DURATION_S = 8.0
PROFILE_VARIABLE = "BENCH_PROFILE"
PROFILED_ROWS = 40
MS_PER_S = 1_000


def measure(quick: bool) -> None:
    """Print the CPU time per second and per message.

    With ``BENCH_PROFILE`` in the environment, print a profile as well.
    """
    first_port = free_ports(PEERS + 1, Random(SEED))
    keys = [LinkKeys.generate() for _ in range(PEERS + 1)]
    members = [_member(number, first_port + number, keys[number]) for number in range(PEERS + 1)]
    others = multiprocessing.get_context("spawn").Process(
        target=_run_peers, args=(members, keys), daemon=True
    )
    others.start()
    try:
        asyncio.run(_measure(members, keys[0], QUICK_DURATION_S if quick else DURATION_S))
    finally:
        others.kill()
        others.join()


async def _measure(members: list[Member], keys: LinkKeys, duration_s: float) -> None:
    links = _links(members[0], keys, members)
    received = 0

    def count(_peer: Peer, _report: HostReport) -> None:
        nonlocal received
        received += 1

    links.subscribe(HostReport, count)
    sending = asyncio.create_task(_send_reports(links))
    await asyncio.sleep(SETTLE_S)
    profile = cProfile.Profile()
    if PROFILE_VARIABLE in os.environ:
        profile.enable()
    received, started = 0, process_time()
    await asyncio.sleep(duration_s)
    used_s = process_time() - started
    profile.disable()
    sending.cancel()
    links.close()
    print(f"{'links':>5} {'received/s':>10} {'cores':>8} {'ms a message':>12}")
    each_ms = MS_PER_S * used_s / max(1, received)
    print(f"{PEERS:>5} {received / duration_s:>10.1f} {used_s / duration_s:>8.4f} {each_ms:>12.3f}")
    if PROFILE_VARIABLE in os.environ:
        pstats.Stats(profile).sort_stats("tottime").print_stats(PROFILED_ROWS)


def _run_peers(members: list[Member], keys: list[LinkKeys]) -> None:
    asyncio.run(_serve_peers(members, keys))


async def _serve_peers(members: list[Member], keys: list[LinkKeys]) -> None:
    peers = [
        _links(member, own, members[:1]) for member, own in zip(members[1:], keys[1:], strict=True)
    ]
    for links in peers:
        links.subscribe(HostReport, _ignore)
    await asyncio.gather(*map(_send_reports, peers))


async def _send_reports(links: ZmqLinks) -> None:
    await asyncio.sleep(Random(links.own.host).uniform(0.0, REPORT_INTERVAL_S))
    while True:
        links.send_all(links.hosts, REPORT)
        await asyncio.sleep(REPORT_INTERVAL_S)


def _ignore(_peer: Peer, _report: HostReport) -> None:
    return


def _links(member: Member, keys: LinkKeys, members: list[Member]) -> ZmqLinks:
    recorder = Recorder(member.host, member.incarnation, kept_events=0)
    links = ZmqLinks(keys, EnvelopeCodec(FleetMessage), recorder)
    links.start(member.peer_endpoint)
    links.update_directory(members)
    return links


def _member(number: int, port: int, keys: LinkKeys) -> Member:
    endpoint = f"tcp://{LOOPBACK}:{port}"
    return Member(
        f"h{number:02}", "r0", "r0a", "1", "", endpoint, keys.public_key, takes_compressed=True
    )
