"""Links between entry hosts."""

from __future__ import annotations
