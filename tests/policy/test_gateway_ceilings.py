"""Ceilings over a set of gateways: shares, what the home gives out, and restarts."""

import zlib
from dataclasses import replace

import pytest

from molereach.policy.gateway import Gateway
from molereach.policy.interface.actions import ForwardAttempt
from molereach.policy.interface.events import EndpointListKind, EndpointListReceived
from molereach.policy.interface.settings import Plan
from tests.helpers import MS, SETTINGS, S, Set, World, of, servers

CEILED = Plan(quota_rate=8.0, quota_burst=16.0, ceiling_rate=16.0, ceiling_burst=20.0, ceiling_slack=2.0)


def ceiling_customer(gates: Set, home: int) -> str:
    """A customer whose home is that gateway."""
    return next(f"c{n}" for n in range(999) if zlib.crc32(f"c{n}".encode()) % len(gates.worlds) == home)


class Older(Set):
    """The gateways up to number 4 are of a version that splits no ceilings, and says nothing of it."""

    def ask(self, me: int, name: str, **values: object) -> None:
        for world in self.worlds[:5]:  # also those that have started again
            world.gateway.customers.has_ceilings = False
        super().ask(me, name, **values)


def test_ceiling_starts_empty_and_is_split() -> None:
    plan = Plan(ceiling_rate=10.0, ceiling_burst=20.0)
    world = World(replace(SETTINGS, plans=(plan,), proxy_count=2))
    for n in range(40):
        world.ask(f"r{n}", set_size=2)
    world.run(S)
    assert len(of(ForwardAttempt, [action for _, action in world.log])) in (
        4,
        5,
    )  # half of 10 a second, from none
    world = World(replace(SETTINGS, plans=(replace(plan, ceiling_burst=7.5),), proxy_count=2))
    for n in range(40):
        world.ask(f"r{n}", set_size=2)
    world.run(S)
    # Parts of under 4 units: half of that stays here.
    assert len(of(ForwardAttempt, [action for _, action in world.log])) in (2, 3)


def test_ceiling_goes_where_the_traffic_is() -> None:
    """All of a building's traffic stands at one of ten gateways: a tenth of its ceiling would be 2 units."""
    gates = Set(10, replace(SETTINGS, plans=(CEILED,)))
    name = ceiling_customer(gates, 3)
    for n in range(20):  # all of the set come to speak with the home
        gates.ask(n % 10, f"w{n}", customer=name)
        gates.run(200 * MS)
    gates.run(5 * S)
    before = gates.sent()
    for n in range(30):
        gates.ask(7, f"r{n}", customer=name)
        gates.run(100 * MS)
    assert gates.sent() - before > 20  # of the 16 + 3 * 8 that its quota holds; its own share is 2 + 3 * 1.6


def test_what_is_let_in_by_the_last_word_asks_for_units_of_the_ceiling() -> None:
    """A hundred a second at one of twenty gateways are more than may be asked about; the few of them that
    its home's last word lets in still have need of the home's units: the share here is 0.8 a second."""
    gates = Set(20, replace(SETTINGS, plans=(CEILED,), gossip_messages_per_s=60.0))
    name = ceiling_customer(gates, 3)
    for n in range(40):  # all of the set come to speak with the home
        gates.ask(n % 20, f"w{n}", customer=name)
        gates.run(200 * MS)
    gates.run(5 * S)
    before = gates.sent()
    for n in range(400):
        gates.ask(7, f"r{n}", customer=name, left_us=S)
        gates.run(10 * MS)
    gates.run(2 * S)
    assert 36 <= gates.sent() - before <= 49  # of the 16 + 4 * 8 that its quota holds; 31 when held in vain
    home = gates.worlds[3].gateway.customers.accounts
    assert min(customer.tokens for customer in home.values()) > -1.0  # what was let in is counted once


def test_home_gives_out_what_all_leave_but_those_that_speak_and_do_not_say_so() -> None:
    """A gateway of an older version keeps its whole part of a ceiling, and says nothing of it; one that has
    not spoken has spent nothing."""
    gates = Older(10, replace(SETTINGS, plans=(CEILED,)))
    name = ceiling_customer(gates, 7)
    home = gates.worlds[7].gateway
    gates.ask(7, "first", customer=name)
    gates.run(200 * MS)
    (customer,) = home.customers.accounts.values()
    home.outbox.grant_ceiling(customer, 1.0)
    assert customer.ceiling.reserve_fraction == pytest.approx(0.5)
    for n in range(20):
        gates.ask(n % 10, f"w{n}", customer=name)
        gates.run(200 * MS)
    home.outbox.grant_ceiling(customer, 1.0)
    assert customer.ceiling.reserve_fraction == pytest.approx(0.5 * 5 / 10)  # the home and those from 5 on
    gates.run(11 * S)  # one that says nothing at all also spends nothing
    home.outbox.grant_ceiling(customer, 1.0)
    assert customer.ceiling.reserve_fraction == pytest.approx(0.5 * 5 / 10)
    gates.worlds[9].gateway.customers.has_ceilings = False
    gates.ask(9, "older", customer=name)  # an older version took its place
    gates.run(200 * MS)
    customer.ceiling.reserve_tokens = (
        5.0  # filled while more left their share: what that one keeps must not be given out too
    )
    home.outbox.grant_ceiling(customer, 1.0)
    assert customer.ceiling.reserve_fraction == pytest.approx(0.5 * 4 / 10)
    assert customer.ceiling.reserve_tokens == pytest.approx(customer.ceiling.max_reserve_tokens - 1.0)


