"""A customer's home proxy that dies, restarts with full token buckets, is silent, or sends late or duplicate
replies."""

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

TWO_PROXIES = replace(SETTINGS, proxy_count=2)


def customer_of(driver: GatewayDriver, home: int) -> str:
    """A customer of both proxies with this home."""
    return next(f"c{number}" for number in range(99) if zlib.crc32(f"c{number}".encode()) % 2 == home)


def actions_for(driver: GatewayDriver, name: str) -> list[Action]:
    """Final answers to a request, and its forwarded attempts."""
    return [
        action
        for _, action in driver.log
        if isinstance(action, ForwardAttempt | Reject | FailRequest) and action.request_id == name
    ]


def restart(cluster: GatewayCluster, index: int, settings: Settings) -> None:
    """Kill a proxy and start it again without state, so that its token buckets are full."""
    restarted = GatewayDriver(
        replace(settings, proxy_index=index, proxy_count=len(cluster.drivers), seed=99 + index), endpoints(4)
    )
    restarted.now_us = cluster.drivers[index].now_us
    restarted.log, restarted.timers = [], []
    restarted.gateway = type(restarted.gateway)(
        replace(settings, proxy_index=index, proxy_count=len(cluster.drivers), seed=99 + index)
    )
    cluster.drivers[index] = restarted
    restarted.handle(EndpointListReceived(EndpointListKind.SAVED, 1, endpoints(4)))


@pytest.mark.parametrize("sends_first", [False, True])
def test_restarted_home_adopts_the_token_count_that_its_peers_know(sends_first: bool) -> None:
    """After the restart the home's bucket is full, while the customer's quota is used up. If the home
    admitted its own request before the first message of a peer, the whole burst was admitted once more."""
    settings = replace(SETTINGS, plans=(Plan(quota_rate=4.0, quota_burst=40.0),))
    cluster = GatewayCluster(3, settings)
    home = zlib.crc32(b"c") % 3
    for number in range(300):  # three times what the plan gives: the bucket is empty
        cluster.send_request(number % 3, f"a{number}")
        cluster.advance(80 * MILLISECOND_US)
    cluster.advance(SECOND_US)
    restart(cluster, home, settings)
    before = cluster.forwarded_count()
    if sends_first:
        cluster.send_request(home, "own")
    for number in range(60):
        cluster.send_request((home + 1 + number) % 3, f"b{number}")
        cluster.advance(50 * MILLISECOND_US)
    cluster.advance(SECOND_US)
    # 4 s at 4 tokens/s, plus the refill of the idle second; a full burst of 40 would admit all 60.
    assert cluster.forwarded_count() - before <= 16 + 4 + 8


def test_request_is_decided_in_time_when_its_home_dies() -> None:
    """The question is repeated, as datagrams may be lost; then the proxy decides with what it knows."""
    driver = GatewayDriver(TWO_PROXIES)
    name = customer_of(driver, home=1)
    for number in range(11):  # the eleventh exceeds this proxy's part of the burst
        driver.send_request(f"a{number}", customer=name, set_size=2, remaining_us=2 * SECOND_US)
    assert not actions_for(driver, "a10")
    driver.advance(SECOND_US - 40 * MILLISECOND_US)  # a rejection after half of the time would come too late
    assert len(actions_for(driver, "a10")) == 1
    messages = [
        message for _, action in driver.log if isinstance(action, SendGossip) for message in action.messages
    ]
    assert sum(message.requested_units > 0 for message in messages) == 3


