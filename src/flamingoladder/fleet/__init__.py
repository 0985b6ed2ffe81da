"""What the hosts tell one another, and which of them are alive."""

from __future__ import annotations
