"""Assigns each object a home, the preferred target of its requests.

A target that has handled an object recently handles it several times faster. Each host computes the
same homes from the same targets and objects, by rendezvous hashing with bounded loads: a target is
home to at most ``MAX_LOAD_FACTOR`` times the average number of objects. An object's home is in the
region that its requests come from, unless the targets there have reached that limit.

While few objects are known, all homes are assigned anew when an object or a target comes or goes.
With more, a request assigns the home of its own object alone, by what is known at that moment, and
``correct`` brings all homes to what they would be if they were assigned anew.
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from flamingoladder.hashing import stable_hash
from flamingoladder.steering.known_objects import KnownObjects

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from flamingoladder.steering.known_objects import ObjectKey

# With 1.1, five joining targets moved many homes; 2.0 scored lower than 1.4 in the benchmark of
# scaling out.
MAX_LOAD_FACTOR = 1.4
MAX_OBJECTS = 20_000
# Up to this many objects a request may assign all homes anew.
MAX_OBJECTS_AT_ONCE = 400
MAX_RANKINGS = 512
# Hashes of a target for an object that one step of the correction may compute.
HASHES_PER_STEP = 4_096


class HomeAssignment:
    """The homes of the known objects of one service."""

    __slots__ = (
        "_homes_by_object",
        "_objects_by_target",
        "_pass",
        "_rankings_by_object",
        "_regions_by_target",
        "_stale",
        "known",
    )

    def __init__(self, max_objects: int = MAX_OBJECTS) -> None:
        self.known = KnownObjects(max_objects)
        self._regions_by_target: dict[str, str] = {}
        self._rankings_by_object: dict[ObjectKey, tuple[str, ...]] = {}
        self._homes_by_object: dict[ObjectKey, str] = {}
        self._objects_by_target: dict[str, int] = {}
        self._pass: _AssignmentPass | None = None
        self._stale = False

    def set_targets(self, regions_by_target: Mapping[str, str]) -> None:
        """Replace the targets to assign objects to."""
        if regions_by_target == self._regions_by_target:
            return
        self._regions_by_target = dict(regions_by_target)
        self._rankings_by_object.clear()
        self._pass = None
        self._stale = True

    def add_objects(self, objects: Collection[ObjectKey], region: str) -> None:
        """Add objects that are requested from ``region``."""
        for key in objects:
            if key in self.known:
                continue
            forgotten = self.known.add(key, region)
            if forgotten is not None:
                self._forget(forgotten)
            self._stale = True

    def ranked_targets(self, key: ObjectKey) -> tuple[str, ...]:
        """Return all targets: the object's home first, the others by rendezvous hash."""
        self._assign_if_few()
        ranking = self._cached_ranking(key)
        home = self._home(key, ranking)
        if home is None or ranking[0] == home:
            return ranking
        return (home, *(target for target in ranking if target != home))

    def correct(self) -> None:
        """Take a step towards the homes that all objects would get if they were assigned anew."""
        if not self._regions_by_target:
            return
        if self._pass is None and self._stale and len(self.known) > MAX_OBJECTS_AT_ONCE:
            self._stale = False
            self._pass = self._new_pass()
        if self._pass is None:
            return
        objects = max(1, HASHES_PER_STEP // len(self._regions_by_target))
        if self._pass.step(objects):
            self._pass = None

    def assign(self, key: ObjectKey, target: str) -> None:
        """Make a target the home of an object, unless the object was forgotten."""
        if key not in self.known:
            return
        self._forget_home(key)
        self._homes_by_object[key] = target
        self._objects_by_target[target] = self._objects_by_target.get(target, 0) + 1

    def ranking(self, key: ObjectKey) -> tuple[str, ...]:
        """Return all targets by rendezvous hash."""
        ranking = self._rankings_by_object.get(key)
        if ranking is not None:
            return ranking
        return tuple(sorted(self._regions_by_target, key=lambda target: stable_hash(key, target)))

    def _cached_ranking(self, key: ObjectKey) -> tuple[str, ...]:
        ranking = self.ranking(key)
        if key not in self._rankings_by_object:
            if len(self._rankings_by_object) >= MAX_RANKINGS:
                del self._rankings_by_object[next(iter(self._rankings_by_object))]
            self._rankings_by_object[key] = ranking
        return ranking

    def _assign_if_few(self) -> None:
        if not self._stale or len(self.known) > MAX_OBJECTS_AT_ONCE:
            return
        self._stale = False
        self._homes_by_object.clear()
        self._objects_by_target.clear()
        if self._regions_by_target:
            for _, key in self.known.in_hash_order():
                self._cached_ranking(key)
            whole = self._new_pass()
            while not whole.step(MAX_OBJECTS_AT_ONCE):
                continue

    def _new_pass(self) -> _AssignmentPass:
        return _AssignmentPass(self, self._regions_by_target, self._most_objects())

    def _most_objects(self) -> int:
        """Return the number of objects that a target may be home to."""
        return ceil(len(self.known) * MAX_LOAD_FACTOR / len(self._regions_by_target))

    def _home(self, key: ObjectKey, ranking: tuple[str, ...]) -> str | None:
        home = self._homes_by_object.get(key)
        if home in self._regions_by_target:
            return home
        if not ranking or key not in self.known:
            return None
        region, most = self.known.regions_by_key[key], self._most_objects()
        free = [target for target in ranking if self._objects_by_target.get(target, 0) < most]
        near = (target for target in free if self._regions_by_target[target] == region)
        home = next(near, free[0] if free else ranking[0])
        self.assign(key, home)
        return home

    def _forget(self, key: ObjectKey) -> None:
        self._rankings_by_object.pop(key, None)
        self._forget_home(key)

    def _forget_home(self, key: ObjectKey) -> None:
        home = self._homes_by_object.pop(key, None)
        if home is not None:
            self._objects_by_target[home] -= 1


class _AssignmentPass:
    """Assigns all objects anew, some at a time: first those for which their own region has room."""

    __slots__ = ("_assignment", "_capacity_left", "_left_over", "_next", "_regions_by_target")

    def __init__(
        self, assignment: HomeAssignment, regions_by_target: Mapping[str, str], most_objects: int
    ) -> None:
        self._assignment = assignment
        self._regions_by_target = regions_by_target
        self._capacity_left = dict.fromkeys(regions_by_target, most_objects)
        self._next = iter(assignment.known.in_hash_order())
        self._left_over: list[tuple[int, ObjectKey]] | None = []

    def step(self, objects: int) -> bool:
        """Assign up to ``objects`` objects; return whether the pass is over."""
        for _ in range(objects):
            item = next(self._next, None)
            if item is not None:
                self._assign(item)
            elif self._left_over is None:
                return True
            else:
                self._next, self._left_over = iter(self._left_over), None
        return False

    def _assign(self, item: tuple[int, ObjectKey]) -> None:
        _, key = item
        region = self._assignment.known.regions_by_key.get(key)
        if region is None:
            return
        for target in self._assignment.ranking(key):
            is_allowed = self._left_over is None or self._regions_by_target[target] == region
            if self._capacity_left[target] and is_allowed:
                self._capacity_left[target] -= 1
                self._assignment.assign(key, target)
                return
        if self._left_over is not None:
            self._left_over.append(item)
