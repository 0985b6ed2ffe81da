"""Replays of loads on the selection of hosts for callers, without a network."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from flamingoladder.fleet.host_selection import MIN_SELECTED
from flamingoladder.fleet.host_selection import Candidate
from flamingoladder.fleet.host_selection import select_hosts
from flamingoladder.fleet.processor_use import ProcessorUse
from flamingoladder.members.member import Member

REGION = ("a", "b")
CALLERS_PER_DOMAIN = 400
MEAN_USE = 0.5
REFRESH_S = 2.0
STEP_S = 0.5
MAX_RATIO = 1.5


class Region:
    """A region's hosts and callers; callers renew their answers and spread over the hosts."""

    def __init__(self, count: int, seed: int) -> None:
        random = Random(seed)
        self.members = [
            Member(
                f"h{seed}-{n}", "r", REGION[n % 2], "1", f"h{n}:80", "", "", capacity_cores=cores
            )
            for n, cores in enumerate(random.uniform(0.43, 2.15) for _ in range(count))
        ]
        self.uses = {of.host: ProcessorUse(of.capacity_cores) for of in self.members}
        self.processor_s = dict.fromkeys(self.uses, 0.0)
        self.slow: Counter[str] = Counter(dict.fromkeys(self.uses, 1))
        self.serving = set(self.uses)
        callers = [f"10.{seed}.{n // 250}.{n % 250}" for n in range(2 * CALLERS_PER_DOMAIN)]
        self.domains = {caller: REGION[n % 2] for n, caller in enumerate(callers)}
        self.answers: dict[str, list[str]] = {}
        self.now = 0.0
        self._use_per_caller = MEAN_USE * sum(of.capacity_cores for of in self.members)
        self._use_per_caller /= len(callers)

    def answer(self, caller: str) -> list[str]:
        """Return the hosts that a caller gets now."""
        region = [
            Candidate(of, self.uses[of.host].tenths)
            for of in self.members
            if of.host in self.serving
        ]
        silent = [of for of in self.members if of.host not in self.serving]
        return [of.host for of in select_hosts(caller, self.domains[caller], region, silent)]

    def run(self, seconds: float) -> None:
        """Let callers renew their answers in turn and hosts work."""
        for _ in range(int(seconds / STEP_S)):
            turn = int(self.now / STEP_S)
            for number, caller in enumerate(self.domains):
                if caller not in self.answers or (number + turn) % (REFRESH_S / STEP_S) == 0:
                    self.answers[caller] = self.answer(caller)
            for host, load in self.load_by_host().items():
                cores = next(of.capacity_cores for of in self.members if of.host == host)
                self.processor_s[host] += min(cores, load * self.slow[host]) * STEP_S
            self.now += STEP_S
            for host, use in self.uses.items():
                use.observe(self.processor_s[host], self.now)

    def load_by_host(self) -> Counter[str]:
        """Return the cores that the callers of each host ask for."""
        loads: Counter[str] = Counter(dict.fromkeys(self.uses, 0))
        for hosts in self.answers.values():
            for host in hosts:
                loads[host] += self._use_per_caller / len(hosts)  # type: ignore[assignment]
        return loads

    def load_ratios(self) -> dict[str, float]:
        """Return each serving host's load in relation to its part of the capacity."""
        loads = self.load_by_host()
        serving = [of for of in self.members if of.host in self.serving]
        mean = sum(loads.values()) / sum(of.capacity_cores for of in serving)
        return {of.host: loads[of.host] / of.capacity_cores / mean for of in serving}

    def of_domain(self, domain: str) -> set[str]:
        """Return the hosts of a failure domain."""
        return {of.host for of in self.members if of.failure_domain == domain}


@pytest.mark.parametrize(("count", "seed"), [(30, 1), (30, 2), (31, 3), (12, 4), (11, 5)])
def test_uneven_hosts_get_callers_by_their_capacity(count: int, seed: int) -> None:
    region = Region(count, seed)
    region.run(20.0)
    assert max(region.load_ratios().values()) <= MAX_RATIO
    for caller, hosts in region.answers.items():
        assert len(hosts) >= MIN_SELECTED
        assert region.domains[caller] == "b" or set(hosts) <= region.of_domain("a")


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_calm_region_gives_a_caller_the_same_hosts_each_time(seed: int) -> None:
    """A caller drops its connections to hosts that are missing in a newer answer."""
    region = Region(30, seed)
    region.run(40.0)
    before = dict(region.answers)
    region.run(10.0)
    kept = sum(len(set(before[caller]) & set(region.answers[caller])) for caller in before)
    assert kept >= 0.98 * sum(len(hosts) for hosts in before.values())


