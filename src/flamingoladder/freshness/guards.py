"""The decisions that keep proofs sound; ``models/freshness.py`` checks them under these names.

Versions only increase. ``installed`` is the version that a host acts on, ``known`` the newest
version that it has observed, in the store or in a message. Times are monotonic seconds of the host
that decides.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from flamingoladder.members.member import Member


def has_majority(hosts: Collection[str], members_by_host: Mapping[str, Member]) -> bool:
    """Return whether ``hosts`` contain a majority of the registered hosts or none is registered."""
    counted = sum(1 for host in members_by_host if host in hosts)
    return 2 * counted > len(members_by_host) or not members_by_host


def proof_is_valid(asked_at: float, proof_s: float, now: float) -> bool:
    """Return whether a proof whose request was sent at ``asked_at`` is still valid at ``now``."""
    return now < asked_at + proof_s


def is_registered(member: Member, members_by_host: Mapping[str, Member]) -> bool:
    """Return whether ``member``'s incarnation is registered; no other may use or confirm proofs."""
    registered = members_by_host.get(member.host)
    return registered is not None and registered.incarnation == member.incarnation


def may_install(version: int, installed: int) -> bool:
    """Return whether ``version`` may be installed: it must be above the installed one."""
    return version > installed


def may_confirm(asked_version: int, installed: int, known: int) -> bool:
    """Return whether a host may confirm ``asked_version`` as the newest that it has observed."""
    return asked_version == installed == known


def acknowledged_change(
    version: int, change_id: str, installed: int, installed_change: str
) -> bool:
    """Return whether a host that knows the number of a version also has its content.

    A host that has installed a later version has it, one with another content of the same number
    has not, and one that has installed less took the number from this announcement.
    """
    return installed != version or is_same_change(change_id, installed_change)


def acknowledged_in_era(host_era: int, stored_era: int) -> bool:
    """Return whether a host knows of no era of the store in which a version may be missing.

    In a later era a majority may have confirmed the version below to a host, which then takes the
    store's head for a proof. Of that majority one host knows the era.
    """
    return host_era <= stored_era


def is_same_change(asked_change: str, installed_change: str) -> bool:
    """Return whether two versions of one number have the same content.

    Numbers are given out again after the store came back from an older copy.
    """
    return not asked_change or not installed_change or asked_change == installed_change


def may_acknowledge(base_version: int, known: int) -> bool:
    """Return whether a host may acknowledge an intent on top of version ``base_version``."""
    return known <= base_version


def intent_is_open(base_version: int, installed: int) -> bool:
    """Return whether an intent on top of ``base_version`` may still be, or have been, committed."""
    return installed <= base_version


def may_count_confirmation(incarnation: str, registered: Member) -> bool:
    """Return whether a confirmation by ``incarnation`` counts.

    Only the registered incarnation counts: a restart loses the acknowledged intents.
    """
    return incarnation == registered.incarnation


def may_abort_intent(unresolved_base_version: int | None) -> bool:
    """Return whether an intent may be aborted: not while a write's outcome is unknown."""
    return unresolved_base_version is None


def may_register(host: str, committer: str, members_by_host: Mapping[str, Member]) -> bool:
    """Return whether a registration by ``committer`` may also register ``host``.

    The majorities of consecutive versions must share a host. A committer therefore adds no new
    host but itself, unless no host is registered and none can hold a proof. Hosts that are
    registered and have restarted may be registered with their new incarnation.
    """
    return host == committer or host in members_by_host or not members_by_host


def may_shorten_wait(last_removal_at: float, wait_s: float, now: float) -> bool:
    """Return whether the wait may end once all registered hosts have installed the version.

    That requires that only registered hosts can still hold a proof.

    ``last_removal_at`` is the time by which a majority certainly knew the last version that
    removed a host, infinity before. Until ``wait_s`` later, the removed host may hold a proof,
    and it is no longer asked for acknowledgements.
    """
    return now >= last_removal_at + wait_s
