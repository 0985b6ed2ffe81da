"""The path of a request through an entry host, from its caller to a target and back."""

from __future__ import annotations
