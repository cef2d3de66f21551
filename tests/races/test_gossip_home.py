"""A customer's home that dies, starts again with its stores full, is silent, or says things late or twice."""

import zlib
from dataclasses import replace

import pytest

from molereach.policy.interface.actions import Action, FailRequest, ForwardAttempt, Reject, SendGossip
from molereach.policy.interface.events import (
    ClientDisconnected,
    EndpointListKind,
    EndpointListReceived,
    GossipReceived,
)
from molereach.policy.interface.messages import CustomerKey, GossipMessage
from molereach.policy.interface.settings import Plan, Settings
from tests.helpers import (
    MILLISECOND_US,
    SECOND_US,
    SETTINGS,
    GatewayCluster,
    GatewayDriver,
    endpoints,
    of_type,
)

PAIR = replace(SETTINGS, proxy_count=2)


def customer_of(world: GatewayDriver, home: int) -> str:
    """A customer of both, whose home is that one."""
    return next(f"c{n}" for n in range(99) if zlib.crc32(f"c{n}".encode()) % 2 == home)


def answers_to(world: GatewayDriver, name: str) -> list[Action]:
    """Final answers and sends for a request."""
    return [
        action
        for _, action in world.log
        if isinstance(action, ForwardAttempt | Reject | FailRequest) and action.request_id == name
    ]


def restart(gates: GatewayCluster, me: int, settings: Settings) -> None:
    """It is killed, and starts again from nothing: what it had is gone, and so are its stores."""
    fresh = GatewayDriver(
        replace(settings, proxy_index=me, proxy_count=len(gates.drivers), seed=99 + me), endpoints(4)
    )
    fresh.now_us = gates.drivers[me].now_us
    fresh.log, fresh.timers = [], []
    fresh.gateway = type(fresh.gateway)(
        replace(settings, proxy_index=me, proxy_count=len(gates.drivers), seed=99 + me)
    )
    gates.drivers[me] = fresh
    fresh.handle(EndpointListReceived(EndpointListKind.SAVED, 1, endpoints(4)))


@pytest.mark.parametrize("own_first", [False, True])
def test_home_that_starts_again_goes_by_what_the_set_knows_of_the_store(own_first: bool) -> None:
    """Its store is full again, the customer's is not. Where its own request came first, before the first word
    of another, the whole burst was let in once more."""
    settings = replace(SETTINGS, plans=(Plan(quota_rate=4.0, quota_burst=40.0),))
    gates = GatewayCluster(3, settings)
    home = zlib.crc32(b"c") % 3
    for n in range(300):  # three times what the plan gives: the store is empty
        gates.send_request(n % 3, f"a{n}")
        gates.advance(80 * MILLISECOND_US)
    gates.advance(SECOND_US)
    restart(gates, home, settings)
    before = gates.forwarded_count()
    if own_first:
        gates.send_request(home, "own")
    for n in range(60):
        gates.send_request((home + 1 + n) % 3, f"b{n}")
        gates.advance(50 * MILLISECOND_US)
    gates.advance(SECOND_US)
    # 4 s at 4 a second, and what came back in the second of rest; a fresh burst of 40 would take all 60.
    assert gates.forwarded_count() - before <= 16 + 4 + 8


def test_home_that_dies_while_it_is_asked_costs_no_request_its_time() -> None:
    """It is asked again, as words may be lost; then what is known here must do."""
    world = GatewayDriver(PAIR)
    name = customer_of(world, home=1)
    for number in range(11):  # the eleventh is past this one's part of the burst
        world.send_request(f"a{number}", customer=name, set_size=2, remaining_us=2 * SECOND_US)
    assert not answers_to(world, "a10")
    world.advance(SECOND_US - 40 * MILLISECOND_US)  # a refusal after half of the time would come too late
    assert len(answers_to(world, "a10")) == 1
    words = [word for _, action in world.log if isinstance(action, SendGossip) for word in action.messages]
    assert sum(word.requested_units > 0 for word in words) == 3


