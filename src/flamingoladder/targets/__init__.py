"""State of the targets on a host, and which of them may receive requests."""

from __future__ import annotations
