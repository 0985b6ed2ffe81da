"""The entry daemon: builds the slices of one host, runs them, and stops them in order."""

from __future__ import annotations

import asyncio
import gc
import signal
from typing import TYPE_CHECKING

from flamingoladder.daemon.directory_watcher import DirectoryWatcher
from flamingoladder.daemon.host_slices import HostSlices
from flamingoladder.daemon.identity import member_of
from flamingoladder.daemon.identity import new_incarnation
from flamingoladder.daemon.peer_messages import PEER_CODEC
from flamingoladder.daemon.platform_services import PlatformServices
from flamingoladder.daemon.tls import tls_context
from flamingoladder.daemon.upstream_side import UpstreamSide
from flamingoladder.gateway.metrics import RequestMetrics
from flamingoladder.gateway.server import GatewayServer
from flamingoladder.memory.budget import MemoryBudget
from flamingoladder.operators.access import OperatorAccess
from flamingoladder.operators.server import OperatorServer
from flamingoladder.peers.keys import LinkKeys
from flamingoladder.peers.zmq_links import ZmqLinks
from flamingoladder.platform.http_transport import HttpTransport
from flamingoladder.supervision import supervised
from flamingoladder.timeline.logs import log_handler
from flamingoladder.timeline.merge import TimelineCollector
from flamingoladder.timeline.metrics import EventMetrics
from flamingoladder.timeline.recorder import Recorder

if TYPE_CHECKING:
    from flamingoladder.daemon.settings import Settings


class EntryDaemon:
    """The slices of one entry host."""

    __slots__ = (
        "_directory",
        "_directory_task",
        "_gateway",
        "_links",
        "_operators",
        "_recorder",
        "_settings",
        "_slices",
        "_transport",
        "_upstreams",
    )

    def __init__(self, settings: Settings) -> None:
        incarnation = new_incarnation()
        keys = LinkKeys.generate()
        own = member_of(settings, keys, incarnation)
        recorder = Recorder(settings.host, incarnation)
        links = ZmqLinks(keys, PEER_CODEC, recorder)
        transport = HttpTransport.from_config(settings.platform_url, settings.platform_token)
        platform = PlatformServices.over_http(transport)
        slices = HostSlices.from_config(own, platform, links, recorder)
        memory = MemoryBudget.from_config(settings.memory_mb)
        self._settings = settings
        self._recorder = recorder
        self._links = links
        self._transport = transport
        self._slices = slices
        self._directory = DirectoryWatcher(platform.table, links, recorder)
        self._upstreams = UpstreamSide.from_config(
            own, slices.keeper, slices.permission, links, platform.table, recorder, memory
        )
        stages = slices.stages(self._upstreams.dispatcher)
        self._gateway = GatewayServer(
            stages,
            settings.address,
            settings.caller_port,
            tls_context(settings.caller_tls_certificate, settings.caller_tls_key),
            memory,
            settings.max_fds,
        )
        self._operators = OperatorServer(
            slices.keeper,
            TimelineCollector(links, recorder),
            OperatorAccess(settings.operator_tokens),
            recorder,
        )
        self._directory_task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, settings: Settings) -> EntryDaemon:
        """Return a daemon; to be called with a running event loop."""
        return cls(settings)

    async def start(self) -> None:
        """Bind all ports, then join the other hosts.

        :raises OSError: if a port or file cannot be had.
        """
        settings = self._settings
        self._send_metrics()
        self._links.start(settings.peer_endpoint)
        await self._gateway.start()
        await self._operators.start(
            settings.address,
            settings.operator_port,
            tls_context(settings.operator_tls_certificate, settings.operator_tls_key),
        )
        self._directory.follow(self._slices.keeper.changes)
        self._slices.start()
        directory = supervised("directory", self._directory.run, self._recorder)
        self._directory_task = asyncio.create_task(directory)
        self._recorder.record("daemon.started", address=settings.address)

    def _send_metrics(self) -> None:
        host, port = self._settings.statsd_host, self._settings.statsd_port
        if host is None:
            return
        events = EventMetrics.from_config(host, port, self._settings.host)
        events.follow(self._recorder.events)
        requests = RequestMetrics.from_config(host, port, self._settings.host)
        requests.follow(self._gateway.completed_requests)

    async def stop(self) -> None:
        """Stop gracefully: leave the look-ups' answers, finish requests, give back everything."""
        self._recorder.record("daemon.stopping")
        self._gateway.leave()
        await self._slices.keeper.mark_leaving()
        await asyncio.sleep(self._lookup_lifetime_s)
        finished = await self._gateway.stop(self._settings.stop_grace_s)
        await self._slices.leave(asyncio.get_running_loop().time())
        await self._operators.stop()
        await self._upstreams.close()
        if self._directory_task is not None:
            self._directory_task.cancel()
        await self._slices.close()
        self._recorder.record("daemon.stopped", requests_finished=finished)
        self._links.close()
        await self._transport.close()

    @property
    def _lookup_lifetime_s(self) -> float:
        state = self._slices.keeper.current
        if state is None:
            return 0.0
        return state.deployment.defaults.lookup_lifetime_s


async def run_daemon(settings: Settings) -> None:
    """Run the daemon until SIGTERM or SIGINT, then stop it gracefully.

    :raises OSError: if a port or file cannot be had.
    :raises LookupError: if the log level is unknown.
    """
    asked_to_stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, asked_to_stop.set)
    with log_handler(settings.log_level, settings.log_file).applicationbound():
        daemon = EntryDaemon.from_config(settings)
        await daemon.start()
        # What was imported and built lives for good: the collector need not look at it again.
        gc.collect()
        gc.freeze()
        await asked_to_stop.wait()
        await daemon.stop()
