"""Interfaces of the platform's table service, object store and host list."""

from __future__ import annotations
