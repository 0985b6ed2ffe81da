"""Selects the hosts that a caller should use, by failure domain, capacity and busyness."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from flamingoladder.hashing import HASH_RANGE
from flamingoladder.hashing import stable_hash
from flamingoladder.members.member import Member

if TYPE_CHECKING:
    from collections.abc import Sequence

# With fewer hosts, callers would depend on the loss of two.
MIN_DOMAIN_HOSTS = 3
MIN_SELECTED = 3
# More addresses in an answer leave less room for weights, as callers choose evenly among them.
MAX_SELECTED = 8
# A link of this bandwidth is as much as one core can fill with the requests of both deployments.
MBPS_PER_CORE = 5.0
# A host counts as too busy beyond this ratio to the others of its failure domain, and never while
# it uses less than the floor.
BUSY_RATIO = 1.25
BUSY_FLOOR_TENTHS = 4.0
MIN_BUSY_FACTOR = 0.1
# Hosts of other failure domains join in from the first ratio on, and count fully from the second.
# At 1.5 they count half. A steeper slope makes callers swing between failure domains, as busyness
# is known some seconds late.
WIDEN_RATIO = 1.2
FULLY_WIDE_RATIO = 1.8
MAX_INCLUSION = 0.95
HALF = 0.5


class Candidate(msgspec.Struct, frozen=True):
    """A host that accepts callers, and the busyness that it reports, in tenths of its capacity."""

    member: Member
    busy_tenths: int


def select_hosts(
    caller: str,
    failure_domain: str,
    region: Sequence[Candidate],
    silent: Sequence[Member] = (),
    most: int = MAX_SELECTED,
    *,
    weighed: bool = True,
) -> list[Member]:
    """Return the hosts of ``region`` for a caller, best first; the same at all hosts.

    ``silent`` are the registered hosts of the region that don't serve now. Up to ``most`` hosts are
    returned: two thirds of those that count, or, unless they are ``weighed``, all that count for
    half or more.

    Loads: hosts of uneven capacity, a host that cannot keep up, a lost failure domain, many hosts
    killed at once, callers that move to another failure domain.

    The caller chooses evenly among the hosts, so a host's weight decides for how many callers it is
    selected. Selection is by weighted rendezvous hashing: a change of one host or weight replaces
    few hosts in the answers of few callers.
    """
    capacities = _capacities(region)
    own = [of.member.failure_domain == failure_domain for of in region]
    of_domain = [c if is_own else 0.0 for c, is_own in zip(capacities, own, strict=True)]
    nearness = 1.0
    if sum(own) >= MIN_DOMAIN_HOSTS:
        busy_ratio = _busy_ratio(region, capacities, of_domain)
        loss_ratio = _loss_ratio(failure_domain, sum(of_domain), sum(capacities), silent)
        nearness = _widening(max(loss_ratio, busy_ratio))
    near = [1.0 if is_own else nearness for is_own in own]
    weights = [
        capacity * factor * _busy_factor(of, region, capacities)
        for of, capacity, factor in zip(region, capacities, near, strict=True)
    ]
    wanted = max(MIN_SELECTED, round(sum(near) * 2 / 3))
    if not weighed:
        weights = [float(factor >= HALF) for factor in near]
        wanted = most
    eligible = [index for index, weight in enumerate(weights) if weight > 0]
    count = min(most, wanted, len(eligible))
    fractions = _fractions([weights[index] for index in eligible], count)
    ranked = sorted(
        (_rank(caller, region[index].member.host, fraction), index)
        for index, fraction in zip(eligible, fractions, strict=True)
    )
    return [region[index].member for _, index in ranked[:count]]


def _capacities(region: Sequence[Candidate]) -> list[float]:
    """Return the hosts' capacities in cores; an unknown one counts as the mean of the known."""
    known = [_capacity(of.member) for of in region if of.member.capacity_cores > 0]
    mean = sum(known) / len(known) if known else 1.0
    return [_capacity(of.member) if of.member.capacity_cores > 0 else mean for of in region]


def _capacity(member: Member) -> float:
    if member.link_mbps <= 0:
        return member.capacity_cores
    return min(member.capacity_cores, member.link_mbps / MBPS_PER_CORE)


def _busy_ratio(
    region: Sequence[Candidate], capacities: list[float], of_domain: list[float]
) -> float:
    """Return how busy the failure domain is in relation to the region, 0 while it is not busy."""
    domain_busy = _mean_busy(region, of_domain)
    if domain_busy < BUSY_FLOOR_TENTHS:
        return 0.0
    return domain_busy / _mean_busy(region, capacities)


def _loss_ratio(
    failure_domain: str, of_domain: float, of_region: float, silent: Sequence[Member]
) -> float:
    """Return how much less of its capacity the failure domain has left than the region.

    Overloaded survivors are all fully busy, so reported busyness alone does not tell this.
    """
    lost = [(of.failure_domain, _capacity(of) or 1.0) for of in silent]
    lost_of_domain = sum(capacity for domain, capacity in lost if domain == failure_domain)
    lost_of_region = sum(capacity for _, capacity in lost)
    return (1 + lost_of_domain / of_domain) / (1 + lost_of_region / of_region)


def _widening(ratio: float) -> float:
    """Return from 0 to 1 how much hosts of other failure domains count for the caller."""
    return min(1.0, max(0.0, (ratio - WIDEN_RATIO) / (FULLY_WIDE_RATIO - WIDEN_RATIO)))


def _busy_factor(
    candidate: Candidate, region: Sequence[Candidate], capacities: list[float]
) -> float:
    """Return the factor that takes callers from a host that is busier than its neighbours."""
    if candidate.busy_tenths <= BUSY_FLOOR_TENTHS:
        return 1.0
    neighbours = [
        (
            capacity
            if of is not candidate and of.member.failure_domain == candidate.member.failure_domain
            else 0.0
        )
        for of, capacity in zip(region, capacities, strict=True)
    ]
    bound = max(BUSY_FLOOR_TENTHS, BUSY_RATIO * _mean_busy(region, neighbours))
    return min(1.0, max(MIN_BUSY_FACTOR, (bound / candidate.busy_tenths) ** 2))


def _mean_busy(region: Sequence[Candidate], weights: list[float]) -> float:
    weighted = sum(of.busy_tenths * weight for of, weight in zip(region, weights, strict=True))
    return weighted / (sum(weights) or 1.0)


def _fractions(weights: list[float], count: int) -> list[float]:
    """Return for what fraction of callers each host should be among ``count`` selected ones.

    They are in proportion to the weights, except that none is above ``MAX_INCLUSION``.
    """
    capped: set[int] = set()
    while True:
        rest = sum(weight for index, weight in enumerate(weights) if index not in capped)
        scale = (count - MAX_INCLUSION * len(capped)) / rest if rest > 0 else 0.0
        above = {
            index
            for index, weight in enumerate(weights)
            if index not in capped and weight * scale > MAX_INCLUSION
        }
        if not above:
            return [
                MAX_INCLUSION if index in capped else weight * scale
                for index, weight in enumerate(weights)
            ]
        capped |= above


def _rank(caller: str, host: str, fraction: float) -> float:
    """Return the key by which hosts are ranked for a caller, lowest first.

    This is Pareto order sampling (Rosen, 1997): unlike hash / weight, it selects each host for very
    nearly the wanted fraction of callers, also where most hosts are selected.
    """
    uniform = (stable_hash(caller, host) + 0.5) / HASH_RANGE
    return uniform / (1 - uniform) * (1 - fraction) / max(fraction, 1e-9)
