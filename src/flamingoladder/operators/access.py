"""Checks the tokens of operators."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

from flamingoladder.daemon.settings import Role

if TYPE_CHECKING:
    from collections.abc import Sequence

    from flamingoladder.daemon.settings import OperatorToken

SCHEME = "Bearer "


class OperatorAccess:
    """The accepted tokens; several of a role may be valid at once."""

    __slots__ = ("_tokens",)

    def __init__(self, tokens: Sequence[OperatorToken]) -> None:
        self._tokens = tokens

    def role_of(self, authorization: str) -> Role | None:
        """Return the role of an ``Authorization`` header's token, or None if it has none.

        Every accepted token is compared, in constant time.
        """
        if not authorization.startswith(SCHEME):
            return None
        token = authorization.removeprefix(SCHEME).encode()
        digest = hashlib.sha256(token).hexdigest()
        roles = [
            accepted.role
            for accepted in self._tokens
            if hmac.compare_digest(accepted.sha256, digest)
        ]
        return Role.OPERATOR if Role.OPERATOR in roles else next(iter(roles), None)
