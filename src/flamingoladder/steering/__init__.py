"""Look-up of entry hosts, slot leases between hosts, traffic shifts and target selection."""

from __future__ import annotations
