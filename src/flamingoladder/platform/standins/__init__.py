"""Stand-ins of the platform's store and of targets that register there, for tests and the demo."""

from __future__ import annotations
