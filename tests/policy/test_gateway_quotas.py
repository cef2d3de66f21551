"""Quotas over a set of gateways: the owner, its messages, and lost messages."""

import zlib
from dataclasses import replace
from random import Random

import pytest

from molereach.policy.gossip import MAX_DEFERRAL_US
from molereach.policy.interface.actions import FailRequest, ForwardAttempt, Reject, SendGossip, SetTimer
from molereach.policy.interface.events import (
    AttemptEnded,
    AttemptResult,
    EndpointListKind,
    EndpointListReceived,
    GossipReceived,
)
from molereach.policy.interface.messages import CustomerKey, GossipMessage
from molereach.policy.interface.settings import Plan
from tests.helpers import MILLISECOND_US, PLAN, SECOND_US, SETTINGS, GatewayCluster, GatewayDriver, of_type
from tests.policy.request_classes import NON_IDEMPOTENT, settings_with_class


def use_up_local_bucket(driver: GatewayDriver) -> str:
    """Send ten requests of a customer that the other one of two gateways owns; return the customer's name.

    They empty its local bucket, which is half of the burst of 20.
    """
    name = next(f"c{n}" for n in range(9) if zlib.crc32(f"c{n}".encode()) % 2)
    for number in range(10):
        driver.send_request(f"used{number}", customer=name, set_size=2)
        driver.end_attempt(f"used{number}")
    return name


@pytest.mark.parametrize("gateway_count", [1, 2, 20])
def test_burst_and_rate_apply_to_all_gateways_of_the_set(gateway_count: int) -> None:
    """The quota is available and enforced for any number of gateways, even if local buckets hold little."""
    cluster = GatewayCluster(gateway_count)
    for n in range(60):
        cluster.send_request(n * 7 % gateway_count, f"r{n}")
        cluster.advance(10 * MILLISECOND_US)
    cluster.advance(SECOND_US)
    # A burst of 20, and what refilled in 0.6 s and while the demand decayed
    assert 19 <= cluster.forwarded_count() <= 35
    count_before = cluster.forwarded_count()
    for n in range(600):
        cluster.send_request(n * 7 % gateway_count, f"more{n}")
        cluster.advance(10 * MILLISECOND_US)
    cluster.advance(SECOND_US)
    # 10 per second for 6 s, of 100 requested
    assert cluster.forwarded_count() - count_before == pytest.approx(60, abs=16)


def test_granted_requests_are_counted_once() -> None:
    """The owner counts what it grants; later reports of its peers must not contain the same units again."""
    cluster, owner_gateways = (
        GatewayCluster(20, replace(SETTINGS, plans=(replace(PLAN, quota_burst=10.0),))),
        [],
    )
    for n in range(300):
        cluster.send_request(n * 7 % 20, f"r{n}")
        cluster.advance(110 * MILLISECOND_US)
        # The gateways that keep the customer's quota, as of this request: there is one.
        owner_gateways = [
            driver.gateway
            for driver in cluster.drivers
            for account in driver.gateway.customers.accounts.values()
            if account.owner == driver.gateway.settings.proxy_index
        ]
    tokens = next(iter(owner_gateways[0].customers.accounts.values())).tokens
    assert tokens > 6  # of 10; one request per 110 ms is nine tenths of the quota rate


def test_granted_units_that_are_not_forwarded_return_to_the_quota() -> None:
    cluster = GatewayCluster(20)
    for driver in cluster.drivers:
        driver.handle(EndpointListReceived(EndpointListKind.FULL, 2, ()))
    for _ in range(3):
        for n in range(20):
            cluster.send_request(n, f"r{cluster.drivers[n].now_us}")
        cluster.advance(4 * SECOND_US)
    owner_tokens = [
        account.tokens
        for driver in cluster.drivers
        for account in driver.gateway.customers.accounts.values()
        if account.owner == driver.gateway.settings.proxy_index
    ]
    assert owner_tokens == [pytest.approx(20, abs=0.5)]


