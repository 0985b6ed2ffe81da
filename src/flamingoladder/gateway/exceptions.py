"""Errors on the request path."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingoladder.verdict import Refusal


class RefusedError(Exception):
    """A check refused the request before any byte of it could leave."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal
