"""States of models that hold one part for each host."""

from __future__ import annotations

from typing import Any


def with_host(now: Any, index: int, host: Any) -> Any:
    """Return the state ``now`` with another value for the host with that index."""
    hosts = tuple(host if at == index else each for at, each in enumerate(now.hosts))
    return now._replace(hosts=hosts)