def test_home_that_starts_again_has_its_share_of_ceilings_from_then_on() -> None:
    """It has heard of nobody yet, and of no customer: the store fills from the start on."""
    gates = Set(10, replace(SETTINGS, plans=(CEILED,)))
    names = [f"c{n}" for n in range(99) if zlib.crc32(f"c{n}".encode()) % 10 == 3]
    name, world = names[0], gates.worlds[3]
    for n in range(40):
        gates.ask(n % 10, f"w{n}", customer=name)
        gates.run(50 * MS)
    world.out.clear()
    world.timers.clear()
    world.gateway = Gateway(world.gateway.settings)
    world.tell(EndpointListReceived(EndpointListKind.SAVED, 1, servers(4)))
    world.ask("now", customer=name, set_size=10)
    (customer,) = world.gateway.customers.accounts.values()
    assert customer.ceiling.reserve_tokens == 0
    gates.run(500 * MS)
    before = gates.sent()
    for n in range(5):  # of a customer that nobody has met: the part here holds one
        gates.ask(5, f"new{n}", customer=next(each for each in names if each != name))
    gates.run(100 * MS)
    assert gates.sent() - before == 1 + 4  # 16 a second of which the home has half, for half a second


def test_units_of_the_home_do_not_keep() -> None:
    """What was given out while the home's store went on filling must not be added up beside it."""
    small = replace(CEILED, ceiling_burst=6.0)
    gates = Set(2, replace(SETTINGS, plans=(small,)), fleet=())  # with no server everything is held
    name = ceiling_customer(gates, 1)
    world = gates.worlds[0]
    for n in range(4):
        gates.ask(n % 2, f"w{n}", customer=name)
        gates.run(500 * MS)
    customer = world.gateway.customers.accounts[next(iter(world.gateway.customers.accounts))]
    customer.ceiling.tokens = 0.0
    customer.ceiling.grants = [(world.now + 300 * MS, 1.0)]
    assert customer.ceiling.has_grant(world.now + 300 * MS, 1.0)
    assert not customer.ceiling.has_grant(world.now + 301 * MS, 1.0)
    assert customer.ceiling.grants == []
    for n in range(100):  # also where no request of the customer comes to be sent on
        customer.ceiling.add_grant(world.now + n * 100 * MS, world.now + n * 100 * MS + 300 * MS, 1.0)
    assert len(customer.ceiling.grants) <= 4


@pytest.mark.parametrize("kind", [Set, Older])
@pytest.mark.parametrize("loss", [0.0, 0.3])
@pytest.mark.parametrize("every", [200, 1600])
def test_ceiling_holds_over_a_large_set_with_restarts(loss: float, kind: type[Set], every: int) -> None:
    """All parts together, half of the set restarted in turn, once or often, all traffic on few gateways for a
    while; also while a tier is replaced by a newer version."""
    plan = Plan(quota_rate=40.0, quota_burst=80.0, ceiling_rate=18.0, ceiling_burst=40.0, ceiling_slack=4.0)
    gates = kind(20, replace(SETTINGS, plans=(plan,)), loss=loss)
    start = gates.worlds[0].now
    for n in range(4800):
        gates.ask(n % 3 if 300 < n < 600 else n * 7 % 20, f"r{n}")
        if n % 8 == 0:
            gates.run(10 * MS)
        if n % every == every - 1:
            for world in gates.worlds[n // every % 2 :: 2]:
                world.out.clear()
                world.timers.clear()
                world.gateway = Gateway(replace(world.gateway.settings, seed=n))
                world.tell(EndpointListReceived(EndpointListKind.SAVED, 1, servers(4)))
    times = sorted(
        at for world in gates.worlds for at, action in world.log if isinstance(action, ForwardAttempt)
    )
    store, lowest, last = 40.0, 40.0, start
    for at in times:
        store, last = min(40.0, store + 18.0 * (at - last) / S) - 1, at
        lowest = min(lowest, store)
    assert lowest >= -4.0 and len(times) > 10


def test_ceiling_starts_empty_with_the_gateway_only() -> None:
    plan = Plan(quota_rate=10.0, quota_burst=20.0, ceiling_rate=10.0, ceiling_burst=20.0)
    world = World(replace(SETTINGS, plans=(plan,)))
    assert not of(ForwardAttempt, world.ask("a"))  # what was let through before a restart is not known
    world.run(2 * S)
    sent = [of(ForwardAttempt, world.ask(f"b{number}", customer="another")) for number in range(20)]
    assert sum(map(len, sent)) == 20
