"""Tenants of a tier, and the requests of its clients."""

from random import Random

import pytest

from benchmarks.scale.hollow import configuration
from benchmarks.scale.tier import (
    QUOTA_SHARE,
    RATE,
    Requests,
    Tier,
    backend_address,
    backend_number,
    door_of,
    peer_address,
)
from molereach.clients.commands import CommandParser

TIER = Tier(doors=50, tenants=400, spread=4, seed=7, peer_port=1)


def test_all_tenants_together_send_each_door_the_same_rate() -> None:
    tenants = list(TIER.all_tenants())
    assert sum(tenant.rate for tenant in tenants) == pytest.approx(RATE * TIER.doors, rel=0.02)
    assert len({tenant.name for tenant in tenants}) == 400
    assert tenants == list(TIER.all_tenants())  # in every process of a run


def test_tenant_uses_a_fixed_share_of_its_quota() -> None:
    plans = configuration(TIER, 0).settings.plans
    for tenant in TIER.all_tenants():
        assert tenant.rate == pytest.approx(QUOTA_SHARE * plans[tenant.plan].quota_rate)


def test_neighbours_are_the_doors_that_share_a_tenant() -> None:
    sharing_doors = {
        door for tenant in TIER.tenants_of(0) for door in range(50) if TIER.has_tenant(tenant, door)
    }
    assert set(TIER.neighbours(0)) == sharing_doors - {0} == {47, 48, 49, 1, 2, 3}
    assert Tier(8, 10, 8, 1, 1).neighbours(3) == [0, 1, 2, 4, 5, 6, 7]
    assert Tier(7_500, 10, 4, 1, 1).evenly_spaced(5) == [0, 1_500, 3_000, 4_500, 6_000]


@pytest.mark.parametrize("number", [-1, 0, 255, 65_535, 65_536, 131_071, 186_000])
def test_backend_address_determines_its_number(number: int) -> None:
    assert backend_number(backend_address(number, 7)[0]) == number
    assert peer_address(7_499, 7) == ("127.216.29.75", 7)


def test_front_door_parses_the_requests() -> None:
    parser = CommandParser(configuration(TIER, 9))
    requests, seen = Requests(TIER, 9, TIER.tenants_of(9), Random(1)), set()
    for _ in range(50):
        command = requests.next_command()
        request = parser.parse(command, 25_000).request
        assert (9 - request.set_first) % TIER.doors < request.set_size == TIER.spread
        assert door_of(command[2]) == 9 and request.request_id not in seen
        seen.add(request.request_id)
    assert {name for name in seen if len(name) == 16} == seen
