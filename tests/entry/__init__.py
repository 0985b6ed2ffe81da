"""Tests of the entry host."""

from __future__ import annotations
