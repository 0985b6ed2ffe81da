"""Reports between the hosts of a fleet, and which hosts are alive."""

from __future__ import annotations
