"""Tests of callers' keys."""

from __future__ import annotations
