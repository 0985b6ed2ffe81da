"""The registered entry hosts."""

from __future__ import annotations
