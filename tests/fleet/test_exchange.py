"""Tests of the exchange of reports between hosts."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from flamingoladder.fleet.exchange import ReportExchange
from flamingoladder.fleet.members import REPORT_LIFETIME_INTERVALS
from flamingoladder.fleet.members import MemberRegistry
from flamingoladder.fleet.messages import HostReport
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.standins.network import Network
from flamingoladder.timeline.recorder import Recorder

EMPTY = HostReport()
BUSY = HostReport(in_flight_by_target={"t": 1})
REPORTS = 12


@pytest.mark.parametrize(("report", "sent"), [(BUSY, REPORTS), (EMPTY, REPORTS // 3)])
def test_empty_reports_are_sent_less_often_but_keep_the_host_alive(
    report: HostReport, sent: int
) -> None:
    async def scenario() -> list[float]:
        loop = asyncio.get_running_loop()
        net = Network(Random(1))
        net.join("h1", "1")
        sent_at: list[float] = []
        net.tap = lambda _sender, _receiver, _content: sent_at.append(loop.time())
        exchange = ReportExchange(
            net.join("h0", "1"),
            MemberRegistry("h0", Recorder("h0", "1")),
            lambda _now: report,
            lambda _now: None,
        )
        for number in range(REPORTS):
            exchange.send(float(number))
        await asyncio.sleep(1.0)
        return sent_at

    assert len(run_on_injected_time(scenario())) == sent
    assert REPORTS / sent < REPORT_LIFETIME_INTERVALS / 2
