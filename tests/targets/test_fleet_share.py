"""Tests of the division of requests to a target among all hosts."""

from __future__ import annotations

import pytest

from flamingoladder.targets.fleet_share import fleet_share
from flamingoladder.targets.fleet_share import fleet_turn


@pytest.mark.parametrize("total", [0, 1, 8, 100])
@pytest.mark.parametrize("hosts", [1, 7, 78])
def test_shares_of_all_hosts_add_up_to_the_total(total: int, hosts: int) -> None:
    names = [f"h{number}" for number in range(hosts)]
    shares = [fleet_share(total, "t", name, names) for name in names]
    requests = [share.requests for share in shares]
    assert sum(requests) == total
    assert max(requests) - min(requests) <= 1
    assert sorted(share.rank for share in shares) == list(range(hosts))


def test_share_is_the_same_with_and_without_the_own_host_in_the_list() -> None:
    assert fleet_share(8, "t", "h1", ["h0", "h1"]) == fleet_share(8, "t", "h1", ["h0"])


@pytest.mark.parametrize("own_is_listed", [True, False])
@pytest.mark.parametrize("host_count", [1, 7, 78])
def test_hosts_have_turns_of_their_own_below_one(host_count: int, own_is_listed: bool) -> None:
    hosts = [f"host-{number}" for number in range(host_count)]
    turns = {
        fleet_turn("t", own, [host for host in hosts if own_is_listed or host != own])
        for own in hosts
    }
    assert turns == {rank / host_count for rank in range(host_count)}
