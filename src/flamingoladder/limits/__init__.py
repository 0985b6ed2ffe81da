"""Limits that apply to all hosts together."""

from __future__ import annotations
