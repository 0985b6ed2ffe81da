"""Errors on the request path."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingoladder.verdict import Refusal


class RefusedError(Exception):
    """The request was refused before any byte of it was sent to an upstream."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal
