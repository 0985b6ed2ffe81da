"""Limits that hold over all hosts together."""

from __future__ import annotations
