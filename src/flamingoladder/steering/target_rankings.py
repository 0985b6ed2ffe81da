"""Ranks targets for objects by rendezvous hash, and keeps the first ranks of each object.

A changed target changes few rankings, so a ranking is kept and updated, not computed anew. Only the
first ranks are kept: whole rankings of 20,000 objects would not fit into the memory of a host.
"""

from __future__ import annotations

from heapq import nsmallest
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from flamingoladder.steering.known_objects import ObjectKey

# The scope of a ranking over the targets of all regions; other scopes are the names of regions.
ALL_REGIONS = ""
KEPT_RANKS = 8
# A ranking that is further behind is computed anew.
MAX_ADDITIONS_BEHIND = 64
# A ranking that is computed anew takes as long as this many hashes, besides its hashes.
HASHES_PER_SORT = 24


class TargetRankings:
    """Rankings of the present targets for objects, over a region or over all regions.

    A kept ranking may name targets that left; any target that it lacks ranks after all those that
    it names. ``hashes`` counts the computed hashes, as a measure of work.
    """

    __slots__ = ("_scopes_by_name", "hashes")

    def __init__(self) -> None:
        self._scopes_by_name: dict[str, _Scope] = {}
        self.hashes = 0

    def __len__(self) -> int:
        return max((len(scope.kept) for scope in self._scopes_by_name.values()), default=0)

    def set_targets(self, regions_by_target: Mapping[str, str]) -> None:
        """Replace the present targets."""
        names_by_scope: dict[str, list[str]] = {name: [] for name in self._scopes_by_name}
        for target, region in regions_by_target.items():
            names_by_scope.setdefault(region, []).append(target)
        names_by_scope[ALL_REGIONS] = list(regions_by_target)
        for name, targets in names_by_scope.items():
            self._scope(name).set_targets(targets)

    def first(self, key: ObjectKey, scope_name: str) -> tuple[str, ...]:
        """Return the first ranks for the object, among them perhaps targets that left."""
        scope = self._scope(scope_name)
        version, ranks = scope.kept.get(key, (-1, ()))
        if version == scope.version:
            return ranks
        if version < scope.version - len(scope.additions):
            return self.rank_anew(key, scope_name)
        for target in scope.additions[len(scope.additions) - (scope.version - version) :]:
            ranks = self._with_target(key, ranks, target, scope)
        scope.kept[key] = (scope.version, ranks)
        return ranks

    def rank_anew(self, key: ObjectKey, scope_name: str) -> tuple[str, ...]:
        """Compute the first ranks for the object among the present targets."""
        scope = self._scope(scope_name)
        ranked = nsmallest(KEPT_RANKS, self._hashed(key, scope.codes_by_target.items()))
        ranks = tuple(target for _, target in ranked)
        scope.kept[key] = (scope.version, ranks)
        self.hashes += HASHES_PER_SORT
        return ranks

    def present(self, key: ObjectKey, scope_name: str) -> Iterator[str]:
        """Yield all present targets in the order of their ranks."""
        scope = self._scope(scope_name)
        codes_by_target = scope.codes_by_target
        first = self.first(key, scope_name)
        yield from (target for target in first if target in codes_by_target)
        others = [item for item in codes_by_target.items() if item[0] not in first]
        yield from (target for _, target in sorted(self._hashed(key, others)))

    def best_of(self, key: ObjectKey, targets: Iterable[str]) -> str:
        """Return the highest ranked of ``targets``."""
        _, best = min(self._hashed(key, ((target, target.encode()) for target in targets)))
        return best

    def forget(self, key: ObjectKey) -> None:
        """Drop what is kept for an object."""
        for scope in self._scopes_by_name.values():
            scope.kept.pop(key, None)

    def _scope(self, name: str) -> _Scope:
        scope = self._scopes_by_name.get(name)
        if scope is None:
            scope = self._scopes_by_name[name] = _Scope()
        return scope

    def _hashed(self, key: ObjectKey, codes: Iterable[tuple[str, bytes]]) -> list[tuple[int, str]]:
        """Return targets with their hashes for the object, as ``stable_hash`` computes them."""
        prefix = f"{key}\0".encode()
        hash_of = xxhash.xxh64_intdigest
        hashed = [(hash_of(prefix + code), target) for target, code in codes]
        self.hashes += len(hashed)
        return hashed

    def _with_target(
        self, key: ObjectKey, ranks: tuple[str, ...], target: str, scope: _Scope
    ) -> tuple[str, ...]:
        if target in ranks or target not in scope.codes_by_target:
            return ranks
        candidates = [(name, name.encode()) for name in (*ranks, target)]
        if len(ranks) == KEPT_RANKS:
            (last, _), (new, _) = self._hashed(key, candidates[-2:])
            if new > last:
                return ranks
        ranked = sorted(self._hashed(key, candidates))[:KEPT_RANKS]
        return tuple(name for _, name in ranked)


class _Scope:
    """The targets of a region, or of all; ``version`` counts additions, the latest are kept."""

    __slots__ = ("additions", "codes_by_target", "kept", "version")

    def __init__(self) -> None:
        self.codes_by_target: dict[str, bytes] = {}
        self.kept: dict[ObjectKey, tuple[int, tuple[str, ...]]] = {}
        self.additions: list[str] = []
        self.version = 0

    def set_targets(self, targets: list[str]) -> None:
        added = [target for target in targets if target not in self.codes_by_target]
        self.codes_by_target = {target: target.encode() for target in targets}
        self.additions = (self.additions + added)[-MAX_ADDITIONS_BEHIND:]
        self.version += len(added)
