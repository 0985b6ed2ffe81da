"""Small stand-ins for the platform and for upstreams, for tests and demos."""

from __future__ import annotations