def test_quota_is_usable_if_messages_are_lost_or_the_owner_is_down() -> None:
    """Requests within quota are forwarded in time even without a reply of the owner."""
    for loss, down in ((0.3, -1), (0.0, 3)):
        cluster = GatewayCluster(20, loss=loss)
        cluster.down = down
        for n in range(200):
            if n * 7 % 20 != down:
                cluster.send_request(n * 7 % 20, f"r{n}")
            cluster.advance(200 * MILLISECOND_US)
        assert cluster.forwarded_count() >= 180


def test_messages_use_at_most_half_of_the_receive_capacity() -> None:
    """However many requests a customer sends, its owner can receive the messages about it."""
    for gateway_count in (3, 40):
        cluster, received_count = GatewayCluster(gateway_count), 0
        for n in range(2000):
            cluster.send_request(n * 7 % gateway_count, f"r{n}")
            if n % 4 == 3:
                cluster.advance(10 * MILLISECOND_US)
                max_per_gateway = max(
                    sum(peer == gateway_index for _, peer, _ in cluster.messages)
                    for gateway_index in range(gateway_count)
                )
                received_count += max_per_gateway
        # The 2000 requests take 5 s; the receive capacity is 100 messages per second, so half of it is 50.
        assert received_count / 5 <= 60


def test_unreported_spending_is_small_and_reported_soon() -> None:
    """Unreported spending is at most a quarter of the local buckets of the owner's peers at any time.

    Half a second after the last request, everything has been reported.
    """
    plan, size = replace(PLAN, quota_rate=8.0, quota_burst=64.0), 4
    cluster, random = GatewayCluster(size, replace(SETTINGS, plans=(plan,))), Random(5)

    def unreported_units() -> float:
        return sum(
            max(0.0, account.unreported_units)
            for driver in cluster.drivers
            for account in driver.gateway.customers.accounts.values()
        )

    max_unreported = 0.0
    for n in range(400):
        for number in range(random.choice((0, 0, 0, 1, 1, 8))):
            cluster.send_request(random.choice((0, 1, 2, 3, 3, 3)), f"r{n}-{number}")
        max_unreported = max(max_unreported, unreported_units())
        cluster.advance(20 * MILLISECOND_US)
    local_bucket = plan.quota_burst / size
    assert local_bucket / 8 < max_unreported <= (size - 1) * local_bucket / 4
    cluster.advance(MAX_DEFERRAL_US + 100 * MILLISECOND_US)
    assert unreported_units() == 0


def test_quiet_customers_cause_few_messages_and_wake_ups() -> None:
    """The reports about ten customers of one owner are combined into one datagram in half a second."""
    driver = GatewayDriver(
        replace(SETTINGS, proxy_count=2, plans=(replace(PLAN, quota_rate=40.0, quota_burst=200.0),))
    )
    names = [name for name in (f"c{n}" for n in range(40)) if zlib.crc32(name.encode()) % 2][:10]
    for n in range(100):
        driver.send_request(f"r{n}", customer=names[n % 10], set_size=2)
        driver.end_attempt(f"r{n}")
        driver.advance(50 * MILLISECOND_US)
    sent_actions = of_type(SendGossip, [action for _, action in driver.log])
    assert 8 <= len(sent_actions) <= 10 and all(len(sent.messages) <= 10 for sent in sent_actions)
    driver.advance(SECOND_US)
    driver.send_request("last", customer=names[0], set_size=2)
    driver.end_attempt("last")
    requested_at_us, count_before = driver.now_us, len(driver.log)
    driver.advance(2 * SECOND_US)
    log_after = driver.log[count_before:]
    (reported_at_us,) = [at_us for at_us, action in log_after if isinstance(action, SendGossip)]
    assert MAX_DEFERRAL_US <= reported_at_us - requested_at_us <= MAX_DEFERRAL_US + 20 * MILLISECOND_US
    assert (
        len(
            [at_us for at_us, action in log_after if isinstance(action, SetTimer) and at_us <= reported_at_us]
        )
        <= 3
    )


def test_messages_of_peers_are_validated() -> None:
    """A message with an unknown plan or an invalid set creates no account; extreme amounts raise nothing."""
    driver = GatewayDriver(replace(SETTINGS, proxy_count=2))
    extreme_message = GossipMessage(1, 0, 0, 2, demand=1e9, requested_units=1e9, tokens=-1e9)
    for message in (
        GossipMessage(1, 9, 0, 2),
        GossipMessage(1, 0, 5, 1),
        GossipMessage(1, 0, 0, 0),
        extreme_message,
    ):
        driver.handle(GossipReceived(1, (message,)))
    assert len(driver.gateway.customers.accounts) == 1


