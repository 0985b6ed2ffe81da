"""The entry daemon: settings and wiring."""

from __future__ import annotations
