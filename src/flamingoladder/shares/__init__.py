"""Allowances divided into disjoint shares, and loans between hosts."""

from __future__ import annotations
