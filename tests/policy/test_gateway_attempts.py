"""Attempts and answers of a gateway: which requests are retried, and when each request is answered."""

from dataclasses import replace

from molereach.policy.interface.actions import FailRequest, ForwardAttempt, Reject
from molereach.policy.interface.events import AttemptResult, ClientDisconnected, ResponseStreamStarted
from molereach.policy.interface.settings import DeduplicationScope, Idempotency, Plan, RequestClass
from tests.helpers import IDEMPOTENT, MILLISECOND_US, SECOND_US, SETTINGS, GatewayDriver, endpoints, of_type
from tests.policy.request_classes import NON_IDEMPOTENT, settings_with_class

IDEMPOTENT_WITH_KEY = RequestClass(
    2 * SECOND_US,
    6 * SECOND_US,
    idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
    deduplication_scope=DeduplicationScope.ZONE,
    deduplication_window_us=3 * SECOND_US,
)


def test_request_with_no_time_left_is_rejected_at_once() -> None:
    driver = GatewayDriver(fleet=())
    assert of_type(Reject, driver.send_request("a", left_us=0))


def test_deadline_of_a_non_idempotent_request_fails_it() -> None:
    driver = GatewayDriver(settings_with_class(NON_IDEMPOTENT))
    driver.send_request("a")
    driver.advance(6 * SECOND_US)
    actions = driver.end_attempt("a", AttemptResult.TIMEOUT)
    assert actions == [FailRequest("a")]
    assert driver.handle(ClientDisconnected("a")) == []


def test_non_idempotent_request_is_retried_only_if_unexecuted() -> None:
    driver = GatewayDriver(settings_with_class(NON_IDEMPOTENT))
    driver.send_request("a")
    assert of_type(ForwardAttempt, driver.end_attempt("a", AttemptResult.REJECTED))
    assert of_type(ForwardAttempt, driver.end_attempt("a", AttemptResult.CONNECT_FAILED, attempt=1))
    assert driver.end_attempt("a", AttemptResult.RESET, attempt=2) == [FailRequest("a")]


def test_unexecuted_non_idempotent_request_is_rejected() -> None:
    driver = GatewayDriver(settings_with_class(NON_IDEMPOTENT))
    driver.send_request("a")
    for attempt in range(3):
        actions = driver.end_attempt("a", AttemptResult.REJECTED, attempt)
    assert of_type(Reject, actions)


def test_request_with_a_key_stays_in_its_deduplication_zone_and_window() -> None:
    driver = GatewayDriver(settings_with_class(IDEMPOTENT_WITH_KEY))
    driver.send_request("a")
    first = driver.in_flight[("a", 0)][0]
    retries = of_type(ForwardAttempt, driver.end_attempt("a", AttemptResult.RESET))
    assert int(retries[0].endpoint[1:]) % 2 == int(first[1:]) % 2
    driver.advance(3 * SECOND_US)
    assert driver.end_attempt("a", AttemptResult.RESET, attempt=1) == [FailRequest("a")]


def test_attempt_times_out_while_a_retry_can_meet_the_objective() -> None:
    driver = GatewayDriver()
    driver.send_request("a")
    assert driver.in_flight[("a", 0)][2] < 2 * SECOND_US - 500 * MILLISECOND_US
    driver.advance(SECOND_US)
    assert len(of_type(ForwardAttempt, driver.end_attempt("a", AttemptResult.TIMEOUT))) == 1
    driver = GatewayDriver(settings_with_class(NON_IDEMPOTENT))
    driver.send_request("a")
    assert driver.in_flight[("a", 0)][2] == 6 * SECOND_US


def test_timeout_on_a_backend_that_answers_others_does_not_eject_it() -> None:
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


def test_retries_stay_within_the_budget() -> None:
    driver = GatewayDriver(replace(SETTINGS, plans=(Plan(),)))
    for n in range(100):
        for action in of_type(ForwardAttempt, driver.send_request(f"r{n}")):
            retries = of_type(ForwardAttempt, driver.end_attempt(action.request_id, AttemptResult.ERROR))
            while retries:
                attempt = driver.attempt_counts[action.request_id] - 1
                retries = of_type(
                    ForwardAttempt, driver.end_attempt(action.request_id, AttemptResult.ERROR, attempt)
                )
        driver.advance(10 * MILLISECOND_US)
    assert len(of_type(ForwardAttempt, [action for _, action in driver.log])) <= 100 * 1.1 + 8


def test_request_is_closed_once_its_stream_has_started() -> None:
    driver = GatewayDriver(settings_with_class(replace(IDEMPOTENT, is_streamed=True)))
    driver.send_request("a")
    assert driver.handle(ResponseStreamStarted("a", 0, driver.in_flight[("a", 0)][0], 5)) == []
    assert of_type(Reject, driver.end_attempt("a", AttemptResult.RESET)) == []


def test_unsent_request_is_rejected_before_half_of_its_time() -> None:
    for fleet in ((), endpoints(1)):
        driver = GatewayDriver(fleet=fleet)
        # So low that the objective would allow a longer wait
        driver.gateway.attempts.mean_latency_us = [50.0 * MILLISECOND_US]
        start_us = driver.now_us
        driver.send_request("a", left_us=SECOND_US)
        if fleet:  # a failed connection attempt has sent nothing
            driver.gateway.load_balancer.ready.clear()
            driver.end_attempt("a", AttemptResult.CONNECT_FAILED)
        driver.advance(SECOND_US)
        rejected_at_us = [at_us for at_us, action in driver.log if isinstance(action, Reject)]
        assert len(rejected_at_us) == 1
        assert 400 * MILLISECOND_US < rejected_at_us[0] - start_us < 500 * MILLISECOND_US


def test_request_that_was_sent_may_wait_for_longer() -> None:
    driver = GatewayDriver()
    driver.send_request("a", left_us=SECOND_US)
    driver.advance(900 * MILLISECOND_US)
    assert of_type(Reject, driver.advance(0)) == [] and driver.in_flight


def test_client_retry_after_the_objective_is_rejected_at_once() -> None:
    driver = GatewayDriver()
    driver.send_request("first", left_us=6 * SECOND_US)
    assert of_type(ForwardAttempt, driver.send_request("soon", left_us=5 * SECOND_US, is_client_retry=True))
    # First sent 2 s ago, which is the objective
    late = driver.send_request("late", left_us=4 * SECOND_US, is_client_retry=True)
    assert of_type(Reject, late) and not of_type(ForwardAttempt, late)
    driver_with_late_value = GatewayDriver(
        replace(SETTINGS, classes=(replace(IDEMPOTENT, late_priority_weight=0.5),))
    )
    driver_with_late_value.send_request("first", left_us=6 * SECOND_US)
    assert of_type(
        ForwardAttempt,
        driver_with_late_value.send_request("late", left_us=4 * SECOND_US, is_client_retry=True),
    )


def test_different_client_timeouts_do_not_reject_retries() -> None:
    driver = GatewayDriver()
    for number, remaining_us in enumerate([6 * SECOND_US, 3 * SECOND_US, 6 * SECOND_US, 3 * SECOND_US]):
        driver.send_request(f"first{number}", left_us=remaining_us)
    assert of_type(ForwardAttempt, driver.send_request("retry", left_us=2 * SECOND_US, is_client_retry=True))
