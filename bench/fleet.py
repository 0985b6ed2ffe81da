"""Seven hosts of a deployment on injected time, and the load that arrives at them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.config.agreed import AgreedState
from flamingoladder.config.model import Delays
from flamingoladder.config.model import Deployment
from flamingoladder.config.model import FailureDomain
from flamingoladder.config.model import Link
from flamingoladder.config.model import Places
from flamingoladder.config.model import Region
from flamingoladder.config.model import Route
from flamingoladder.config.model import Workspace
from flamingoladder.gateway.request import CallerRequest
from flamingoladder.members.member import Member
from flamingoladder.standins.network import Network

if TYPE_CHECKING:
    from random import Random

HOSTS_PER_REGION = (3, 2, 2)
ROUTE = Route(path="/")


class Site:
    """A deployment's delays, one way in milliseconds."""

    __slots__ = ("between_domains_ms", "between_regions_ms", "name")

    def __init__(self, name: str, between_domains_ms: float, between_regions_ms: float) -> None:
        self.name = name
        self.between_domains_ms = between_domains_ms
        self.between_regions_ms = between_regions_ms


TJALDVIK = Site("Tjaldvik", 0.5, 20.0)
KALAHARI = Site("Kalahari", 1.4, 55.0)


def deployment(site: Site, workspaces: dict[str, Workspace]) -> Deployment:
    """Return a configuration with the site's delays and the workspaces' limits."""
    domains = {name: FailureDomain() for name in ("a", "b")}
    regions = {
        f"r{index}": Region(
            failure_domains={f"r{index}{name}": domain for name, domain in domains.items()}
        )
        for index in range(len(HOSTS_PER_REGION))
    }
    places = Places(
        regions=regions,
        delays=Delays(
            between_domains_ms=site.between_domains_ms,
            between_regions_ms=site.between_regions_ms,
            to_clients_ms=5.0,
        ),
        link=Link(mbit_per_s=1_000),
        store_region="r0",
    )
    return Deployment(name=site.name, places=places, services={}, workspaces=workspaces)


def member(host: str, region: int, incarnation: str = "1") -> Member:
    """Return a registered host of a region."""
    return Member(host, f"r{region}", f"r{region}a", incarnation, "", "", "")


def members() -> tuple[Member, ...]:
    """Return the seven hosts."""
    regions = [region for region, count in enumerate(HOSTS_PER_REGION) for _ in range(count)]
    return tuple(member(f"h{index}", region) for index, region in enumerate(regions))


def agreed(site: Site, workspaces: dict[str, Workspace]) -> AgreedState:
    """Return the first agreed state of a fleet."""
    return AgreedState(1, 1, 1, deployment(site, workspaces), members=members())


def network(state: AgreedState, random: Random, loss: float = 0.0) -> Network:
    """Return a network with the deployment's delays."""
    net = Network(random, loss=loss)
    for here in state.members:
        for there in state.members:
            trip_s = state.deployment.places.round_trip_s(here.region, there.region)
            net.delays_by_pair[(here.host, there.host)] = trip_s / 2
    return net


def request(
    workspace: str | None, deadline: float, service: str = "", route: Route = ROUTE
) -> CallerRequest:
    """Return a request of a workspace."""
    return CallerRequest(
        request_id="",
        service=service,
        route=route,
        method="GET",
        path="/",
        headers=(),
        body=b"",
        digest="",
        deadline=deadline,
        workspace=workspace,
        key_id=None,
        idempotency_key=None,
    )


class Arrival:
    """One request's arrival at a host, and what became of it."""

    __slots__ = ("at", "host", "ideal", "refused", "workspace")

    def __init__(self, at: float, host: str, workspace: str) -> None:
        self.at = at
        self.host = host
        self.workspace = workspace
        self.ideal = False
        self.refused = False


def poisson(
    random: Random,
    rate_per_s: float,
    start: float,
    end: float,
    workspace: str,
    weights: list[float],
) -> list[Arrival]:
    """Return Poisson arrivals, spread over hosts by ``weights``."""
    hosts = [f"h{index}" for index in range(len(weights))]
    arrivals = []
    at = start + random.expovariate(rate_per_s)
    while at < end:
        arrivals.append(Arrival(at, random.choices(hosts, weights)[0], workspace))
        at += random.expovariate(rate_per_s)
    return arrivals
