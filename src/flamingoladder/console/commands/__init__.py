"""One module for each command."""

from __future__ import annotations
