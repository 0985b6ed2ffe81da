"""Authentication of callers' keys against the agreed state."""

from __future__ import annotations

import hmac
from abc import ABC
from abc import abstractmethod
from hashlib import sha256
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok

from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from expression import Result

    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.config.agreed import KeyGrant
    from flamingoladder.config.agreed import StateInForce


class KeyAuthenticator(ABC):
    """Authenticates callers by their keys."""

    @abstractmethod
    def authenticate(self, key: str | None) -> Result[KeyGrant, Refusal]:
        """Return the grant of ``key``, or a refusal ``NOT_RUN``."""

    @abstractmethod
    def recheck(self, key_id: str) -> Refusal | None:
        """Return None if the key is still granted, or a refusal ``NOT_RUN``."""


class GrantedKeys(KeyAuthenticator):
    """Authenticates keys by the grants of the agreed state.

    If two grants have the same digest, a withdrawn one takes precedence.
    """

    __slots__ = ("_by_digest", "_by_id", "_subscription")

    def __init__(self, state: StateInForce) -> None:
        self._by_digest: dict[str, KeyGrant] = {}
        self._by_id: dict[str, KeyGrant] = {}
        self._subscription = state.changes.subscribe(self._rebuild)

    def authenticate(self, key: str | None) -> Result[KeyGrant, Refusal]:
        """Return the grant of ``key``, or a refusal ``NOT_RUN``."""
        if not key:
            return Error(_refusal(Reason.KEY_MISSING, "send the key as 'Authorization: Bearer'"))
        digest = key_digest(key)
        grant = self._by_digest.get(digest)
        if grant is None or not hmac.compare_digest(grant.digest, digest):
            return Error(_refusal(Reason.KEY_UNKNOWN, "no workspace has been granted this key"))
        if grant.withdrawn:
            return Error(_withdrawn_refusal(grant.key_id))
        return Ok(grant)

    def recheck(self, key_id: str) -> Refusal | None:
        """Return None if the key is still granted, or a refusal ``NOT_RUN``."""
        grant = self._by_id.get(key_id)
        if grant is None:
            return _refusal(Reason.KEY_UNKNOWN, f"key {key_id} is no longer granted")
        return _withdrawn_refusal(key_id) if grant.withdrawn else None

    def close(self) -> None:
        """Unsubscribe from the agreed state."""
        self._subscription.dispose()

    def _rebuild(self, state: AgreedState) -> None:
        self._by_digest = {}
        self._by_id = {}
        for grant in sorted(state.grants, key=_is_withdrawn):
            self._by_digest[grant.digest] = grant
            self._by_id[grant.key_id] = grant


def key_digest(key: str) -> str:
    """Return the hex SHA-256 digest under which ``key`` is granted."""
    return sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def _is_withdrawn(grant: KeyGrant) -> bool:
    return grant.withdrawn


def _withdrawn_refusal(key_id: str) -> Refusal:
    return _refusal(Reason.KEY_WITHDRAWN, f"key {key_id} has been withdrawn")


def _refusal(reason: Reason, detail: str) -> Refusal:
    return Refusal.not_run(reason, detail)
