"""Attempts and answers of a gateway: what may go again, and by when each request is answered."""

from dataclasses import replace

from molereach.policy.interface.actions import FailRequest, ForwardAttempt, Reject
from molereach.policy.interface.events import AttemptResult, ClientDisconnected, ResponseStreamStarted
from molereach.policy.interface.settings import DeduplicationScope, Idempotency, Plan, RequestClass
from tests.helpers import IDEMPOTENT, MILLISECOND_US, SECOND_US, SETTINGS, GatewayDriver, endpoints, of_type
from tests.policy.request_classes import NON_IDEMPOTENT, with_class

KEYED = RequestClass(
    2 * SECOND_US,
    6 * SECOND_US,
    idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
    deduplication_scope=DeduplicationScope.ZONE,
    deduplication_window_us=3 * SECOND_US,
)


def test_no_time_left_is_answered_at_once() -> None:
    driver = GatewayDriver(initial_endpoints=())
    assert of_type(Reject, driver.send_request("a", remaining_us=0))


def test_deadline_of_a_non_idempotent_request_fails_it() -> None:
    driver = GatewayDriver(with_class(NON_IDEMPOTENT))
    driver.send_request("a")
    driver.advance(6 * SECOND_US)
    actions = driver.end_attempt("a", AttemptResult.TIMEOUT)
    assert actions == [FailRequest("a")]
    assert driver.handle(ClientDisconnected("a")) == []


def test_non_idempotent_request_is_retried_only_if_unexecuted() -> None:
    driver = GatewayDriver(with_class(NON_IDEMPOTENT))
    driver.send_request("a")
    assert of_type(ForwardAttempt, driver.end_attempt("a", AttemptResult.REJECTED))
    assert of_type(ForwardAttempt, driver.end_attempt("a", AttemptResult.CONNECT_FAILED, attempt=1))
    assert driver.end_attempt("a", AttemptResult.RESET, attempt=2) == [FailRequest("a")]


def test_unexecuted_non_idempotent_request_is_rejected() -> None:
    driver = GatewayDriver(with_class(NON_IDEMPOTENT))
    driver.send_request("a")
    for attempt in range(3):
        actions = driver.end_attempt("a", AttemptResult.REJECTED, attempt)
    assert of_type(Reject, actions)


def test_keyed_request_stays_in_its_zone_and_window() -> None:
    driver = GatewayDriver(with_class(KEYED))
    driver.send_request("a")
    first = driver.in_flight[("a", 0)][0]
    again = of_type(ForwardAttempt, driver.end_attempt("a", AttemptResult.RESET))
    assert int(again[0].endpoint[1:]) % 2 == int(first[1:]) % 2
    driver.advance(3 * SECOND_US)
    assert driver.end_attempt("a", AttemptResult.RESET, attempt=1) == [FailRequest("a")]


def test_slow_attempt_is_given_up_while_another_can_meet_the_aim() -> None:
    driver = GatewayDriver()
    driver.send_request("a")
    assert driver.in_flight[("a", 0)][2] < 2 * SECOND_US - 500 * MILLISECOND_US
    driver.advance(SECOND_US)
    assert len(of_type(ForwardAttempt, driver.end_attempt("a", AttemptResult.TIMEOUT))) == 1
    driver = GatewayDriver(with_class(NON_IDEMPOTENT))
    driver.send_request("a")
    assert driver.in_flight[("a", 0)][2] == 6 * SECOND_US


def test_time_out_on_a_server_that_answers_others_is_no_sign() -> None:
    driver = GatewayDriver(replace(SETTINGS, plans=(Plan(),)), endpoints(1))
    for n in range(4):
        driver.send_request(f"r{n}")
    for n in range(2):
        driver.send_request(f"ok{n}")
    driver.advance(1 * SECOND_US)
    driver.end_attempt("ok0")
    driver.advance(10 * MILLISECOND_US)
    for n in range(4):
        driver.end_attempt(f"r{n}", AttemptResult.TIMEOUT)
    assert driver.gateway.load_balancer.backends["s0"].is_on_trial is False