def test_callers_of_a_lost_failure_domain_spread_over_the_other() -> None:
    region = Region(30, 1)
    region.run(10.0)
    region.serving = region.of_domain("b")
    region.run(REFRESH_S)
    assert all(set(hosts) <= region.serving for hosts in region.answers.values())
    region.run(20.0)
    assert max(region.load_ratios().values()) <= MAX_RATIO


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_killed_herd_is_replaced_and_gets_callers_again_within_seconds(seed: int) -> None:
    region = Region(30, seed)
    region.run(20.0)
    region.serving = set(sorted(region.uses)[::3])
    region.run(3 * REFRESH_S)
    answers = Counter(tuple(sorted(hosts)) for hosts in region.answers.values())
    assert len(answers) >= 10
    listed = Counter(host for hosts in region.answers.values() for host in hosts)
    assert listed.keys() == region.serving
    assert max(listed.values()) < len(region.answers)
    region.serving = set(region.uses)
    region.run(2 * REFRESH_S)
    returned = region.uses.keys() - set(sorted(region.uses)[::3])
    ratios = region.load_ratios()
    assert min(ratios[host] for host in returned) > 0
    region.run(20.0)
    assert max(region.load_ratios().values()) <= MAX_RATIO


def settled(region: Region, hosts: set[str]) -> list[float]:
    """Return the mean load ratio of some hosts at each refresh, once the region has settled."""
    region.run(30.0)
    found = []
    for _ in range(20):
        region.run(REFRESH_S)
        ratios = region.load_ratios()
        found.append(sum(ratios[host] for host in hosts) / len(hosts))
    return found


def test_callers_that_move_to_one_failure_domain_widen_to_the_region_without_swinging() -> None:
    region = Region(30, 3)
    region.run(20.0)
    for number, caller in enumerate(region.domains):
        if number % 10 < 8:
            region.domains[caller] = "b"
    loads = settled(region, region.of_domain("b"))
    assert max(loads) <= MAX_RATIO
    assert max(loads) - min(loads) <= 0.15


def test_a_host_that_cannot_keep_up_gets_fewer_callers_without_swinging() -> None:
    region = Region(30, 1)
    slow = region.members[0].host
    region.slow[slow] = 3
    loads = settled(region, {slow})
    assert max(loads) <= 0.75
    assert max(loads) - min(loads) <= 0.2


@pytest.mark.parametrize(
    ("cores", "mbps", "share"),
    [
        pytest.param(2.0, 100.0, 1.0, id="as the others"),
        pytest.param(1.0, 0.0, 0.5, id="half the cores"),
        pytest.param(2.0, 5.0, 0.5, id="narrow link"),
        pytest.param(0.0, 0.0, 1.0, id="unknown capacity"),
    ],
)
def test_callers_by_cores_and_link(cores: float, mbps: float, share: float) -> None:
    region = [
        Candidate(Member(f"h{n}", "r", "a", "1", "", "", "", link_mbps=link, capacity_cores=c), 0)
        for n, (c, link) in enumerate([(cores, mbps)] + [(2.0, 100.0)] * 7)
    ]
    listed = Counter(of.host for n in range(2_000) for of in select_hosts(f"c{n}", "a", region))
    assert listed["h0"] / listed["h1"] == pytest.approx(share, rel=0.1)


@pytest.mark.parametrize(
    ("cores", "used", "tenths"),
    [(2.0, 1.0, 5), (0.5, 0.5, 10), (0.5, 0.03, 0), (1.0, 9.0, 20), (0.0, 1.0, 0)],
)
def test_processor_use_is_a_fraction_of_the_hosts_capacity(
    cores: float, used: float, tenths: int
) -> None:
    use = ProcessorUse(cores)
    for quarter in range(200):
        use.observe(100.0 + used * quarter / 4, quarter / 4)
    assert use.tenths == tenths
