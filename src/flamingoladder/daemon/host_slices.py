"""The slices of one host that work together with those of the other hosts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.freshness.settings import FreshnessSettings
from flamingoladder.freshness.state_replica import StateReplica
from flamingoladder.gateway.dispatch_check import KeyedDispatchCheck
from flamingoladder.gateway.stages import GatewayStages
from flamingoladder.keys.authentication import GrantedKeys
from flamingoladder.ledger.ledger import ClaimLedger
from flamingoladder.limits.admission import RateAdmission
from flamingoladder.steering.lookup import MemberLookup
from flamingoladder.supervision import supervised

if TYPE_CHECKING:
    from flamingoladder.daemon.platform_services import PlatformServices
    from flamingoladder.gateway.stages import Dispatcher
    from flamingoladder.members.member import Member
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.timeline.recorder import Recorder


class HostSlices:
    """Agreed state, keys, admission and ledger of one incarnation of a host."""

    __slots__ = (
        "_recorder",
        "_tasks",
        "admission",
        "keeper",
        "keys",
        "ledger",
        "links",
        "own",
        "permission",
    )

    def __init__(
        self, own: Member, platform: PlatformServices, links: PeerLinks, recorder: Recorder
    ) -> None:
        table, objects = platform.table, platform.objects
        self.own = own
        self.links = links
        self._recorder = recorder
        self.keeper = StateReplica.from_config(
            FreshnessSettings(), own, table, objects, platform.host_list, links, recorder
        )
        self.ledger = ClaimLedger.from_config(table, objects, links, recorder, own, self.keeper)
        self.admission = RateAdmission(own, links, self.keeper, recorder)
        self.keys = GrantedKeys(self.keeper)
        self.permission = KeyedDispatchCheck(self.keeper, self.keys, own.host)
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    def from_config(
        cls, own: Member, platform: PlatformServices, links: PeerLinks, recorder: Recorder
    ) -> HostSlices:
        """Return the slices of ``own``; to be called with a running event loop."""
        return cls(own, platform, links, recorder)

    def stages(self, dispatcher: Dispatcher) -> GatewayStages:
        """Return the stages that a caller's request passes."""
        return GatewayStages(
            state=self.keeper,
            keys=self.keys,
            admission=self.admission,
            ledger=self.ledger,
            dispatcher=dispatcher,
            lookups=MemberLookup(self.keeper, self.own.failure_domain, self.own.region),
            recorder=self._recorder,
        )

    def start(self) -> None:
        """Join the other hosts."""
        self.keeper.start()
        works = {"ledger": self.ledger.serve, "reports": self.admission.run}
        self._tasks = [
            asyncio.create_task(supervised(name, work, self._recorder))
            for name, work in works.items()
        ]

    async def leave(self, now: float) -> None:
        """Write what the ledger still holds, and give up this host's place."""
        await self.ledger.close(now)
        await self.keeper.deregister()

    async def close(self) -> None:
        """Stop all tasks, without a word to other hosts."""
        self.admission.close()
        for task in self._tasks:
            task.cancel()
        await self.keeper.close()
