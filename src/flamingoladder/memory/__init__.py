"""One budget for the bytes that callers and targets can make a process hold."""

from __future__ import annotations
