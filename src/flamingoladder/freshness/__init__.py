"""Commits the agreed state and proves to each host that its copy is still the newest.

A proof is a read lease: it is timed from when its question was sent and ends by itself after
``proof_s``, so that a host which is cut off stops acting on a state that may be outdated.
"""

from __future__ import annotations
