"""Changes of callers' keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from flamingoladder.freshness.changes import Change
from flamingoladder.freshness.changes import Rejection

if TYPE_CHECKING:
    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.config.agreed import KeyGrant


class GrantKey(Change):
    """Grants a key. Key ids and keys are never granted a second time."""

    __slots__ = ("grant",)

    def __init__(self, grant: KeyGrant) -> None:
        self.grant = grant

    @property
    def scope(self) -> str:
        """Return ``key:<id>``."""
        return f"key:{self.grant.key_id}"

    def apply(self, state: AgreedState) -> AgreedState | Rejection:
        """Add the grant."""
        if self.grant in state.grants:
            return state
        if self.grant.workspace not in state.deployment.workspaces:
            return Rejection(f"no workspace {self.grant.workspace}")
        if any(grant.key_id == self.grant.key_id for grant in state.grants):
            return Rejection(f"key id {self.grant.key_id} is in use or was withdrawn")
        if self.grant.digest in state.grants_by_digest:
            return Rejection("the same key was granted before, under another id")
        return replace(state, grants=(*state.grants, self.grant))


class WithdrawKey(Change):
    """Withdraws a key permanently."""

    __slots__ = ("key_id",)

    def __init__(self, key_id: str) -> None:
        self.key_id = key_id

    @property
    def scope(self) -> str:
        """Return ``key:<id>``."""
        return f"key:{self.key_id}"

    @property
    def suspended_key(self) -> str | None:
        """Return the key's id: hosts refuse the key once they have acknowledged the intent."""
        return self.key_id

    def apply(self, state: AgreedState) -> AgreedState | Rejection:
        """Mark the grant as withdrawn."""
        if all(grant.key_id != self.key_id for grant in state.grants):
            return Rejection(f"no key {self.key_id}")
        return with_keys_withdrawn(state, frozenset({self.key_id}))


def with_keys_withdrawn(state: AgreedState, key_ids: frozenset[str]) -> AgreedState:
    """Return ``state`` with ``key_ids`` withdrawn; ``state`` itself if they already are."""
    if not any(grant.key_id in key_ids and not grant.withdrawn for grant in state.grants):
        return state
    grants = tuple(
        _withdrawn(grant) if grant.key_id in key_ids else grant for grant in state.grants
    )
    return replace(state, grants=grants)


def _withdrawn(grant: KeyGrant) -> KeyGrant:
    return replace(grant, withdrawn=True)
