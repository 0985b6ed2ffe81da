"""Issues new callers' keys."""

from __future__ import annotations

import secrets

import msgspec

from flamingoladder.config.agreed import KeyGrant
from flamingoladder.keys.authentication import key_digest

KEY_BYTES = 32
KEY_ID_BYTES = 6


class IssuedKey(msgspec.Struct, frozen=True):
    """A new key and its grant; only the grant is stored."""

    key: str
    grant: KeyGrant


def issue_key(workspace: str) -> IssuedKey:
    """Return a new random key of ``workspace``."""
    key = secrets.token_urlsafe(KEY_BYTES)
    key_id = f"key-{secrets.token_hex(KEY_ID_BYTES)}"
    return IssuedKey(key, KeyGrant(key_id, workspace, key_digest(key)))
