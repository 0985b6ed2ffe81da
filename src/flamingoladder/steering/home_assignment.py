"""Assigns each object a home, the preferred target of its requests.

A target that has handled an object recently handles it several times faster. Each host computes the
same homes from the same targets and objects, by rendezvous hashing with bounded loads: a target is
home to at most ``MAX_LOAD_FACTOR`` times the average number of objects. An object's home is in the
region that its requests come from, unless the targets there have reached that limit.

All homes follow from the present targets and the known objects alone, so that hosts agree however
they came to know them. While few objects are known, a change is followed by a whole assignment at
once. With more, ``correct`` does it in bounded steps; until it is over, the homes of the one before
hold, and an object that has none gets one by what is known at that moment.
"""

from __future__ import annotations

from collections import Counter
from math import ceil
from typing import TYPE_CHECKING

from flamingoladder.steering.assignment_pass import AssignmentPass
from flamingoladder.steering.known_objects import KnownObjects
from flamingoladder.steering.target_rankings import ALL_REGIONS
from flamingoladder.steering.target_rankings import TargetRankings

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterator
    from collections.abc import Mapping

    from flamingoladder.steering.hot_objects import HotObject
    from flamingoladder.steering.known_objects import ObjectKey

# With 1.1, five joining targets moved many homes; 2.0 scored lower than 1.4 in the benchmark of
# scaling out.
MAX_LOAD_FACTOR = 1.4
MAX_OBJECTS = 20_000
# Up to this many objects a request may assign all homes anew.
MAX_OBJECTS_AT_ONCE = 400
# One step of an assignment takes 1 to 2 ms by either bound (bench placement).
OBJECTS_PER_STEP = 1_000
HASHES_PER_STEP = 8_192


