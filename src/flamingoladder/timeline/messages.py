"""Messages between hosts about the time line."""

from __future__ import annotations

import msgspec

from flamingoladder.timeline.events import Event


class EventsRequest(msgspec.Struct, frozen=True, tag="events_request"):
    """Asks for the kept events with a clock above ``since``."""

    since: int


class EventsReply(msgspec.Struct, frozen=True, tag="events_reply"):
    """The events, oldest first."""

    events: tuple[Event, ...]


TimelineMessage = EventsRequest | EventsReply
