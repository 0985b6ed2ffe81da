"""Which hosts have said that they went over to a division."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.peers.link import Peer


class Adoptions:
    """Tells when every owner of the earlier division has let go of it.

    Then nobody needs to wait for proof to lapse. A run of a host that has ended can't say so: what
    it owned is waited for.
    """

    __slots__ = ("_awaited", "_version", "_version_by_run")

    def __init__(self) -> None:
        self._version_by_run: dict[tuple[str, str], int] = {}
        self._version = 0
        self._awaited: frozenset[tuple[str, str]] | None = None

    def expect(self, earlier: AgreedState, later: AgreedState, host: str) -> None:
        """Wait for the other members of ``earlier`` to adopt ``later``."""
        others = (member for member in earlier.members if member.host != host)
        self._awaited = frozenset((member.host, member.incarnation) for member in others)
        self._version = later.division_version

    def expect_nothing(self) -> None:
        """Give up waiting, as others may hold parts of a division that wasn't seen."""
        self._awaited = None

    def note(self, peer: Peer, versions: Iterable[int]) -> None:
        """Note the division versions that a run of a host has adopted."""
        run = (peer.host, peer.incarnation)
        self._version_by_run[run] = max(self._version_by_run.get(run, 0), *versions)

    def all_adopted(self) -> bool:
        """Return whether all hosts that are waited for have adopted the division."""
        if self._awaited is None:
            return False
        known = self._version_by_run
        return all(known.get(run, 0) >= self._version for run in self._awaited)
