"""Invariants of the gateway under random valid sequences of events."""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from molereach.policy.interface.actions import Action, FailRequest, ForwardAttempt, Reject
from molereach.policy.interface.events import (
    AttemptEnded,
    AttemptResult,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    RequestReceived,
)
from molereach.policy.interface.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings
from tests.helpers import MILLISECOND_US, SECOND_US, SETTINGS, GatewayDriver, endpoints

CLASSES = (
    RequestClass(SECOND_US, 2 * SECOND_US),
    RequestClass(
        SECOND_US,
        3 * SECOND_US,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window_us=SECOND_US,
    ),
    RequestClass(
        SECOND_US,
        3 * SECOND_US,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window_us=2 * SECOND_US,
    ),
    RequestClass(
        SECOND_US,
        3 * SECOND_US,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window_us=2 * SECOND_US,
    ),
    RequestClass(SECOND_US, 3 * SECOND_US, idempotency=Idempotency.NON_IDEMPOTENT),
)
PLANS = (
    Plan(quota_rate=5.0, quota_burst=5.0),
    Plan(max_in_flight=2),
    Plan(quota_rate=9.0, quota_burst=9.0, ceiling_rate=12.0, ceiling_burst=10.0, ceiling_slack=1.0),
)
UNEXECUTED_RESULTS = (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED)
FAILURE_RESULTS = (*UNEXECUTED_RESULTS, AttemptResult.ERROR, AttemptResult.RESET)
STEP_STRATEGY = st.tuples(st.integers(0, 9), st.integers(0, 10_000), st.integers(0, 400))


