"""The identity of one run of the daemon."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from flamingoladder.members.member import Member

if TYPE_CHECKING:
    from flamingoladder.daemon.settings import Settings
    from flamingoladder.peers.keys import LinkKeys

INCARNATION_BYTES = 8


def new_incarnation() -> str:
    """Return a random name for one run of the daemon."""
    return secrets.token_hex(INCARNATION_BYTES)


def member_of(settings: Settings, keys: LinkKeys, incarnation: str) -> Member:
    """Return the entry that this run registers."""
    return Member(
        host=settings.host,
        region=settings.region,
        failure_domain=settings.failure_domain,
        incarnation=incarnation,
        caller_url=settings.caller_url,
        peer_endpoint=settings.peer_endpoint,
        peer_public_key=keys.public_key,
    )
