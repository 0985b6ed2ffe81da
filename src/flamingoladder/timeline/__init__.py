"""Events of one process and their merge over all processes."""

from __future__ import annotations
