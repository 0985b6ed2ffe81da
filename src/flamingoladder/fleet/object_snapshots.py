"""Keeps the known objects where a host finds them after all hosts were lost at once."""

from __future__ import annotations

import asyncio
from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingoladder.entry.load_balancer import LoadBalancer
    from flamingoladder.fleet.members import MemberRegistry
    from flamingoladder.members.member import Member

CHECK_INTERVAL_S = 2.0

ObjectsByService = dict[str, list[str]]


class ObjectSnapshotStore(ABC):
    """Where the objects of each region are kept."""

    @abstractmethod
    async def read(self) -> dict[str, ObjectsByService] | None:
        """Return the objects by region, or None if they can't be read now."""

    @abstractmethod
    async def write(self, region: str, objects: ObjectsByService) -> bool:
        """Keep the objects of a region in place of the earlier; return whether that was done."""


class ObjectSnapshotter:
    """Reads the kept objects at the start, and has one host of each region keep new ones."""

    __slots__ = ("_chooser", "_kept", "_members", "_own", "_shelf")

    def __init__(
        self,
        own: Member,
        members: MemberRegistry,
        chooser: LoadBalancer,
        store: ObjectSnapshotStore,
    ) -> None:
        self._own = own
        self._members = members
        self._chooser = chooser
        self._shelf = store
        self._kept: ObjectsByService = {}

    async def run(self) -> None:
        """Read once, then keep for ever."""
        await self._restore()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self._keep(asyncio.get_running_loop().time())

    async def _restore(self) -> None:
        found = await self._shelf.read()
        while found is None:
            await asyncio.sleep(CHECK_INTERVAL_S)
            found = await self._shelf.read()
        for region, objects_by_service in found.items():
            for service, objects in objects_by_service.items():
                self._chooser.homes_of(service).add_objects(objects, region)
        self._kept = found.get(self._own.region, {})

    async def _keep(self, now: float) -> None:
        if not self._members.has_lowest_name(now, self._own.region):
            return
        objects = self._chooser.objects_by_service()
        if _count(objects) <= _count(self._kept):
            return
        if await self._shelf.write(self._own.region, objects):
            self._kept = objects


def _count(objects: ObjectsByService) -> int:
    return sum(map(len, objects.values()))
