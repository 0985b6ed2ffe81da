"""Tests of the registered hosts."""

from __future__ import annotations
