"""The decisions that keep proofs sound; ``models/freshness.py`` checks them under these names.

Versions only rise. ``installed`` is the version that a host acts on, ``known`` the newest whose
existence it has learned of. Times are monotonic seconds of the host that decides.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from flamingoladder.members.member import Member


def has_majority(hosts: Collection[str], members_by_host: Mapping[str, Member]) -> bool:
    """Return whether ``hosts`` hold a majority of the registered hosts, if there are any."""
    counted = sum(1 for host in members_by_host if host in hosts)
    return 2 * counted > len(members_by_host) or not members_by_host


def proof_is_valid(asked_at: float, proof_s: float, now: float) -> bool:
    """Return whether a proof whose question was sent at ``asked_at`` still holds at ``now``."""
    return now < asked_at + proof_s


def is_registered(member: Member, members_by_host: Mapping[str, Member]) -> bool:
    """Return whether this incarnation is registered; no other one may use or give proof."""
    registered = members_by_host.get(member.host)
    return registered is not None and registered.incarnation == member.incarnation


def may_install(version: int, installed: int) -> bool:
    """Return whether ``version`` may be put in force: never a lower one than before."""
    return version > installed


def may_confirm(asked: int, installed: int, known: int) -> bool:
    """Return whether a host may say that it knows nothing newer than version ``asked``."""
    return asked == installed == known


def may_acknowledge(base: int, known: int) -> bool:
    """Return whether a host may acknowledge an intent on top of version ``base``."""
    return known <= base


def intent_is_open(base: int, installed: int) -> bool:
    """Return whether an intent on top of ``base`` may still be, or have been, committed."""
    return installed <= base


def may_count_confirmation(incarnation: str, registered: Member) -> bool:
    """Return whether a vouch counts: only the registered incarnation remembers what it said."""
    return incarnation == registered.incarnation


def may_abort_intent(unknown_base: int | None) -> bool:
    """Return whether an intent can be withdrawn: not while a write's outcome is unknown."""
    return unknown_base is None


def may_register(host: str, committer: str, members_by_host: Mapping[str, Member]) -> bool:
    """Return whether a registration by ``committer`` may register ``host``, too.

    From one version to the next the majorities must meet in a host. So of new hosts a committer
    adds only itself, except where none is registered and so none can hold a proof; those that
    have restarted keep their place.
    """
    return host == committer or host in members_by_host or not members_by_host


def may_shorten_wait(last_removal_at: float, wait_s: float, now: float) -> bool:
    """Return whether the registered hosts are all that can hold a proof.

    ``last_removal_at`` is when a majority was certain to know the last version that removed a
    host, infinity before. Until ``wait_s`` after it, that host may hold a proof, and nobody asks
    it any more.
    """
    return now >= last_removal_at + wait_s
