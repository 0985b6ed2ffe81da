"""Admission while all targets of a service are busy: a fair, bounded queue at the host."""

from __future__ import annotations
