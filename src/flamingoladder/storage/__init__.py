"""What the slices need of a store: a table with transactions, objects, and a list of hosts."""

from __future__ import annotations
