"""Tests of the rate limits of workspaces in the agreed state."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from bench.fleet import TJALDVIK
from bench.fleet import agreed
from bench.fleet import network
from bench.fleet import request

from flamingoladder.config.model import Workspace
from flamingoladder.limits.admission import RateAdmission
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.standins.state import SettableState
from flamingoladder.timeline.recorder import Recorder
from flamingoladder.verdict import Reason

if TYPE_CHECKING:
    from flamingoladder.standins.network import Network

RATE_PER_S = 20.0
BURST = 20
STATE = agreed(TJALDVIK, {"w": Workspace(rate_per_s=RATE_PER_S, burst=BURST)})


def admission_of(host: int, net: Network) -> RateAdmission:
    own = STATE.members[host]
    links = net.join(own.host, own.incarnation)
    return RateAdmission(own, links, SettableState(STATE), Recorder(own.host, own.incarnation))


def test_all_hosts_together_admit_the_configured_rate() -> None:
    async def scenario() -> int:
        loop = asyncio.get_running_loop()
        net = network(STATE, Random(1))
        admissions = [admission_of(host, net) for host in range(len(STATE.members))]
        reporting = [asyncio.create_task(admission.run()) for admission in admissions]
        random = Random(2)
        admitted = 0
        while loop.time() < 30.0:
            refusal = await random.choice(admissions).admit(request("w", 99.0), loop.time())
            admitted += refusal is None
            await asyncio.sleep(random.expovariate(3 * RATE_PER_S))
        for task in reporting:
            task.cancel()
        return admitted

    admitted = run_on_injected_time(scenario())
    assert 0.9 * RATE_PER_S * 30.0 <= admitted <= (RATE_PER_S * 30.0 + BURST) * 1.1 + 20


def test_requests_that_did_not_run_are_refunded() -> None:
    async def scenario() -> None:
        admission = admission_of(0, network(STATE, Random(1)))
        for _ in range(3 * BURST):
            assert await admission.admit(request("w", 99.0), 0.0) is None
            admission.refund(request("w", 99.0))

    run_on_injected_time(scenario())


def test_refusal_has_a_reason_and_a_retry_time() -> None:
    async def scenario() -> None:
        admission = admission_of(0, network(STATE, Random(1)))
        refusals = [await admission.admit(request("w", 99.0), 0.0) for _ in range(BURST + 1)]
        last = refusals[-1]
        assert last is not None
        assert last.reason is Reason.RATE_EXCEEDED
        assert last.retry_after_s is not None
        assert await admission.admit(request("unknown", 99.0), 0.0) is not None
        assert await admission.admit(request(None, 99.0), 0.0) is None

    run_on_injected_time(scenario())