def test_idle_gateway_wakes_up_once_a_second() -> None:
    driver = GatewayDriver()
    driver.advance(10 * SECOND_US)
    assert len(of_type(SetTimer, [action for _, action in driver.log])) <= 12


def test_idle_customers_are_evicted() -> None:
    driver = GatewayDriver()
    for n in range(50):
        driver.send_request(f"r{n}", customer=f"c{n}")
        driver.end_attempt(f"r{n}")
    driver.advance(90 * SECOND_US)
    assert not driver.gateway.customers.accounts


def test_request_with_too_little_time_left_uses_no_quota() -> None:
    driver = GatewayDriver()
    for n in range(30):
        driver.send_request(f"r{n}", remaining_us=100 * MILLISECOND_US)  # too short to forward
    assert next(iter(driver.gateway.customers.accounts.values())).tokens == 20


def test_plan_bounds_attempts_in_flight() -> None:
    driver = GatewayDriver(replace(SETTINGS, plans=(Plan(max_in_flight=2),)))
    assert of_type(ForwardAttempt, driver.send_request("a")) and of_type(
        ForwardAttempt, driver.send_request("b")
    )
    assert of_type(Reject, driver.send_request("c"))
    driver.end_attempt("a")
    assert of_type(ForwardAttempt, driver.send_request("d"))


def test_quota_is_charged_the_actual_units() -> None:
    driver = GatewayDriver(replace(SETTINGS, costs_are_corrected=True))
    driver.send_request("a")
    endpoint, forwarded_at_us, _ = driver.in_flight.pop(("a", 0))
    driver.handle(
        AttemptEnded(
            "a", True, 0, endpoint, AttemptResult.OK, driver.now_us - forwarded_at_us, actual_units=4.0
        )
    )
    assert next(iter(driver.gateway.customers.accounts.values())).tokens == pytest.approx(16)


@pytest.mark.parametrize("left_ms", [5, 30, 60, 90, 130, 200, 260])
def test_request_waiting_for_a_reply_is_answered_in_time(left_ms: int) -> None:
    """The client has little time left, and the owner never answers."""
    cluster = GatewayCluster(
        20,
        settings_with_class(
            replace(NON_IDEMPOTENT, latency_objective_us=2 * SECOND_US),
            plans=(replace(PLAN, quota_burst=2.0),),
        ),
    )
    for gateway_index, driver in enumerate(cluster.drivers):
        cluster.down = gateway_index
        driver.handle(EndpointListReceived(EndpointListKind.FULL, 2, ()))
        driver.gateway.attempts.mean_latency_us = [20 * MILLISECOND_US]
        driver.send_request("a", remaining_us=left_ms * MILLISECOND_US, set_size=20)
        start_us = driver.now_us
        driver.advance(SECOND_US)
        end_times_us = [
            at_us - start_us for at_us, action in driver.log if isinstance(action, Reject | FailRequest)
        ]
        assert len(end_times_us) == 1 and end_times_us[0] <= left_ms * MILLISECOND_US


def test_reports_subtract_every_request_that_the_owner_may_have_counted() -> None:
    """A message that asks the owner for units may make it count them, even if its reply never arrives.

    So a gateway that repeats the message subtracts from its later reports what the owner is expected to have
    counted for each of them; otherwise units would count twice.
    """
    driver = GatewayDriver(replace(SETTINGS, proxy_count=2))
    name = next(f"c{n}" for n in range(9) if zlib.crc32(f"c{n}".encode()) % 2)  # owned by the peer
    for number in range(11):  # the eleventh exceeds the local bucket
        driver.send_request(f"a{number}", customer=name, set_size=2)
    driver.advance(SECOND_US)
    messages = [
        message for _, action in driver.log if isinstance(action, SendGossip) for message in action.messages
    ]
    requests = [message for message in messages if message.requested_units]
    assert len(requests) == 3
    (account,) = driver.gateway.customers.accounts.values()
    reported = sum(message.spent_units for message in messages) + account.unreported_units
    # Three requests, each counted with the probability 10 / 11: 10 units are left for a demand of 11.
    assert reported == pytest.approx(11 - 3 * 10 / 11)


