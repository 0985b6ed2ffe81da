"""Shares of the budget by client address, workspace and target."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class AccountKind(StrEnum):
    """What the bytes of an account are held for."""

    CLIENT = "client"
    WORKSPACE = "workspace"
    TARGET = "target"


class Account(msgspec.Struct, frozen=True):
    """One client address, workspace or target."""

    kind: AccountKind
    name: str


class Shares:
    """Large bytes held by account.

    Load: one client sends bodies that fill the budget while others want some of it. An account may
    have the whole budget as long as no other account of its kind holds or recently wanted any, and
    else ``share_bytes``.
    """

    # A refused client that wants more comes back within this time.
    WANTED_S = 2.0

    __slots__ = ("_held_by_kind", "_wanted_by_kind")

    def __init__(self) -> None:
        self._held_by_kind: dict[AccountKind, dict[str, int]] = {kind: {} for kind in AccountKind}
        self._wanted_by_kind: dict[AccountKind, tuple[str, float]] = {}

    def allows(
        self, accounts: tuple[Account, ...], more_bytes: int, share_bytes: int, now: float
    ) -> bool:
        """Return whether each account may have ``more_bytes``."""
        return all(
            self.held_bytes(account) + more_bytes <= share_bytes
            or not self._others_want(account, now)
            for account in accounts
        )

    def held_bytes(self, account: Account) -> int:
        """Return the large bytes that the account holds."""
        return self._held_by_kind[account.kind].get(account.name, 0)

    def add(self, accounts: tuple[Account, ...], more_bytes: int) -> None:
        """Count bytes that the accounts hold from now on, or less of them."""
        for account in accounts:
            held_by_name = self._held_by_kind[account.kind]
            held_bytes = held_by_name.get(account.name, 0) + more_bytes
            if held_bytes:
                held_by_name[account.name] = held_bytes
            else:
                held_by_name.pop(account.name, None)

    def note_wanted(self, accounts: tuple[Account, ...], now: float) -> None:
        """Note accounts that were refused bytes."""
        for account in accounts:
            self._wanted_by_kind[account.kind] = (account.name, now)

    def _others_want(self, account: Account, now: float) -> bool:
        held_by_name = self._held_by_kind[account.kind]
        if len(held_by_name) > (account.name in held_by_name):
            return True
        name, wanted_at = self._wanted_by_kind.get(account.kind, (account.name, 0.0))
        return name != account.name and now - wanted_at <= self.WANTED_S
