"""The standing of a request within its rank."""

from __future__ import annotations

from enum import IntEnum


class Standing(IntEnum):
    """The order within a rank; lower goes first.

    ``UNDER_SHARE`` are the requests of workspaces that ask for no more than their share, or all
    while shares are not in force. The other workspaces have some ``IN_SHARE`` and some
    ``OVER_SHARE``.
    """

    PREFERRED_REPEAT = 0
    UNDER_SHARE = 1
    IN_SHARE = 2
    OVER_SHARE = 3
    SURPLUS_REPEAT = 4