@pytest.mark.parametrize("burst", [0.0, 0.5])
def test_bucket_smaller_than_one_request_serves_its_rate(burst: float) -> None:
    """A plan may have a rate without a burst, or little of it may be usable in a network partition."""
    # 5 and 50 requests per second; the quota is 9.
    for interval_ms, min_forwarded, max_forwarded in ((200, 45, 50), (20, 80, 110)):
        driver = GatewayDriver(replace(SETTINGS, plans=(Plan(quota_rate=9.0, quota_burst=burst),)))
        for n in range(10_000 // interval_ms):
            driver.send_request(f"r{n}")
            driver.advance(interval_ms * MILLISECOND_US)
            if (f"r{n}", 0) in driver.in_flight:
                driver.end_attempt(f"r{n}")
        assert (
            min_forwarded
            <= sum(isinstance(action, ForwardAttempt) for _, action in driver.log)
            <= max_forwarded
        )


def test_owner_counts_what_it_admitted_and_not_the_expected_value() -> None:
    """Each of 40 gateways sends one request, so none reports the result of a draw to the owner later."""
    cluster = GatewayCluster(40, replace(SETTINGS, plans=(Plan(quota_rate=0.01, quota_burst=12.0),)))
    for number in range(40):
        cluster.send_request(number, f"r{number}", customer="c9")
        cluster.advance(20 * MILLISECOND_US)
    cluster.advance(SECOND_US)
    (owner,) = {
        account.owner for driver in cluster.drivers for account in driver.gateway.customers.accounts.values()
    }
    (account,) = cluster.drivers[owner].gateway.customers.accounts.values()
    assert 9 <= cluster.forwarded_count() <= 12
    assert account.tokens == pytest.approx(12 - cluster.forwarded_count(), abs=0.05)


@pytest.mark.parametrize("is_within_quota", [True, False])
def test_draw_of_the_owner_decides_at_the_requester(is_within_quota: bool) -> None:
    driver = GatewayDriver(replace(SETTINGS, proxy_count=2))
    name = next(f"c{n}" for n in range(9) if zlib.crc32(f"c{n}".encode()) % 2)
    for number in range(11):  # the eleventh exceeds the local bucket
        driver.send_request(f"a{number}", customer=name, set_size=2)
    key = next(iter(driver.gateway.customers.accounts))
    tokens = 0.5 if is_within_quota else 20.0  # with which the requester itself would decide the opposite
    actions = driver.handle(
        GossipReceived(
            1, (GossipMessage(*key, True, 1.0, 0.0, 1.0, tokens, is_within_quota=is_within_quota),)
        )
    )
    assert bool(of_type(ForwardAttempt, actions)) is is_within_quota
    assert bool(of_type(Reject, actions)) is not is_within_quota


def test_large_set_serves_exactly_the_quota() -> None:
    """With 40 gateways no local bucket holds a request, so the owner decides on each.

    A request that the owner's bucket does not cover is beyond the quota. Requests rejected earlier do not
    reduce the quota of later ones.
    """
    cluster = GatewayCluster(40, replace(SETTINGS, plans=(Plan(quota_rate=0.5, quota_burst=3.0),)))
    for number in range(3):
        cluster.send_request(number * 7, f"in{number}", customer="c9")
        cluster.advance(400 * MILLISECOND_US)
    assert cluster.forwarded_count() == 3  # the burst
    for number in range(12):
        cluster.send_request(number * 3 + 1, f"out{number}", customer="c9")
    cluster.advance(600 * MILLISECOND_US)
    assert cluster.forwarded_count() == 3  # 0.9 units have accrued since the start: less than one request
    cluster.advance(2 * SECOND_US)
    cluster.send_request(5, "later", customer="c9")
    cluster.advance(400 * MILLISECOND_US)
    assert cluster.forwarded_count() == 4


def test_customer_is_kept_until_its_buckets_are_full() -> None:
    driver = GatewayDriver(replace(SETTINGS, plans=(Plan(quota_rate=1.0, quota_burst=30.0),)))
    for number in range(30):
        driver.send_request(f"a{number}")
        driver.end_attempt(f"a{number}")
    driver.advance(29 * SECOND_US)
    (account,) = driver.gateway.customers.accounts.values()
    assert account.local_tokens == 0.0  # as of its last refill
    driver.advance(4 * SECOND_US)
    assert not driver.gateway.customers.accounts


def test_another_set_of_the_same_customer_allows_no_second_burst() -> None:
    driver = GatewayDriver(replace(SETTINGS, proxy_count=2, may_gossip=False))
    forwarded_counts = [
        len(of_type(ForwardAttempt, driver.send_request(f"a{number}", set_size=1 + number % 2)))
        for number in range(60)
    ]
    assert sum(forwarded_counts) <= 21  # the burst of 20, and random variation
    driver = GatewayDriver(replace(SETTINGS, proxy_count=2, may_gossip=False))
    assert of_type(ForwardAttempt, driver.send_request("other", customer="other", set_size=2))


@pytest.mark.parametrize(("first", "size"), [(0, 3), (0, 0), (0, 65535), (9, 2), (1, 1)])
def test_messages_of_an_invalid_set_are_ignored(first: int, size: int) -> None:
    driver = GatewayDriver(replace(SETTINGS, proxy_count=2))
    driver.handle(
        GossipReceived(
            1, (GossipMessage(7, 0, first, size, demand=1.0, spent_units=1.0, requested_units=1.0),)
        )
    )
    assert not driver.gateway.customers.accounts
    driver.handle(GossipReceived(1, (GossipMessage(7, 0, 0, 2, demand=1.0),)))
    assert len(driver.gateway.customers.accounts) == 1


def test_wait_for_a_reply_ends_before_half_of_the_clients_time() -> None:
    driver = GatewayDriver(replace(SETTINGS, proxy_count=2))
    driver.gateway.attempts.mean_latency_us = [10.0 * MILLISECOND_US]
    name = next(f"c{n}" for n in range(9) if zlib.crc32(f"c{n}".encode()) % 2)  # owned by the peer
    for number in range(10):
        driver.send_request(f"a{number}", customer=name, set_size=2)
    assert not of_type(
        ForwardAttempt,
        driver.send_request("last", customer=name, set_size=2, remaining_us=200 * MILLISECOND_US),
    )
    driver.advance(100 * MILLISECOND_US)
    assert driver.attempt_counts.get("last") == 1


def test_reply_of_a_failed_owner_is_used_for_one_second_only() -> None:
    """Regression: the last reply was used for 10 s, while local demand was added to what it reported."""
    driver = GatewayDriver(replace(SETTINGS, proxy_count=2))
    name = use_up_local_bucket(driver)
    key = CustomerKey(zlib.crc32(name.encode()), 0, 0, 2)
    driver.handle(GossipReceived(1, (GossipMessage(*key, True, demand=40.0, tokens=-5.0),)))
    account = driver.gateway.customers.accounts[key]
    for number in range(30):
        driver.send_request(f"a{number}", customer=name, set_size=2, remaining_us=SECOND_US)
        driver.advance(100 * MILLISECOND_US)
    assert account.refill(driver.now_us).demand < 10  # one arrives per time constant; the 40 have decayed
    forwarded_at_us = [
        at_us
        for at_us, action in driver.log
        if isinstance(action, ForwardAttempt) and at_us > driver.now_us - SECOND_US
    ]
    assert len(forwarded_at_us) >= 8


def test_owner_that_never_replies_is_not_waited_for() -> None:
    driver = GatewayDriver(replace(SETTINGS, proxy_count=2))
    name = use_up_local_bucket(driver)
    waiting_count = 0
    for number in range(30):
        if not of_type(ForwardAttempt, driver.send_request(f"a{number}", customer=name, set_size=2)):
            waiting_count += 1
        driver.advance(100 * MILLISECOND_US)
        for request_id, attempt in list(driver.in_flight):
            driver.end_attempt(request_id, attempt=attempt)
    assert waiting_count < 15  # all of the first half second, then occasionally
    assert waiting_count > 5  # and it is still sent requests
