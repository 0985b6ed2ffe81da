"""CPU cost of the fleet's reports and of rate limits at one of 91 hosts, without a network.

Time is injected: the host under measurement builds its own reports and gets those of 90 other
hosts, as bytes, from those of its region directly and from those of two others by relays.
"""

from __future__ import annotations

import asyncio
import cProfile
import os
import pstats
from random import Random
from time import process_time

from bench.idle_fleet import HOSTS_BY_REGION
from bench.idle_fleet import OBJECTS
from bench.idle_fleet import TARGETS
from bench.idle_fleet import WORKSPACES
from bench.idle_fleet import CountedLinks
from bench.idle_fleet import Fleet
from bench.idle_fleet import object_key
from bench.idle_fleet import record
from bench.idle_fleet import workspace
from flamingoladder.entry.active_configuration import ActiveConfiguration
from flamingoladder.entry.host_reports import HostReporter
from flamingoladder.entry.load_balancer import LoadBalancer
from flamingoladder.fleet.exchange import RegionalReportExchange
from flamingoladder.fleet.members import MemberRegistry
from flamingoladder.fleet.messages import ForwardedReport
from flamingoladder.fleet.messages import RegionReports
from flamingoladder.fleet.relays import RegionRelays
from flamingoladder.limits.rate_limiter import FleetRateLimiter
from flamingoladder.limits.retry_budgets import RetryBudgets
from flamingoladder.limits.tolerance import RateTolerance
from flamingoladder.members.member import Member
from flamingoladder.peers.link import Peer
from flamingoladder.routing.model import Workspace
from flamingoladder.standins.loop import run_on_injected_time
from flamingoladder.targets.notice_learner import NoticeLearner
from flamingoladder.targets.registry import TargetRegistry
from flamingoladder.targets.slow_start import SlowStartLimit
from flamingoladder.timeline.recorder import Recorder

SEED = 1
REQUESTS_PER_S = 7.0
DURATION_S = 60.0
QUICK_DURATION_S = 15.0
PROFILE_VARIABLE = "BENCH_PROFILE"
PROFILED_ROWS = 40
MS_PER_S = 1_000


class MeasuredHost:
    """The parts of one host that build, receive and apply reports, and that limit rates."""

    def __init__(self, own: Member, members: list[Member]) -> None:
        recorder = Recorder(own.host, own.incarnation, kept_events=0)
        targets = TargetRegistry({f"{region}a": region for region in HOSTS_BY_REGION}, recorder)
        for number in range(TARGETS):
            domain = f"r{number % len(HOSTS_BY_REGION)}a"
            targets.put(record(number, domain), 0.0)
        self.links = CountedLinks(
            Peer(own.host, own.incarnation), [member.host for member in members]
        )
        self.limiter = FleetRateLimiter(RateTolerance(), start_full=True)
        self.members = MemberRegistry(own.host, recorder)
        for member in members:
            self.members.put(member, 0.0)
        configuration = ActiveConfiguration(targets, self.limiter, recorder)
        balancer = LoadBalancer(
            targets, configuration, self.members, SlowStartLimit(own.host, 1.5, 5.0), own.region
        )
        balancer.homes_of("s").add_objects([object_key(n) for n in range(OBJECTS)], own.region)
        reporter = HostReporter(
            targets,
            configuration,
            balancer,
            self.limiter,
            RetryBudgets(0.2, 58.0, 10.0),
            self.members,
            NoticeLearner(targets, self.members, recorder),
        )
        self.relays = RegionRelays(own, self.members)
        self.exchange = RegionalReportExchange(
            self.links,
            self.members,
            self.relays,
            reporter.build_report,
            reporter.apply_reports,
            reporter.receive_report,
        )


class Costs:
    """CPU seconds by kind of work, and how often it was done."""

    def __init__(self) -> None:
        self.seconds_by_kind: dict[str, float] = {}
        self.count_by_kind: dict[str, int] = {}

    def add(self, kind: str, seconds: float) -> None:
        """Count one piece of work."""
        self.seconds_by_kind[kind] = self.seconds_by_kind.get(kind, 0.0) + seconds
        self.count_by_kind[kind] = self.count_by_kind.get(kind, 0) + 1


