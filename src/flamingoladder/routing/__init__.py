"""Which route, services and workspace a request belongs to."""

from __future__ import annotations
