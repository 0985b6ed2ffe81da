"""Tests of the model checks."""

from __future__ import annotations
