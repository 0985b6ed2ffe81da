"""Tests of rereading the settings file while a host runs."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import msgspec

from flamingoladder.platform.exceptions import SettingsFileError
from flamingoladder.platform.standins.deployment import local_platform

if TYPE_CHECKING:
    from flamingoladder.entry.settings import HostSettings
    from flamingoladder.timeline.events import Event


async def test_reload_logs_changed_settings_or_error() -> None:
    async with local_platform(Random(), {"turf": ["k"]}, hosts=1, targets=1) as platform:
        host, settings = platform.hosts[0], platform.settings(0)
        events: list[Event] = []
        host._components.recorder.events.subscribe(events.append)
        changed = msgspec.structs.replace(settings, failure_domain="elsewhere", region="south")
        host.reload(lambda: changed)
        host.reload(lambda: settings)
        host.reload(read_invalid_settings)
    logged = [(event.kind, event.fields) for event in events if event.kind.startswith("host.")]
    assert [kind for kind, _ in logged[:3]] == [
        "host.reloaded",
        "host.reloaded",
        "host.settings_refused",
    ]
    assert "failure_domain,region" in str(logged[0][1])
    assert "region" in str(logged[2][1])


def read_invalid_settings() -> HostSettings:
    raise SettingsFileError("the field region is missing")
