"""The operator API over HTTP."""

from __future__ import annotations
