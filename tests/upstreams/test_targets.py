"""Tests of declared targets."""

from __future__ import annotations

import pytest

from flamingoladder.config.agreed import Drain
from flamingoladder.config.agreed import DrainKind
from flamingoladder.config.model import Target
from flamingoladder.upstreams.targets import MIN_CONNECTIONS_PER_HOST
from flamingoladder.upstreams.targets import declared_targets
from tests.gateway.states import FixedState
from tests.gateway.states import agreed
from tests.gateway.states import member


@pytest.mark.parametrize(
    ("hosts", "connections"), [(1, 330), (7, 47), (1_500, MIN_CONNECTIONS_PER_HOST)]
)
def test_hosts_share_a_targets_connections(hosts: int, connections: int) -> None:
    state = FixedState(agreed({"t1": Target(address="127.0.0.1:1", failure_domain="south-a")}))
    state.set(members=tuple(member(f"h{number}") for number in range(hosts)))
    [declared] = declared_targets(state.current)
    assert (declared.name, declared.region, declared.slots) == ("desk/t1", "south", 3)
    assert declared.connections == connections


@pytest.mark.parametrize(
    ("kind", "name", "drained"),
    [
        (DrainKind.TARGET, "desk/t1", True),
        (DrainKind.TARGET, "desk/t2", False),
        (DrainKind.FAILURE_DOMAIN, "south-a", True),
        (DrainKind.HOST, "desk/t1", False),
    ],
)
def test_target_is_drained_by_its_own_drain_or_that_of_its_failure_domain(
    kind: DrainKind, name: str, drained: bool
) -> None:
    state = FixedState(agreed({"t1": Target(address="127.0.0.1:1", failure_domain="south-a")}))
    state.set(drains=(Drain(kind, name, "works"),))
    [declared] = declared_targets(state.current)
    assert declared.drained is drained
