"""Tests of the division of requests to a target among all hosts."""

from __future__ import annotations

import pytest

from flamingoladder.targets.fleet_share import fleet_share


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
