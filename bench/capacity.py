"""Slopes for docs/CAPACITY.md: memory, processor time and bytes of control, by size."""

from __future__ import annotations

import asyncio
import gc
import tracemalloc
from array import array
from bisect import bisect_right
from random import Random
from time import perf_counter
from time import process_time
from typing import TYPE_CHECKING

import zmq

from flamingoladder.config.agreed import AgreedState
from flamingoladder.config.agreed import KeyGrant
from flamingoladder.config.model import Delays
from flamingoladder.config.model import Deployment
from flamingoladder.config.model import FailureDomain
from flamingoladder.config.model import Link
from flamingoladder.config.model import Places
from flamingoladder.config.model import Region
from flamingoladder.config.model import Service
from flamingoladder.config.model import Target
from flamingoladder.config.model import Workspace
from flamingoladder.daemon.peer_messages import PEER_CODEC
from flamingoladder.freshness.head import decode_state
from flamingoladder.freshness.head import encode_state
from flamingoladder.members.member import Member
from flamingoladder.peers.keys import LinkKeys
from flamingoladder.peers.messages import Heartbeat
from flamingoladder.peers.zmq_links import ZmqLinks
from flamingoladder.timeline.recorder import Recorder

if TYPE_CHECKING:
    from collections.abc import Callable

BYTES_PER_MB = 1_000_000
US_PER_S = 1_000_000
BLOCKS = (10_000, 100_000, 1_000_000, 2_800_000)
MEMBERS = (7, 70, 700, 1_500)
GRANTS = (100, 1_000, 10_000)
TARGETS = (40, 400, 4_000)
PEERS = (2, 4, 8)
SITES = 200
LOOKUPS = 100_000
HEARTBEATS = 300
ASK_TIMEOUT_S = 5.0


def measure(quick: bool) -> None:
    """Print all slopes; ``quick`` leaves out the largest sizes."""
    _print_state("members", MEMBERS[:-1] if quick else MEMBERS, _with_members)
    _print_state("keys", GRANTS[:-1] if quick else GRANTS, _with_grants)
    _print_state("targets", TARGETS[:-1] if quick else TARGETS, _with_targets)
    _print_blocks(BLOCKS[:-1] if quick else BLOCKS)
    for peers in PEERS[:-1] if quick else PEERS:
        asyncio.run(_print_heartbeats(peers))


def _print_state(name: str, sizes: tuple[int, ...], build: Callable[[int], AgreedState]) -> None:
    for size in sizes:
        encoded = encode_state(build(size), "change", ())
        wire_bytes = sum(len(content) for content in encoded.content_by_name.values())
        gc.collect()
        tracemalloc.start()
        state = decode_state(encoded.head, encoded.content_by_name)
        kept_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        started = process_time()
        decode_state(encoded.head, encoded.content_by_name)
        decode_ms = (process_time() - started) * 1_000
        print(
            f"state with {size:>6} {name:<8} {kept_bytes / BYTES_PER_MB:7.3f} MB kept "
            f"{wire_bytes:>9} bytes in objects {decode_ms:7.2f} ms to decode (v{state.version})"
        )


def _print_blocks(sizes: tuple[int, ...]) -> None:
    random = Random(1)
    for size in sizes:
        starts = array("I", sorted(random.sample(range(2**32), size)))
        sites = array("H", (random.randrange(SITES) for _ in range(size)))
        addresses = [random.randrange(2**32) for _ in range(LOOKUPS)]
        started = perf_counter()
        for address in addresses:
            sites[bisect_right(starts, address) - 1]
        each_us = (perf_counter() - started) / LOOKUPS * US_PER_S
        kept_bytes = len(starts) * starts.itemsize + len(sites) * sites.itemsize
        print(
            f"client blocks {size:>9} {kept_bytes / BYTES_PER_MB:7.2f} MB in two arrays "
            f"{each_us:6.2f} us a look-up"
        )


async def _print_heartbeats(peers: int) -> None:
    links = [_links(f"h{number}") for number in range(peers + 1)]
    members = [member for _, member in links]
    for link, _ in links:
        link.update_directory(members)
    asker = links[0][0]
    for host in asker.hosts:
        while await asker.request(host, Heartbeat(), ASK_TIMEOUT_S) is None:
            continue
    started = process_time()
    for _ in range(HEARTBEATS):
        await asyncio.gather(
            *(asker.request(host, Heartbeat(), ASK_TIMEOUT_S) for host in asker.hosts)
        )
    each_us = (process_time() - started) / (HEARTBEATS * peers) * US_PER_S
    print(f"question and reply with {peers} peers: {each_us:6.0f} us of processor time, both ends")
    for link, _ in links:
        link.close()


def _links(host: str) -> tuple[ZmqLinks, Member]:
    keys = LinkKeys.generate()
    links = ZmqLinks(keys, PEER_CODEC, Recorder(host, "i"))
    links.start("tcp://127.0.0.1:*")
    endpoint = links._socket.getsockopt_string(zmq.LAST_ENDPOINT)
    return links, Member(host, "r", "d", "i", "", endpoint, keys.public_key)


def _with_members(count: int) -> AgreedState:
    members = tuple(
        Member(
            f"host-{number}",
            f"region-{number % 21}",
            f"domain-{number % 82}",
            f"{number:016x}",
            f"http://10.0.{number // 256}.{number % 256}:8080",
            f"tcp://10.0.{number // 256}.{number % 256}:8082",
            "x" * 40,
        )
        for number in range(count)
    )
    return AgreedState(1, 1, 1, _deployment(0), members=members)


def _with_grants(count: int) -> AgreedState:
    grants = tuple(
        KeyGrant(f"key-{number:012x}", f"workspace-{number % 100}", f"{number:064x}")
        for number in range(count)
    )
    return AgreedState(1, 1, 1, _deployment(0), grants=grants)


def _with_targets(count: int) -> AgreedState:
    return AgreedState(1, 1, 1, _deployment(count))


def _deployment(targets: int) -> Deployment:
    places = Places(
        regions={"r": Region(failure_domains={"d": FailureDomain()})},
        delays=Delays(between_domains_ms=1, between_regions_ms=20, to_clients_ms=8),
        link=Link(mbit_per_s=100),
        store_region="r",
    )
    by_name = {
        f"target-{number}": Target(
            address=f"10.1.{number // 256}.{number % 256}:80", failure_domain="d"
        )
        for number in range(targets)
    }
    service = Service(routes=(), targets=by_name)
    return Deployment(
        name="size", places=places, services={"s": service}, workspaces={"w": Workspace()}
    )
