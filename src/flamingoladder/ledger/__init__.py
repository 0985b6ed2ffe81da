"""The idempotency ledger: at-most-once execution of non-idempotent requests."""

from __future__ import annotations