@pytest.mark.parametrize("is_within_quota", [False, True])
def test_reply_after_the_final_answer_has_no_effect_on_the_request(is_within_quota: bool) -> None:
    """The reply comes late and twice: there is still one final answer, and nothing is sent again."""
    driver = GatewayDriver(TWO_PROXIES)
    name = customer_of(driver, home=1)
    for number in range(11):
        driver.send_request(f"a{number}", customer=name, set_size=2, remaining_us=2 * SECOND_US)
    driver.advance(SECOND_US)
    actions = actions_for(driver, "a10")
    customer_key = CustomerKey(zlib.crc32(name.encode()), 0, 0, 2)
    reply = GossipMessage(
        *customer_key,
        True,
        requested_units=1.0,
        tokens=-2.0,
        is_ceiling_granted=True,
        is_within_quota=is_within_quota,
    )
    for _ in range(2):
        assert not of_type(ForwardAttempt, driver.handle(GossipReceived(1, (reply,))))
    driver.advance(SECOND_US)
    assert actions_for(driver, "a10") == actions and len(actions) == 1
    (customer,) = driver.gateway.customers.accounts.values()
    assert not customer.ceiling.grants  # no request waited for the units of the reply


def test_reply_for_a_disconnected_client_updates_only_the_customer() -> None:
    driver = GatewayDriver(TWO_PROXIES)
    name = customer_of(driver, home=1)
    for number in range(11):
        driver.send_request(f"a{number}", customer=name, set_size=2, remaining_us=2 * SECOND_US)
    driver.handle(ClientDisconnected("a10"))
    reply = GossipMessage(
        zlib.crc32(name.encode()), 0, 0, 2, True, requested_units=1.0, tokens=5.0, is_within_quota=True
    )
    driver.handle(GossipReceived(1, (reply,)))
    (customer,) = driver.gateway.customers.accounts.values()
    assert customer.tokens == 5.0  # the customer is not charged
    driver.advance(SECOND_US)
    assert not actions_for(driver, "a10")


def test_reordered_reply_is_replaced_by_the_next_one() -> None:
    driver = GatewayDriver(TWO_PROXIES)
    name = customer_of(driver, home=1)
    customer_key = CustomerKey(zlib.crc32(name.encode()), 0, 0, 2)
    for tokens in (-5.0, 15.0):  # the second one was sent first
        driver.handle(GossipReceived(1, (GossipMessage(*customer_key, True, tokens=tokens),)))
    customer = driver.gateway.customers.accounts[customer_key]
    assert customer.local_tokens <= 15.0 / 2 and customer.tokens == 15.0
    driver.handle(GossipReceived(1, (GossipMessage(*customer_key, True, tokens=-5.0),)))
    assert customer.tokens == -5.0 and customer.local_tokens == 0.0


def test_silent_home_counts_as_alive_after_its_first_message() -> None:
    driver = GatewayDriver(TWO_PROXIES)
    name, liveness = customer_of(driver, home=1), driver.gateway.admission.peer_liveness
    for number in range(11):
        driver.send_request(f"a{number}", customer=name, set_size=2)
    driver.advance(600 * MILLISECOND_US)
    assert liveness.is_silent(driver.now_us, 1)
    driver.handle(GossipReceived(1, (GossipMessage(7, 0, 0, 2, True),)))
    assert not liveness.is_silent(driver.now_us, 1)


def test_proxy_set_wraps_around_the_last_index() -> None:
    """The set is the last and the first of 200 proxies: its home answers the other one, and no other sets."""
    driver = GatewayDriver(replace(SETTINGS, proxy_count=200))  # index 0
    name = customer_of(driver, home=1)  # the second proxy of its set
    customer_key = zlib.crc32(name.encode()), 0, 199, 2
    actions = driver.handle(
        GossipReceived(199, (GossipMessage(*customer_key, demand=1.0, requested_units=1.0, tokens=20.0),))
    )
    (gossip,) = of_type(SendGossip, actions)
    assert (
        isinstance(gossip, SendGossip)
        and gossip.peer == 199
        and gossip.messages[0].is_reply
        and gossip.messages[0].is_within_quota
    )
    other_replies = [
        action
        for first in (0, 1, 198)
        for action in of_type(
            SendGossip,
            driver.handle(
                GossipReceived(
                    5, (GossipMessage(customer_key[0], 0, first, 1, demand=1.0, requested_units=1.0),)
                )
            ),
        )
    ]
    assert len(other_replies) == 1  # for the set of this proxy alone
    assert len(driver.gateway.customers.accounts) == 2
