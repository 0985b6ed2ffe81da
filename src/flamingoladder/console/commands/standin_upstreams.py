"""``flamingoladder standin-upstreams``."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Literal

from flamingoladder.standins.server import wait_for_signal
from flamingoladder.standins.upstream import UpstreamTarget
from flamingoladder.standins.upstream_messages import ServiceTime
from flamingoladder.standins.upstream_messages import UpstreamSettings
from flamingoladder.standins.upstream_runs import RunLog
from flamingoladder.standins.upstream_server import UpstreamServer


def standin_upstreams(
    *,
    first_port: int,
    count: int,
    service: str,
    address: str = "127.0.0.1",
    slots: int = 3,
    queue: int = 3,
    connections: int = 330,
    service_ms: float = 10.0,
    service_time: Literal["fixed", "exponential"] = "fixed",
    cold_factor: float = 1.0,
    ramp_s: float = 10.0,
    crash_down_s: float = 1.0,
    seed: int = 1,
) -> int:
    """Run stand-ins of a service's targets on consecutive ports.

    :param first_port: TCP port of the first target
    :param count: number of targets
    :param service: name of the service; targets are named <service>-01 and so on
    :param address: IP address to listen on
    :param slots: requests that a target runs at once
    :param queue: requests that may wait for a slot; more get status 503
    :param connections: connections that a target accepts requests on; more are closed
    :param service_ms: mean service time in milliseconds
    :param service_time: distribution of service times
    :param cold_factor: factor on service times just after a start
    :param ramp_s: seconds over which the factor falls to 1
    :param crash_down_s: seconds for which a crashed target stays down
    :param seed: seed of random service times
    """
    settings = UpstreamSettings(
        slots=slots,
        queue=queue,
        connections=connections,
        service_ms=service_ms,
        service_time=ServiceTime(service_time),
        cold_factor=cold_factor,
        ramp_s=ramp_s,
        crash_down_s=crash_down_s,
    )
    names = [f"{service}-{number:02}" for number in range(1, count + 1)]
    asyncio.run(_serve(names, settings, address, first_port, seed))
    return 0


async def _serve(
    names: list[str], settings: UpstreamSettings, address: str, first_port: int, seed: int
) -> None:
    log = RunLog()
    now = asyncio.get_running_loop().time()
    servers = []
    for index, name in enumerate(names):
        target = UpstreamTarget(name, settings, Random(f"{seed}/{name}"), now)
        server = UpstreamServer(target, log, address, first_port + index)
        await server.start()
        servers.append(server)
    await wait_for_signal()
    await asyncio.gather(*(server.stop() for server in servers))
