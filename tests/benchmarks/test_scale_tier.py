"""Who is in a tier, and what its clients ask."""

from random import Random

import pytest

from benchmarks.scale.hollow import configuration
from benchmarks.scale.tier import (
    QUOTA_PART,
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


def test_tenants_ask_each_door_for_the_same_rate_all_together() -> None:
    everyone = list(TIER.everyone())
    assert sum(tenant.rate for tenant in everyone) == pytest.approx(RATE * TIER.doors, rel=0.02)
    assert len({tenant.name for tenant in everyone}) == 400
    assert everyone == list(TIER.everyone())  # in every process of a run


def test_a_tenant_asks_for_part_of_its_quota() -> None:
    plans = configuration(TIER, 0).settings.plans
    for tenant in TIER.everyone():
        assert tenant.rate == pytest.approx(QUOTA_PART * plans[tenant.plan].quota_rate)


def test_neighbours_are_those_that_share_a_tenant() -> None:
    shares = {door for tenant in TIER.tenants_of(0) for door in range(50) if TIER.holds(tenant, door)}
    assert set(TIER.neighbours(0)) == shares - {0} == {47, 48, 49, 1, 2, 3}
    assert Tier(8, 10, 8, 1, 1).neighbours(3) == [0, 1, 2, 4, 5, 6, 7]
    assert Tier(7_500, 10, 4, 1, 1).spaced(5) == [0, 1_500, 3_000, 4_500, 6_000]


@pytest.mark.parametrize("number", [-1, 0, 255, 65_535, 65_536, 131_071, 186_000])
def test_backends_have_addresses_of_their_own(number: int) -> None:
    assert backend_number(backend_address(number, 7)[0]) == number
    assert peer_address(7_499, 7) == ("127.216.29.75", 7)


def test_requests_are_what_a_front_door_reads() -> None:
    parser = CommandParser(configuration(TIER, 9))
    requests, seen = Requests(TIER, 9, TIER.tenants_of(9), Random(1)), set()
    for _ in range(50):
        words = requests.words()
        request = parser.parse(words, 25_000).request
        assert (9 - request.set_first) % TIER.doors < request.set_size == TIER.spread
        assert door_of(words[2]) == 9 and request.request_id not in seen
        seen.add(request.request_id)
    assert {name for name in seen if len(name) == 16} == seen
