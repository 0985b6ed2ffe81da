"""Which entry hosts a call is sent to, in which order."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from flamingoladder.steering.lookup import LookupAnswer


class CachedLookup:
    """A look-up answer and the monotonic time, in seconds, at which its lifetime ends."""

    __slots__ = ("answer", "ends")

    def __init__(self, answer: LookupAnswer, asked: float) -> None:
        self.answer = answer
        self.ends = asked + answer.lifetime_s


def ordered_urls(answer: LookupAnswer, random: Random) -> list[str]:
    """Return the hosts' base URLs: one drawn by weight, then the others in the answer's order."""
    urls = [host.url for host in answer.hosts]
    weights = [host.weight for host in answer.hosts]
    if sum(weights) <= 0:
        return urls
    [first] = random.choices(urls, weights)
    return [first, *(url for url in urls if url != first)]
