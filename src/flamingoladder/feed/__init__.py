"""Copies of the store's tables: some hosts poll the store and relay changes to the others."""

from __future__ import annotations