def test_retries_are_few() -> None:
    driver = GatewayDriver(replace(SETTINGS, plans=(Plan(),)))
    for n in range(100):
        for action in of_type(ForwardAttempt, driver.send_request(f"r{n}")):
            more = of_type(ForwardAttempt, driver.end_attempt(action.request_id, AttemptResult.ERROR))
            while more:
                attempt = driver.attempt_counts[action.request_id] - 1
                more = of_type(
                    ForwardAttempt, driver.end_attempt(action.request_id, AttemptResult.ERROR, attempt)
                )
        driver.advance(10 * MILLISECOND_US)
    assert len(of_type(ForwardAttempt, [action for _, action in driver.log])) <= 100 * 1.1 + 8


def test_stream_is_the_clients_once_begun() -> None:
    driver = GatewayDriver(with_class(replace(IDEMPOTENT, is_streamed=True)))
    driver.send_request("a")
    assert driver.handle(ResponseStreamStarted("a", 0, driver.in_flight[("a", 0)][0], 5)) == []
    assert of_type(Reject, driver.end_attempt("a", AttemptResult.RESET)) == []


def test_request_of_which_nothing_was_sent_is_refused_before_half_of_its_time() -> None:
    for fleet in ((), endpoints(1)):
        driver = GatewayDriver(initial_endpoints=fleet)
        driver.gateway.attempts.mean_latency_us = [
            50.0 * MILLISECOND_US
        ]  # so that the aim alone would let it wait for longer
        start = driver.now_us
        driver.send_request("a", remaining_us=SECOND_US)
        if fleet:  # a failed connect has sent nothing
            driver.gateway.load_balancer.ready.clear()
            driver.end_attempt("a", AttemptResult.CONNECT_FAILED)
        driver.advance(SECOND_US)
        refused = [at for at, action in driver.log if isinstance(action, Reject)]
        assert len(refused) == 1
        assert 400 * MILLISECOND_US < refused[0] - start < 500 * MILLISECOND_US


def test_request_that_was_sent_whole_may_wait_for_longer() -> None:
    driver = GatewayDriver()
    driver.send_request("a", remaining_us=SECOND_US)
    driver.advance(900 * MILLISECOND_US)
    assert of_type(Reject, driver.advance(0)) == [] and driver.in_flight


def test_retry_that_comes_after_the_aim_of_its_first_try_is_refused_at_once() -> None:
    driver = GatewayDriver()
    driver.send_request("first", remaining_us=6 * SECOND_US)
    assert of_type(
        ForwardAttempt, driver.send_request("soon", remaining_us=5 * SECOND_US, is_client_retry=True)
    )
    late = driver.send_request(
        "late", remaining_us=4 * SECOND_US, is_client_retry=True
    )  # asked first 2 s ago, as long as the aim is
    assert of_type(Reject, late) and not of_type(ForwardAttempt, late)
    worth = GatewayDriver(replace(SETTINGS, classes=(replace(IDEMPOTENT, late_priority_weight=0.5),)))
    worth.send_request("first", remaining_us=6 * SECOND_US)
    assert of_type(
        ForwardAttempt, worth.send_request("late", remaining_us=4 * SECOND_US, is_client_retry=True)
    )


def test_clients_that_wait_for_different_times_are_no_reason_to_refuse_retries() -> None:
    driver = GatewayDriver()
    for number, left in enumerate([6 * SECOND_US, 3 * SECOND_US, 6 * SECOND_US, 3 * SECOND_US]):
        driver.send_request(f"first{number}", remaining_us=left)
    assert of_type(
        ForwardAttempt, driver.send_request("retry", remaining_us=2 * SECOND_US, is_client_retry=True)
    )
