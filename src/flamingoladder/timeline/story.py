"""The story of one request: its own events, and what its hosts believed when it came."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from flamingoladder.timeline.events import Event

MICROSECONDS_PER_SECOND = 1_000_000
TARGET_CONTEXT_S = 10.0
HOST_CONTEXT_S = 10.0
TARGET_KINDS = ("target.",)
# These tell why a target was not used, so also of targets to which the request was not sent.
PASSED_OVER_KINDS = ("target.leaving", "target.paused")
HOST_KINDS = (
    "configuration.",
    "evacuation.",
    "host.",
    "log.",
    "store.",
)


def story_of(request: str, events: Sequence[Event]) -> list[Event]:
    """Return the events that tell what became of ``request``, causes before effects.

    ``events`` are in causal order. Besides those of the request these are the last changes of the
    targets that it was sent to, the targets that its hosts passed over as they said that they leave
    or want a pause, and what its hosts noted of configuration, store and other hosts, within the
    seconds before its first event and until its last.
    """
    own = [event for event in events if event.fields.get("request") == request]
    if not own:
        return []
    first, last = own[0].clock, own[-1].clock
    targets = {event.fields["target"] for event in own if "target" in event.fields}
    hosts = {event.host for event in own}
    context = [
        event
        for event in events
        if event.host in hosts
        and event.clock <= last
        and (
            _is_about_target(event, targets, first)
            or _is_passed_over(event, first)
            or _is_about_host(event, first)
        )
    ]
    in_force = _configuration_in_force(events, hosts, first)
    chosen = {id(event) for event in (*own, *context, *in_force)}
    return [event for event in events if id(event) in chosen]


def _is_about_target(event: Event, targets: set[str], first: int) -> bool:
    recent = event.clock >= first - int(TARGET_CONTEXT_S * MICROSECONDS_PER_SECOND)
    return recent and event.kind.startswith(TARGET_KINDS) and event.fields.get("target") in targets


def _is_passed_over(event: Event, first: int) -> bool:
    """Return whether a target still rested or had lately begun to leave."""
    if event.kind not in PASSED_OVER_KINDS:
        return False
    lasts_s = float(event.fields.get("resumes_after_s", TARGET_CONTEXT_S))
    return event.clock >= first - int(lasts_s * MICROSECONDS_PER_SECOND)


def _is_about_host(event: Event, first: int) -> bool:
    recent = event.clock >= first - int(HOST_CONTEXT_S * MICROSECONDS_PER_SECOND)
    return recent and event.kind.startswith(HOST_KINDS)


def _configuration_in_force(events: Iterable[Event], hosts: set[str], first: int) -> list[Event]:
    """Return the last change of the configuration at each host before ``first``."""
    newest: dict[str, Event] = {}
    for event in events:
        if event.kind == "configuration.in_force" and event.clock <= first and event.host in hosts:
            newest[event.host] = event
    return list(newest.values())
