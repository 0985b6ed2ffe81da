"""Tests of proofs and commits."""

from __future__ import annotations
