"""Merges the time lines of several processes, and filters them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.timeline.messages import EventsReply
from flamingoladder.timeline.messages import EventsRequest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingoladder.peers.link import Peer
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.timeline.events import Event
    from flamingoladder.timeline.recorder import Recorder

COLLECT_TIMEOUT_S = 1.0
EVENTS_IN_A_REPLY = 2_000


class EventFilter(msgspec.Struct, frozen=True):
    """Which events to keep; an empty field keeps all. ``kind`` also keeps kinds below it."""

    request: str = ""
    workspace: str = ""
    key_id: str = ""
    kind: str = ""

    def keeps(self, event: Event) -> bool:
        """Return whether the event passes."""
        if self.kind and event.kind != self.kind and not event.kind.startswith(f"{self.kind}."):
            return False
        wanted_by_field = {
            "request": self.request,
            "workspace": self.workspace,
            "key_id": self.key_id,
        }
        return all(
            not wanted or event.fields.get(field) == wanted
            for field, wanted in wanted_by_field.items()
        )


def merged(events: Iterable[Event]) -> list[Event]:
    """Return the events without repeats, causes before effects."""
    unique = {(event.host, event.incarnation, event.clock): event for event in events}
    return sorted(unique.values(), key=lambda event: (event.clock, event.host))


class TimelineCollector:
    """Answers peers with this host's events, and collects the events of all hosts."""

    __slots__ = ("_links", "_recorder")

    def __init__(self, links: PeerLinks, recorder: Recorder) -> None:
        self._links = links
        self._recorder = recorder
        links.register(EventsRequest, self._reply)

    async def collect(self, since: int) -> list[Event]:
        """Return the events of all hosts that answer, with a clock above ``since``."""
        questions = [
            self._links.request(host, EventsRequest(since), COLLECT_TIMEOUT_S)
            for host in self._links.hosts
        ]
        replies = await asyncio.gather(*questions)
        events = list(self._recorder.since(since))
        for reply in replies:
            if isinstance(reply, EventsReply):
                events.extend(reply.events)
        return merged(events)

    async def _reply(self, peer: Peer, request: EventsRequest) -> msgspec.Struct:
        return EventsReply(self._recorder.since(request.since)[-EVENTS_IN_A_REPLY:])
