"""Connections to upstream targets."""

from __future__ import annotations