def measure(quick: bool) -> None:
    """Print the CPU time of each kind of work, for a relay and for another host.

    With ``BENCH_PROFILE`` in the environment, print a profile as well.
    """
    print(f"seed {SEED}, {sum(HOSTS_BY_REGION.values())} hosts, {REQUESTS_PER_S:.0f} requests/s")
    print(f"{'host':<6} {'work':<28} {'per s':>7} {'us each':>9} {'cores':>8}")
    for name, link_mbps in (("host", 0.0), ("relay", 1_000.0)):
        profile = cProfile.Profile() if PROFILE_VARIABLE in os.environ else None
        duration_s = QUICK_DURATION_S if quick else DURATION_S
        costs = run_on_injected_time(_run(link_mbps, duration_s, profile))
        _print_rows(name, costs, duration_s)
        if profile is not None:
            pstats.Stats(profile).sort_stats("tottime").print_stats(PROFILED_ROWS)


async def _run(link_mbps: float, duration_s: float, profile: cProfile.Profile | None) -> Costs:
    random = Random(SEED)
    everyone = [
        Member(f"{region}-{number:02}", region, f"{region}a", "1", "", "", "")
        for region, count in HOSTS_BY_REGION.items()
        for number in range(count)
    ]
    own = Member("r0-own", "r0", "r0a", "1", "", "", "", link_mbps=link_mbps)
    others = [member for member in everyone if member.host != "r0-30"]
    host, fleet, costs = MeasuredHost(own, others), Fleet(others, random), Costs()
    loop = asyncio.get_running_loop()
    next_request = random.expovariate(REQUESTS_PER_S)
    while loop.time() < duration_s:
        frames = _frames(host.links, fleet)
        if profile is not None:
            profile.enable()
        for kind, frame in frames:
            started = process_time()
            await host.links.deliver(frame)
            costs.add(kind, process_time() - started)
        started = process_time()
        host.exchange.send(loop.time())
        costs.add("build, send and apply", process_time() - started)
        started = process_time()
        host.relays.own_rank(loop.time())
        costs.add("rank the region's relays", process_time() - started)
        end = loop.time() + host.members.report_interval_s
        while next_request < end:
            asking = Workspace(
                name=workspace(random.randrange(WORKSPACES)), rate_per_s=50.0, burst=50.0
            )
            started = process_time()
            host.limiter.admit(asking, next_request)
            costs.add("admit a request", process_time() - started)
            next_request += random.expovariate(REQUESTS_PER_S)
        if profile is not None:
            profile.disable()
        await asyncio.sleep(host.members.report_interval_s)
    return costs


def _frames(links: CountedLinks, fleet: Fleet) -> list[tuple[str, bytes]]:
    reports = fleet.next_reports()
    frames = []
    by_region: dict[str, list[ForwardedReport]] = {}
    for member in fleet.members:
        if member.region == "r0":
            frame = links.frame(Peer(member.host, "1"), reports[member.host])
            frames.append(("receive one host's report", frame))
        else:
            forwarded = ForwardedReport(member.host, "1", reports[member.host])
            by_region.setdefault(member.region, []).append(forwarded)
    for region, found in by_region.items():
        frame = links.frame(Peer(f"{region}-00", "1"), RegionReports(tuple(found)))
        frames.append(("receive a region's reports", frame))
    return frames


def _print_rows(host: str, costs: Costs, duration_s: float) -> None:
    for kind, seconds in costs.seconds_by_kind.items():
        count = costs.count_by_kind[kind]
        each_us = MS_PER_S * MS_PER_S * seconds / count
        per_s, cores = count / duration_s, seconds / duration_s
        print(f"{host:<6} {kind:<28} {per_s:>7.1f} {each_us:>9.0f} {cores:>8.4f}")
    cores = sum(costs.seconds_by_kind.values()) / duration_s
    print(f"{host:<6} {'all':<28} {'':>7} {'':>9} {cores:>8.4f}", flush=True)
