"""The demo of entry hosts on the platform: traffic, a withdrawn key, a drain and a planned stop."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from flamingoladder.demo.platform_caller import PlatformCaller
from flamingoladder.platform.standins.deployment import local_platform

if TYPE_CHECKING:
    from flamingoladder.demo.platform_caller import Sent
    from flamingoladder.platform.standins.deployment import LocalPlatform

SEED = 11
HOSTS = 3
TARGETS = 6
REQUESTS_A_STEP = 150
SETTLE_S = 0.3
KEYS = {"turf": ["k-turf"], "moss": ["k-moss"]}
KEYS_WITHOUT_MOSS = {"turf": ["k-turf"], "moss": []}


async def run_platform_demo() -> bool:
    """Run the demo, print what happened, and return whether all promises were kept."""
    async with local_platform(Random(SEED), KEYS, HOSTS, TARGETS) as platform:
        caller = PlatformCaller(platform.caller_urls, list(KEYS.values()), Random(SEED))
        print(f"{HOSTS} entry hosts serve on the platform's stand-ins")
        await caller.send_many(REQUESTS_A_STEP)
        promises = [
            *await _withdraw(platform, caller),
            *await _drain(platform, caller),
            *await _stop(platform, caller),
            *_at_most_once(platform, caller.sent),
        ]
        await caller.close()
    print(f"answers by status: {dict(sorted(Counter(s.status for s in caller.sent).items()))}")
    for promise, kept in promises:
        print(f"{'kept  ' if kept else 'BROKEN'} {promise}")
    return all(kept for _, kept in promises)


async def _withdraw(platform: LocalPlatform, caller: PlatformCaller) -> list[tuple[str, bool]]:
    await platform.configure(2, KEYS_WITHOUT_MOSS)
    await asyncio.sleep(SETTLE_S)
    before = len(caller.sent)
    await caller.send_many(REQUESTS_A_STEP)
    print("withdrew the key of moss")
    withdrawn = [sent for sent in caller.sent[before:] if sent.key == "k-moss"]
    return [("a withdrawn key runs nothing", all(sent.status == 401 for sent in withdrawn))]


async def _drain(platform: LocalPlatform, caller: PlatformCaller) -> list[tuple[str, bool]]:
    target = platform.targets[0]
    await target.drain(platform.store)
    await asyncio.sleep(SETTLE_S)
    before = len(target.runs)
    await caller.send_many(REQUESTS_A_STEP)
    print(f"drained {target.target_id}")
    return [("a drained target gets no new work", len(target.runs) == before)]


async def _stop(platform: LocalPlatform, caller: PlatformCaller) -> list[tuple[str, bool]]:
    before = len(caller.sent)
    sending = asyncio.create_task(caller.send_many(REQUESTS_A_STEP))
    stopping = asyncio.create_task(platform.hosts[0].stop())
    await sending
    caller.leave_out(platform.caller_urls[0])
    await stopping
    await caller.send_many(REQUESTS_A_STEP)
    print("stopped one host gracefully")
    allowed = [sent for sent in caller.sent[before:] if sent.key == "k-turf"]
    return [("a planned stop cuts no request", all(sent.status == 200 for sent in allowed))]


def _at_most_once(platform: LocalPlatform, sent: list[Sent]) -> list[tuple[str, bool]]:
    runs = Counter(request for request, _ in platform.runs)
    bookings = [of.request_id for of in sent if of.path.startswith("/bookings/")]
    refused = [of.request_id for of in sent if of.status in (401, 429, 503)]
    keys = [run.key for target in platform.targets for run in target.runs]
    return [
        ("a booking runs at most once", all(runs[request] <= 1 for request in bookings)),
        ("a refusal saying not run is true", not any(runs[request] for request in refused)),
        ("no target sees a caller's key", not any(keys)),
    ]