class HomeAssignment:
    """The homes of the known objects of one service."""

    __slots__ = (
        "_added",
        "_homes_by_object",
        "_hot_by_object",
        "_more_homes_by_object",
        "_objects_by_target",
        "_pass",
        "_rankings",
        "_regions_by_target",
        "_slots_by_target",
        "_stale",
        "known",
    )

    def __init__(self, max_objects: int = MAX_OBJECTS) -> None:
        self.known = KnownObjects(max_objects)
        self._regions_by_target: Mapping[str, str] = {}
        self._slots_by_target: Mapping[str, int] | None = None
        self._hot_by_object: Mapping[ObjectKey, HotObject] = {}
        self._more_homes_by_object: dict[ObjectKey, tuple[str, ...]] = {}
        self._rankings = TargetRankings()
        self._homes_by_object: dict[ObjectKey, str] = {}
        self._objects_by_target: dict[str, int] = {}
        self._added: list[ObjectKey] = []
        self._pass: AssignmentPass | None = None
        self._stale = False

    def set_targets(
        self,
        regions_by_target: Mapping[str, str],
        slots_by_target: Mapping[str, int] | None = None,
    ) -> None:
        """Replace the targets to assign objects to; the mappings must not change any more.

        Without ``slots_by_target`` all targets count the same.
        """
        if regions_by_target is self._regions_by_target:
            return
        is_same = regions_by_target == self._regions_by_target
        is_same &= slots_by_target == self._slots_by_target
        self._regions_by_target = regions_by_target
        self._slots_by_target = slots_by_target
        if is_same:
            return
        self._rankings.set_targets(self._regions_by_target)
        self._stale = True

    def add_objects(self, objects: Collection[ObjectKey], region: str) -> None:
        """Add objects that are requested from ``region``."""
        for key in objects:
            if key in self.known:
                self._stale |= self.known.add_region(key, region)
                continue
            forgotten = self.known.add(key, region)
            if forgotten is not None:
                self._forget(forgotten)
            self._added.append(key)
            self._stale = True

    def set_hot(self, hot_by_object: Mapping[ObjectKey, HotObject]) -> None:
        """Replace the objects that take a considerable part of a target."""
        if hot_by_object != self._hot_by_object:
            self._hot_by_object = hot_by_object
            self._stale = True

    def homes(self, key: ObjectKey) -> tuple[str, ...]:
        """Return all homes of the object."""
        home = self.home(key)
        if home is None:
            return ()
        more = self._more_homes_by_object.get(key, ())
        return (home, *(t for t in more if t != home and t in self._regions_by_target))

    def home(self, key: ObjectKey) -> str | None:
        """Return the object's home, or None without targets or for an object that is not known."""
        self._assign_if_few()
        home = self._homes_by_object.get(key)
        if home in self._regions_by_target:
            return home
        if not self._regions_by_target or key not in self.known:
            return None
        return self._assign_alone(key)

    def ranked_targets(self, key: ObjectKey, region: str = ALL_REGIONS) -> Iterator[str]:
        """Yield the targets of a region, or all: the home first, the others by rendezvous hash."""
        home = self.home(key)
        if home is not None and region in (ALL_REGIONS, self._regions_by_target[home]):
            yield home
        yield from (t for t in self._rankings.present(key, region) if t != home)

    def correct(self) -> bool:
        """Take a step towards the homes that follow from the present targets and objects.

        Return whether the assignment goes on. A later change doesn't end it, but is followed by one
        of its own, so that it gets done however often targets come and go.
        """
        if self._pass is None:
            if not self._stale or not self._regions_by_target or self._has_few:
                return False
            self._start_pass()
        if self._pass is not None and self._pass.step(OBJECTS_PER_STEP, HASHES_PER_STEP):
            self._finish_pass(self._pass)
        return self._pass is not None

    @property
    def _has_few(self) -> bool:
        return len(self.known) <= MAX_OBJECTS_AT_ONCE

    def _assign_if_few(self) -> None:
        if not self._stale or not self._has_few or not self._regions_by_target:
            return
        whole = self._start_pass()
        while not whole.step(MAX_OBJECTS_AT_ONCE, HASHES_PER_STEP):
            continue
        self._finish_pass(whole)

    def _start_pass(self) -> AssignmentPass:
        self._stale = False
        self._added.clear()
        self._pass = AssignmentPass(
            self.known,
            self._rankings,
            self._regions_by_target,
            self._capacity_by_target(),
            self._hot_by_object,
        )
        return self._pass

    def _finish_pass(self, whole: AssignmentPass) -> None:
        """Put the new homes in force; objects that came meanwhile keep the ones they have."""
        self._pass = None
        homes = whole.homes_by_object
        for key in self._added:
            home = self._homes_by_object.get(key)
            if home is not None:
                homes[key] = home
        self._homes_by_object = homes
        self._more_homes_by_object = whole.more_homes_by_object
        self._objects_by_target = dict(Counter(homes.values()))

    def _most_objects(self) -> int:
        """Return the number of objects that an average target may be home to."""
        return ceil(len(self.known) * MAX_LOAD_FACTOR / len(self._regions_by_target))

    def _capacity_by_target(self) -> dict[str, int]:
        """Return the number of objects that each target may be home to, by its slots.

        The targets that hot objects fill are left out of the average.
        """
        targets = len(self._regions_by_target)
        filled = sum(hot.homes * hot.part for hot in self._hot_by_object.values())
        even = len(self.known) * MAX_LOAD_FACTOR / max(targets - filled, targets / 2)
        slots_by_target = self._slots_by_target
        if slots_by_target is None or len(set(slots_by_target.values())) <= 1:
            return dict.fromkeys(self._regions_by_target, ceil(even))
        average = max(1.0, sum(slots_by_target.values()) / targets)
        return {
            target: max(1, ceil(even * slots_by_target[target] / average))
            for target in self._regions_by_target
        }

    def _assign_alone(self, key: ObjectKey) -> str:
        """Give an object a home by what is known at this moment, until the next assignment."""
        region, most = self.known.regions_by_key[key], self._most_objects()
        near = self._first_free(key, region, most)
        home = near or self._first_free(key, ALL_REGIONS, most)
        if home is None:
            home = next(self._rankings.present(key, ALL_REGIONS))
        self._forget_home(key)
        self._homes_by_object[key] = home
        self._objects_by_target[home] = self._objects_by_target.get(home, 0) + 1
        return home

    def _first_free(self, key: ObjectKey, region: str, most: int) -> str | None:
        ranked = self._rankings.present(key, region)
        return next((t for t in ranked if self._objects_by_target.get(t, 0) < most), None)

    def _forget(self, key: ObjectKey) -> None:
        self._rankings.forget(key)
        self._more_homes_by_object.pop(key, None)
        self._forget_home(key)
        if self._pass is not None:
            self._pass.homes_by_object.pop(key, None)
            self._pass.more_homes_by_object.pop(key, None)

    def _forget_home(self, key: ObjectKey) -> None:
        home = self._homes_by_object.pop(key, None)
        if home is not None:
            self._objects_by_target[home] -= 1
