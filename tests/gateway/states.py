"""An agreed state with one service, and a StateInForce that tests control."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from reactivex.subject import BehaviorSubject

from flamingoladder.config.agreed import AgreedState
from flamingoladder.config.agreed import KeyGrant
from flamingoladder.config.agreed import StateInForce
from flamingoladder.config.model import Defaults
from flamingoladder.config.model import Delays
from flamingoladder.config.model import Deployment
from flamingoladder.config.model import FailureDomain
from flamingoladder.config.model import Link
from flamingoladder.config.model import Places
from flamingoladder.config.model import Region
from flamingoladder.config.model import Route
from flamingoladder.config.model import Service
from flamingoladder.config.model import Target
from flamingoladder.config.model import Workspace
from flamingoladder.keys.authentication import key_digest
from flamingoladder.members.member import Member

if TYPE_CHECKING:
    from reactivex import Observable

KEY = "fl-key-of-midnight-sun"
OTHER_KEY = "fl-key-of-ferry-camp"
ROUTES = (
    Route(path="/"),
    Route(path="/open", methods=("GET", "HEAD"), open=True),
    Route(path="/bookings", methods=("POST", "PUT"), idempotent=False),
)


def member(host: str, region: str = "north", domain: str = "north-a") -> Member:
    """Return a registered host."""
    return Member(host, region, domain, f"{host}-1", f"http://{host}", f"tcp://{host}", "")


def agreed(targets: dict[str, Target] | None = None, **defaults: object) -> AgreedState:
    """Return a state with one service, two regions, two workspaces and three hosts."""
    deployment = Deployment(
        name="test",
        defaults=msgspec.convert(defaults, Defaults),
        places=Places(
            regions={
                name: Region(failure_domains={f"{name}-a": FailureDomain()})
                for name in ("north", "south")
            },
            delays=Delays(between_domains_ms=1, between_regions_ms=20, to_clients_ms=5),
            link=Link(mbit_per_s=1_000),
            store_region="north",
        ),
        services={"desk": Service(routes=ROUTES, targets=targets or {})},
        workspaces={"midnight-sun": Workspace(), "ferry-camp": Workspace()},
    )
    grants = (
        KeyGrant("k1", "midnight-sun", key_digest(KEY)),
        KeyGrant("k2", "ferry-camp", key_digest(OTHER_KEY)),
    )
    members = (member("h1"), member("h2", "south", "south-a"), member("h3"))
    return AgreedState(1, 1, 1, deployment, grants, members)


class FixedState(StateInForce):
    """StateInForce whose state and proof of freshness the test sets."""

    __slots__ = ("_subject", "proof")

    def __init__(self, state: AgreedState) -> None:
        self._subject: BehaviorSubject[AgreedState] = BehaviorSubject(state)
        self.proof = True

    @property
    def changes(self) -> Observable[AgreedState]:
        """Return the stream of states."""
        return self._subject

    @property
    def current(self) -> AgreedState:
        """Return the current state."""
        return self._subject.value

    def has_proof(self, now: float) -> bool:
        """Return the value of ``proof``."""
        return self.proof

    def set(self, **changes: object) -> None:
        """Put a changed state in force."""
        version = self.current.version + 1
        self._subject.on_next(msgspec.structs.replace(self.current, version=version, **changes))
