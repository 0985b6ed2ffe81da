"""Writes the settings file that the platform gives to a host."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from flamingoladder.entry.settings import Bounds
    from flamingoladder.entry.settings import HostSettings


def settings_file(settings: HostSettings) -> bytes:
    """Return the content of the file from which a host reads these settings."""
    own = {
        "node": settings.host,
        "ip": settings.peers.address,
        "zone": settings.failure_domain,
        "region": settings.region,
        "bootstrap": settings.first_start,
        "limits": {
            "link_mbps": settings.link_mbps,
            "memory_mb": settings.memory_mb,
            "cores": settings.capacity_cores,
            "max_fds": settings.max_fds,
        },
    }
    listen = {
        "front": str(settings.callers),
        "ready": str(settings.health),
        "directory": str(settings.lookups),
    }
    return msgspec.json.encode(
        {
            "self": own,
            "network": {
                "listen": listen,
                "internal_ports": [settings.peers.port, settings.metrics.port],
                "zones": settings.regions_by_domain,
            },
            "provider": {"provider": {"address": settings.store_url.removeprefix("http://")}},
            "tolerances": {"bounds": _bounds(settings.bounds)},
        }
    )


def _bounds(bounds: Bounds) -> dict[str, float]:
    return {
        "grace_s": bounds.grace_s,
        "retry_budget_ratio": bounds.retry_ratio,
        "budget_window_s": bounds.retry_window_s,
        "retry_budget_slack": bounds.retry_slack,
        "warmup_overshoot": bounds.slow_start_overshoot,
        "warmup_slack": bounds.slow_start_slack,
        "ttl_max_s": bounds.lookup_ttl_s,
        "config_apply_s": bounds.propagation_s,
        "drain_s": bounds.propagation_s,
        "evacuate_s": bounds.propagation_s,
        "revoke_s": bounds.propagation_s,
        "quota_overshoot": bounds.rate_tolerance.overshoot,
        "quota_slack": bounds.rate_tolerance.slack,
        "quota_window_s": bounds.rate_tolerance.window_s,
    }