class InvariantChecker(GatewayDriver):
    """A gateway driver that checks each action against the invariants."""

    def __init__(self, gateway_settings: Settings) -> None:
        self.requests: dict[str, tuple[RequestReceived, int]] = {}
        self.closed: set[str] = set()
        self.maybe_executed: dict[str, list[tuple[str, int]]] = {}
        self.endpoints_by_name = {backend.name: backend for backend in endpoints(4)}
        self.ceiling_tokens, self.refilled_at_us = 10.0, 100 * SECOND_US
        super().__init__(gateway_settings)

    def handle(self, event: Event) -> list[Action]:
        if isinstance(event, RequestReceived):
            self.requests[event.request_id] = (event, self.now_us)
        actions = super().handle(event)
        for action in actions:
            if isinstance(action, ForwardAttempt):
                self.check_forward(action)
            elif isinstance(action, Reject | FailRequest):
                self.check_final_answer(action)
        return actions

    def check_forward(self, action: ForwardAttempt) -> None:
        request, _ = self.requests[action.request_id]
        request_class, earlier_attempts = (
            CLASSES[request.class_index],
            self.maybe_executed.setdefault(action.request_id, []),
        )
        assert action.request_id not in self.closed
        assert self.endpoints_by_name[action.endpoint].state is EndpointState.UP
        attempts_in_flight = [key for key in self.in_flight if key[0] == action.request_id]
        assert len(attempts_in_flight) == 1 or (
            self.gateway.settings.may_hedge and len(attempts_in_flight) == 2
        )
        if earlier_attempts and request_class.idempotency is not Idempotency.IDEMPOTENT:
            assert request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
            first, endpoint = (
                self.endpoints_by_name[earlier_attempts[0][0]],
                self.endpoints_by_name[action.endpoint],
            )
            assert (
                request_class.deduplication_scope is not DeduplicationScope.ZONE
                or first.zone == endpoint.zone
            )
            assert (
                request_class.deduplication_scope is not DeduplicationScope.CELL
                or first.cell == endpoint.cell
            )
            assert self.now_us < earlier_attempts[0][1] + request_class.deduplication_window_us
        if not earlier_attempts and self.attempt_counts[action.request_id] == 1 and request.plan_index == 2:
            self.ceiling_tokens = (
                min(10.0, self.ceiling_tokens + 12.0 * (self.now_us - self.refilled_at_us) / SECOND_US)
                - request.units
            )
            self.refilled_at_us = self.now_us
            assert self.ceiling_tokens >= -1.0
        earlier_attempts.append((action.endpoint, self.now_us))

    def check_final_answer(self, action: Reject | FailRequest) -> None:
        request, received_at_us = self.requests[action.request_id]
        request_class = CLASSES[request.class_index]
        assert action.request_id not in self.closed
        self.closed.add(action.request_id)
        assert self.now_us <= received_at_us + request.remaining_us + 8 * MILLISECOND_US
        if isinstance(action, Reject) and self.maybe_executed.get(action.request_id):
            is_safe_with_key = (
                request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
                and request_class.deduplication_scope is DeduplicationScope.ALL
            )
            assert request_class.idempotency is Idempotency.IDEMPOTENT or is_safe_with_key

    def finish_attempt(self, key: tuple[str, int], result: AttemptResult) -> None:
        """End an attempt; one that certainly was not executed no longer restricts its request."""
        backend, forwarded_at_us, _ = self.in_flight.pop(key)
        if result in UNEXECUTED_RESULTS:
            self.maybe_executed[key[0]].remove((backend, forwarded_at_us))
        closed = key[0] in self.closed or result is AttemptResult.OK
        if result is AttemptResult.OK:
            self.closed.add(key[0])
        self.handle(AttemptEnded(key[0], closed, key[1], backend, result, self.now_us - forwarded_at_us))

    def advance_with_timeouts(self, time_us: int) -> None:
        """Let time pass in steps of a millisecond, ending attempts that time out."""
        end_us = self.now_us + time_us
        while self.now_us < end_us:
            self.advance(min(MILLISECOND_US, end_us - self.now_us))
            for key, (_, forwarded_at_us, timeout_us) in list(self.in_flight.items()):
                request, received_at_us = self.requests[key[0]]
                if (
                    self.now_us >= min(forwarded_at_us + timeout_us, received_at_us + request.remaining_us)
                    and key in self.in_flight
                ):
                    self.finish_attempt(key, AttemptResult.TIMEOUT)

    def restart(self) -> None:
        """Restart the gateway: its requests are lost, and it knows only the saved endpoint list."""
        self.closed.update(self.requests)
        self.in_flight.clear()
        self.timers.clear()
        self.gateway = type(self.gateway)(self.gateway.settings)
        self.handle(EndpointListReceived(EndpointListKind.SAVED, 1, tuple(self.endpoints_by_name.values())))

    def change_backend(self, number: int) -> None:
        name = f"s{number % 4}"
        state = list(EndpointState)[number % 3]
        started_us = self.now_us if number % 5 == 0 else self.endpoints_by_name[name].started_us
        self.endpoints_by_name[name] = replace(
            self.endpoints_by_name[name], state=state, started_us=started_us
        )
        self.handle(EndpointListReceived(EndpointListKind.CHANGES, 2, (self.endpoints_by_name[name],)))


def run_steps(may_hedge: bool, steps: list[tuple[int, int, int]]) -> InvariantChecker:
    driver = InvariantChecker(replace(SETTINGS, classes=CLASSES, plans=PLANS, may_hedge=may_hedge))
    for count, (kind, number, wait_units) in enumerate(steps):
        if kind <= 4:
            driver.send_request(
                f"q{count}",
                left_us=number * 100,
                class_index=kind,
                plan_index=number % 3,
                customer=f"c{number % 3}",
            )
        elif kind <= 7 and driver.in_flight:
            key = list(driver.in_flight)[number % len(driver.in_flight)]
            driver.finish_attempt(
                key, AttemptResult.OK if kind == 5 else FAILURE_RESULTS[number % len(FAILURE_RESULTS)]
            )
        elif kind == 8:
            driver.change_backend(number)
        elif number % 20 == 0:
            driver.restart()
        driver.advance_with_timeouts(wait_units * 250)
    driver.advance_with_timeouts(4 * SECOND_US)
    return driver


@settings(derandomize=True, max_examples=60, deadline=None, database=None)
@given(st.booleans(), st.lists(STEP_STRATEGY, min_size=5, max_size=50))
def test_invariants_hold_for_any_sequence_of_events(
    may_hedge: bool, steps: list[tuple[int, int, int]]
) -> None:
    driver = run_steps(may_hedge, steps)
    assert set(driver.requests) == driver.closed
    assert not driver.gateway.attempts.pending and not driver.gateway.queue.entries
