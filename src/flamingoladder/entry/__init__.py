"""Request handling of an entry host, from the caller to a target and back."""

from __future__ import annotations
