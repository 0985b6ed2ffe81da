"""The entry daemon: builds the slices of one host, runs them, and stops them in order."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from flamingoladder.daemon.directory_watcher import DirectoryWatcher
from flamingoladder.daemon.identity import member_of
from flamingoladder.daemon.identity import new_incarnation
from flamingoladder.daemon.supervision import supervised
from flamingoladder.daemon.tls import tls_context
from flamingoladder.daemon.upstream_side import UpstreamSide
from flamingoladder.freshness.keeper import StateKeeper
from flamingoladder.freshness.settings import FreshnessSettings
from flamingoladder.gateway.permission import KeyedPermission
from flamingoladder.gateway.server import GatewayServer
from flamingoladder.gateway.stages import GatewayStages
from flamingoladder.keys.check import GrantedKeys
from flamingoladder.ledger.ledger import ClaimLedger
from flamingoladder.operators.access import OperatorAccess
from flamingoladder.operators.server import OperatorServer
from flamingoladder.peers.keys import LinkKeys
from flamingoladder.peers.zmq_links import ZmqLinks
from flamingoladder.platform.http_hosts import HttpHostList
from flamingoladder.platform.http_objects import HttpObjects
from flamingoladder.platform.http_table import HttpTable
from flamingoladder.platform.http_transport import HttpTransport
from flamingoladder.shares.admission import ShareAdmission
from flamingoladder.steering.lookup import MemberLookup
from flamingoladder.timeline.logs import log_handler
from flamingoladder.timeline.merge import TimelineCollector
from flamingoladder.timeline.metrics import EventMetrics
from flamingoladder.timeline.recorder import Recorder

if TYPE_CHECKING:
    from flamingoladder.daemon.settings import Settings


class EntryDaemon:
    """The slices of one entry host."""

    __slots__ = (
        "_admission",
        "_directory",
        "_gateway",
        "_keeper",
        "_ledger",
        "_links",
        "_operators",
        "_recorder",
        "_settings",
        "_tasks",
        "_transport",
        "_upstreams",
    )

    def __init__(self, settings: Settings) -> None:
        incarnation = new_incarnation()
        keys = LinkKeys.generate()
        own = member_of(settings, keys, incarnation)
        recorder = Recorder(settings.host, incarnation)
        links = ZmqLinks(keys, recorder)
        transport = HttpTransport.from_config(settings.platform_url, settings.platform_token)
        table = HttpTable(transport)
        objects = HttpObjects(transport)
        keeper = StateKeeper.from_config(
            FreshnessSettings(), own, table, objects, HttpHostList(transport), links, recorder
        )
        self._settings = settings
        self._recorder = recorder
        self._links = links
        self._transport = transport
        self._keeper = keeper
        self._directory = DirectoryWatcher(table, links, recorder)
        self._ledger = ClaimLedger.from_config(table, objects, links, recorder, own, keeper)
        self._admission = ShareAdmission.from_config(links, keeper, recorder, own.host, incarnation)
        granted = GrantedKeys(keeper)
        permission = KeyedPermission(keeper, granted, own.host)
        self._upstreams = UpstreamSide.from_config(own, keeper, permission, links, recorder)
        stages = GatewayStages(
            state=keeper,
            keys=granted,
            admission=self._admission,
            ledger=self._ledger,
            dispatcher=self._upstreams.dispatcher,
            lookups=MemberLookup(keeper, own.failure_domain, own.region),
            recorder=recorder,
        )
        self._gateway = GatewayServer(
            stages,
            settings.address,
            settings.caller_port,
            tls_context(settings.caller_tls_certificate, settings.caller_tls_key),
        )
        self._operators = OperatorServer(
            keeper,
            TimelineCollector(links, recorder),
            OperatorAccess(settings.operator_tokens),
            recorder,
        )
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    def from_config(cls, settings: Settings) -> EntryDaemon:
        """Return a daemon; to be called with a running event loop."""
        return cls(settings)

    async def start(self) -> None:
        """Bind all ports, then join the other hosts.

        :raises OSError: if a port or file cannot be had.
        """
        settings = self._settings
        if settings.statsd_host is not None:
            metrics = EventMetrics.from_config(
                settings.statsd_host, settings.statsd_port, settings.host
            )
            metrics.follow(self._recorder.events)
        self._links.start(settings.peer_endpoint)
        await self._gateway.start()
        await self._operators.start(
            settings.address,
            settings.operator_port,
            tls_context(settings.operator_tls_certificate, settings.operator_tls_key),
        )
        self._directory.follow(self._keeper.changes)
        self._keeper.start()
        self._tasks = [
            asyncio.create_task(supervised("directory", self._directory.run, self._recorder)),
            asyncio.create_task(supervised("ledger", self._ledger.serve, self._recorder)),
        ]
        self._recorder.record("daemon.started", address=settings.address)

    async def stop(self) -> None:
        """Stop gracefully: leave the look-ups' answers, finish requests, give back everything."""
        self._recorder.record("daemon.stopping")
        self._gateway.leave()
        await self._keeper.mark_leaving()
        await asyncio.sleep(self._lookup_lifetime_s)
        finished = await self._gateway.stop(self._settings.stop_grace_s)
        await self._ledger.close(asyncio.get_running_loop().time())
        await self._keeper.remove()
        await self._operators.stop()
        self._admission.close()
        await self._upstreams.close()
        for task in self._tasks:
            task.cancel()
        await self._keeper.close()
        self._recorder.record("daemon.stopped", requests_finished=finished)
        self._links.close()
        await self._transport.close()

    @property
    def _lookup_lifetime_s(self) -> float:
        state = self._keeper.current
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
        await asked_to_stop.wait()
        await daemon.stop()
