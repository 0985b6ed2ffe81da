"""What a host knows of the targets, and which may take work."""

from __future__ import annotations
