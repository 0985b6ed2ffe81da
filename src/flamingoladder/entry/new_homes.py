"""Lets few requests warm a new home of an object before it gets its share of them."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from flamingoladder.steering.known_objects import ObjectKey
    from flamingoladder.targets.state import TargetState

# Longer than a cold run takes.
WARM_UP_S = 2.0
# One in this many requests goes to a home that is not warm yet.
REQUESTS_PER_WARM_UP = 8
MAX_HOMES_KEPT = 1_024


class NewHomes:
    """Since when objects with several homes have which of them; times are monotonic seconds."""

    __slots__ = ("_random", "_since")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._since: OrderedDict[tuple[ObjectKey, str], float] = OrderedDict()

    def draw(self, key: ObjectKey, homes: list[TargetState], now: float) -> list[TargetState]:
        """Return one or two homes, drawn at random, of which the less loaded is to be taken."""
        warm = [home for home in homes if self._is_warm(key, home, now)]
        if len(warm) < len(homes) and not self._random.randrange(REQUESTS_PER_WARM_UP):
            return [self._random.choice([home for home in homes if home not in warm])]
        if len(warm) <= 1:
            return warm or homes[:1]
        return self._random.sample(warm, 2)

    def _is_warm(self, key: ObjectKey, home: TargetState, now: float) -> bool:
        since = self._since.setdefault((key, home.record.target_id), now)
        if len(self._since) > MAX_HOMES_KEPT:
            self._since.popitem(last=False)
        return now - since >= WARM_UP_S or home.recently_handled(key)
