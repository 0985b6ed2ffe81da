"""Clients of the stand-ins' control endpoints, for tests and the demo."""

from __future__ import annotations

from typing import TypeVar

import aiohttp
import msgspec

from flamingoladder.standins.platform import Counts
from flamingoladder.standins.platform import FaultSettings
from flamingoladder.standins.platform import HostSettings
from flamingoladder.standins.platform import Nothing
from flamingoladder.standins.upstream_messages import Control
from flamingoladder.standins.upstream_messages import LoadReport
from flamingoladder.standins.upstream_messages import RunsReport

M = TypeVar("M", bound=msgspec.Struct)


class _ControlClient:
    """One call at a time to a stand-in, each on a connection of its own."""

    __slots__ = ("_headers", "_url")

    def __init__(self, url: str, token: str | None = None) -> None:
        self._url = url
        self._headers = {} if token is None else {"Authorization": f"Bearer {token}"}

    async def _put(self, path: str, message: msgspec.Struct) -> None:
        content = msgspec.json.encode(message)
        async with self._session() as session, session.put(self._url + path, data=content):
            return

    async def _get(self, path: str, message_type: type[M], **query: str) -> M:
        async with (
            self._session() as session,
            session.get(self._url + path, params=query) as response,
        ):
            return msgspec.json.decode(await response.read(), type=message_type)

    def _session(self) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(headers=self._headers, raise_for_status=True)


class PlatformControl(_ControlClient):
    """Controls a platform stand-in.

    Every method raises ``aiohttp.ClientError`` if the stand-in does not answer or refuses.
    """

    __slots__ = ()

    async def set_faults(self, faults: FaultSettings) -> None:
        """Set the faults in effect."""
        await self._put("/faults", faults)

    async def set_hosts(self, settings: HostSettings) -> None:
        """Set the host list that readers see after its lag."""
        await self._put("/hosts", settings)

    async def keep_copy(self) -> None:
        """Keep a copy of all rows and objects."""
        await self._put("/copy", Nothing())

    async def restore(self) -> None:
        """Come back from the kept copy, in a new era."""
        await self._put("/restored", Nothing())

    async def counts(self) -> Counts:
        """Return how often the table was read and written."""
        return await self._get("/counts", Counts)


class UpstreamControl(_ControlClient):
    """Controls a target of an upstream stand-in.

    Every method raises ``aiohttp.ClientError`` if the target does not answer or refuses.
    """

    __slots__ = ()

    async def control(self, control: Control) -> None:
        """Change the target's behaviour."""
        await self._put("/control", control)

    async def load(self) -> LoadReport:
        """Return the target's load report."""
        return await self._get("/load", LoadReport)

    async def runs(self, **filters: str) -> RunsReport:
        """Return the runs of the target's process whose fields equal ``filters``."""
        return await self._get("/runs", RunsReport, **filters)
