"""Requests with an idempotency key are retried in the deduplication scope that their first backend had."""

from dataclasses import replace

import pytest

from molereach.policy.interface.actions import FailRequest, ForwardAttempt, Reject
from molereach.policy.interface.events import AttemptResult, EndpointListKind, EndpointListReceived
from molereach.policy.interface.settings import DeduplicationScope, Idempotency, RequestClass
from tests.helpers import MILLISECOND_US, SECOND_US, SETTINGS, GatewayDriver, endpoints, of_type

ENDPOINTS = endpoints(4)  # s0 and s2 in zone 0, s0 and s1 in cell 0
IDEMPOTENT_WITH_KEY = RequestClass(
    2 * SECOND_US,
    6 * SECOND_US,
    idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
    deduplication_window_us=3 * SECOND_US,
)


def forwarded_endpoints(driver: GatewayDriver) -> list[str]:
    return [action.endpoint for _, action in driver.log if isinstance(action, ForwardAttempt)]


@pytest.mark.parametrize(
    ("scope", "new_place", "allowed"),
    [(DeduplicationScope.ZONE, {"zone": 1}, "s2"), (DeduplicationScope.CELL, {"cell": 1}, "s1")],
)
@pytest.mark.parametrize("restarted", [False, True])
def test_retry_stays_in_the_deduplication_scope_of_the_first_backend(
    scope: DeduplicationScope, new_place: dict[str, int], allowed: str, restarted: bool
) -> None:
    """The endpoint's entry changes during the attempt; the key is known in the scope to which the backend
    belonged before."""
    driver = GatewayDriver(
        replace(SETTINGS, classes=(replace(IDEMPOTENT_WITH_KEY, deduplication_scope=scope),)), ENDPOINTS[:1]
    )
    driver.send_request("a")
    assert forwarded_endpoints(driver) == ["s0"]
    first = replace(ENDPOINTS[0], started_us=int(restarted), **new_place)
    driver.handle(EndpointListReceived(EndpointListKind.FULL, 2, (first, *ENDPOINTS[1:])))
    driver.advance(10 * MILLISECOND_US)
    driver.end_attempt("a", AttemptResult.RESET)
    assert forwarded_endpoints(driver) == ["s0", allowed]


def test_no_retry_where_the_scope_has_no_other_backend_by_then() -> None:
    driver = GatewayDriver(
        replace(
            SETTINGS, classes=(replace(IDEMPOTENT_WITH_KEY, deduplication_scope=DeduplicationScope.ZONE),)
        ),
        ENDPOINTS[:1],
    )
    driver.send_request("a")
    driver.handle(
        EndpointListReceived(EndpointListKind.FULL, 2, (replace(ENDPOINTS[0], zone=1), ENDPOINTS[1]))
    )
    assert of_type(FailRequest, driver.end_attempt("a", AttemptResult.RESET)) and forwarded_endpoints(
        driver
    ) == ["s0"]


@pytest.mark.parametrize(
    ("first", "last", "retries"),
    [
        ([AttemptResult.CONNECT_FAILED], AttemptResult.RESET, 0),
        ([AttemptResult.REJECTED], AttemptResult.TIMEOUT, 0),
        ([AttemptResult.CONNECT_FAILED, AttemptResult.REJECTED], AttemptResult.CONNECT_FAILED, 1),
        ([], AttemptResult.RESET, 0),
        ([], AttemptResult.TIMEOUT, 0),
        ([], AttemptResult.ERROR, 0),
        ([], AttemptResult.MALFORMED, 0),
    ],
)
def test_non_idempotent_request_is_not_retried_once_it_may_have_run(
    first: list[AttemptResult], last: AttemptResult, retries: int
) -> None:
    non_idempotent = RequestClass(2 * SECOND_US, 6 * SECOND_US, idempotency=Idempotency.NON_IDEMPOTENT)
    driver = GatewayDriver(replace(SETTINGS, classes=(non_idempotent,), max_attempts=9), ENDPOINTS)
    driver.send_request("a")
    for number, result in enumerate([*first, last]):
        driver.end_attempt("a", result, number)
    driver.advance(5 * SECOND_US)
    assert len(forwarded_endpoints(driver)) == len(first) + 1 + retries
    assert len(of_type(Reject, [action for _, action in driver.log])) == 0
    assert len(of_type(FailRequest, [action for _, action in driver.log])) == 1 - retries or retries
