"""Decides from the demand that all hosts report how many homes an object gets.

Requests for one popular object queued at its only home while other targets were free.
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping

    from flamingoladder.steering.known_objects import ObjectKey

# An object may keep this part of a target's slots busy before it gets another home, so that the
# home is added before requests queue; and less while targets have little to do, so that none of
# them has far more than others.
MAX_PART_OF_TARGET = 0.6
MIN_PART_FOR_HOME = 0.3
# The most that one target gets of the objects that count, in units of the average of all targets.
MAX_WORK_FACTOR = 1.4
# Below this part of a target, an object counts like any other. Homes that followed the demand of
# objects that take a tenth of a target moved with each wave, and every move costs a cold run.
MIN_PART_OF_TARGET = 0.3
# A home is removed only once the others would stay below this part of what adds one.
REMOVAL_FACTOR = 0.7
REMOVAL_DELAY_S = 5.0
# Of the homes, but at least one, at a time.
REMOVED_PART = 0.125
# Parts are told apart in these steps; smaller changes assign no objects anew.
PART_STEP = 0.1


class HotObject(msgspec.Struct, frozen=True):
    """An object with the number of its homes, and the ``part`` of each that its requests take."""

    homes: int
    part: float


class HotObjects:
    """The objects of a service whose requests take a considerable part of a target.

    Hosts that hear the same reports decide the same. The homes of an object are the first of one
    list, so that hosts which differ by one home for a moment agree on the others.
    """

    __slots__ = ("_low_since", "by_key")

    def __init__(self) -> None:
        self._low_since: dict[ObjectKey, float] = {}
        self.by_key: dict[ObjectKey, HotObject] = {}

    def update(
        self, busy_slots: Mapping[ObjectKey, float], target_slots: float, targets: int, now: float
    ) -> bool:
        """Take in the slots that all hosts' requests keep busy; return whether anything changed."""
        updated: dict[ObjectKey, HotObject] = {}
        mean_part = sum(busy_slots.values()) / target_slots / max(1, targets)
        most = min(MAX_PART_OF_TARGET, max(MIN_PART_FOR_HOME, MAX_WORK_FACTOR * mean_part))
        for key in sorted(busy_slots.keys() | self.by_key.keys()):
            demand = busy_slots.get(key, 0.0) / target_slots
            homes = self._homes(key, demand / most, targets, now)
            hot = self._hot(key, demand, homes)
            if hot is not None:
                updated[key] = hot
        for key in self._low_since.keys() - updated.keys():
            del self._low_since[key]
        is_changed = updated != self.by_key
        self.by_key = updated
        return is_changed

    def _homes(self, key: ObjectKey, demand: float, targets: int, now: float) -> int:
        """Return the number of homes for a demand in units of what one home may get."""
        present = self.by_key[key].homes if key in self.by_key else 1
        wanted = min(targets, max(1, ceil(demand)))
        if wanted >= present:
            self._low_since.pop(key, None)
            return wanted
        if demand > REMOVAL_FACTOR * (present - 1):
            self._low_since.pop(key, None)
            return min(present, targets)
        since = self._low_since.setdefault(key, now)
        if now - since < REMOVAL_DELAY_S:
            return min(present, targets)
        self._low_since[key] = now
        return min(present - max(1, int(present * REMOVED_PART)), targets)

    def _hot(self, key: ObjectKey, demand: float, homes: int) -> HotObject | None:
        present = self.by_key.get(key)
        part = min(1.0, demand / homes)
        if homes == 1 and part < MIN_PART_OF_TARGET * (1.0 if present is None else REMOVAL_FACTOR):
            return None
        if present is not None and present.homes == homes and abs(part - present.part) < PART_STEP:
            return present
        return HotObject(homes, ceil(part / PART_STEP) * PART_STEP)