@pytest.mark.parametrize("inside", [False, True])
def test_word_that_comes_after_the_answer_changes_nothing_for_the_request(inside: bool) -> None:
    """Late, and then twice: one final answer all the same, and nothing is sent again."""
    world = GatewayDriver(PAIR)
    name = customer_of(world, home=1)
    for number in range(11):
        world.send_request(f"a{number}", customer=name, set_size=2, remaining_us=2 * SECOND_US)
    world.advance(SECOND_US)
    said = answers_to(world, "a10")
    key = CustomerKey(zlib.crc32(name.encode()), 0, 0, 2)
    late = GossipMessage(
        *key, True, requested_units=1.0, tokens=-2.0, is_ceiling_granted=True, is_within_quota=inside
    )
    for _ in range(2):
        assert not of_type(ForwardAttempt, world.handle(GossipReceived(1, (late,))))
    world.advance(SECOND_US)
    assert answers_to(world, "a10") == said and len(said) == 1
    (customer,) = world.gateway.customers.accounts.values()
    assert not customer.ceiling.grants  # nobody waited for the units that it brought


def test_word_that_comes_for_a_client_that_has_gone() -> None:
    world = GatewayDriver(PAIR)
    name = customer_of(world, home=1)
    for number in range(11):
        world.send_request(f"a{number}", customer=name, set_size=2, remaining_us=2 * SECOND_US)
    world.handle(ClientDisconnected("a10"))
    answer = GossipMessage(
        zlib.crc32(name.encode()), 0, 0, 2, True, requested_units=1.0, tokens=5.0, is_within_quota=True
    )
    world.handle(GossipReceived(1, (answer,)))
    (customer,) = world.gateway.customers.accounts.values()
    assert customer.tokens == 5.0  # and it costs the customer nothing
    world.advance(SECOND_US)
    assert not answers_to(world, "a10")


def test_older_word_that_comes_last_holds_until_the_next_one_only() -> None:
    world = GatewayDriver(PAIR)
    name = customer_of(world, home=1)
    key = CustomerKey(zlib.crc32(name.encode()), 0, 0, 2)
    for level in (-5.0, 15.0):  # the second was sent first
        world.handle(GossipReceived(1, (GossipMessage(*key, True, tokens=level),)))
    customer = world.gateway.customers.accounts[key]
    assert customer.local_tokens <= 15.0 / 2 and customer.tokens == 15.0
    world.handle(GossipReceived(1, (GossipMessage(*key, True, tokens=-5.0),)))
    assert customer.tokens == -5.0 and customer.local_tokens == 0.0


def test_silent_home_is_known_again_by_its_first_word() -> None:
    world = GatewayDriver(PAIR)
    name, peers = customer_of(world, home=1), world.gateway.admission.peer_liveness
    for number in range(11):
        world.send_request(f"a{number}", customer=name, set_size=2)
    world.advance(600 * MILLISECOND_US)
    assert peers.is_silent(world.now_us, 1)
    world.handle(GossipReceived(1, (GossipMessage(7, 0, 0, 2, True),)))
    assert not peers.is_silent(world.now_us, 1)


def test_set_of_two_of_two_hundred_that_goes_round_the_end() -> None:
    """The last front door and the first: the one at home answers the other, and nobody else counts."""
    world = GatewayDriver(replace(SETTINGS, proxy_count=200))  # it is the first
    name = customer_of(world, home=1)  # the second of its set
    key = zlib.crc32(name.encode()), 0, 199, 2
    actions = world.handle(
        GossipReceived(199, (GossipMessage(*key, demand=1.0, requested_units=1.0, tokens=20.0),))
    )
    (told,) = of_type(SendGossip, actions)
    assert (
        isinstance(told, SendGossip)
        and told.peer == 199
        and told.messages[0].is_reply
        and told.messages[0].is_within_quota
    )
    others = [
        action
        for first in (0, 1, 198)
        for action in of_type(
            SendGossip,
            world.handle(
                GossipReceived(5, (GossipMessage(key[0], 0, first, 1, demand=1.0, requested_units=1.0),))
            ),
        )
    ]
    assert len(others) == 1  # of the set that is this one alone
    assert len(world.gateway.customers.accounts) == 2
