"""Tests of targets."""

from __future__ import annotations
