"""Legal but odd sequences of events must never break a rule."""

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
UNRUN = (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED)
FAILURES = (*UNRUN, AttemptResult.ERROR, AttemptResult.RESET)
STEP = st.tuples(st.integers(0, 9), st.integers(0, 10_000), st.integers(0, 400))


class Referee(GatewayDriver):
    """A world that checks each action against the rules."""

    def __init__(self, conf: Settings) -> None:
        self.requests: dict[str, tuple[RequestReceived, int]] = {}
        self.over: set[str] = set()
        self.might: dict[str, list[tuple[str, int]]] = {}
        self.states = {server.name: server for server in endpoints(4)}
        self.store, self.store_at = 10.0, 100 * SECOND_US
        super().__init__(conf)

    def handle(self, event: Event) -> list[Action]:
        if isinstance(event, RequestReceived):
            self.requests[event.request_id] = (event, self.now_us)
        actions = super().handle(event)
        for action in actions:
            if isinstance(action, ForwardAttempt):
                self.check_send(action)
            elif isinstance(action, Reject | FailRequest):
                self.check_end(action)
        return actions

    def check_send(self, action: ForwardAttempt) -> None:
        request, _ = self.requests[action.request_id]
        rule, before = CLASSES[request.class_index], self.might.setdefault(action.request_id, [])
        assert action.request_id not in self.over
        assert self.states[action.endpoint].state is EndpointState.UP
        outs = [key for key in self.in_flight if key[0] == action.request_id]
        assert len(outs) == 1 or (self.gateway.settings.may_hedge and len(outs) == 2)
        if before and rule.idempotency is not Idempotency.IDEMPOTENT:
            assert rule.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
            first, place = self.states[before[0][0]], self.states[action.endpoint]
            assert rule.deduplication_scope is not DeduplicationScope.ZONE or first.zone == place.zone
            assert rule.deduplication_scope is not DeduplicationScope.CELL or first.cell == place.cell
            assert self.now_us < before[0][1] + rule.deduplication_window_us
        if not before and self.attempt_counts[action.request_id] == 1 and request.plan_index == 2:
            self.store = (
                min(10.0, self.store + 12.0 * (self.now_us - self.store_at) / SECOND_US) - request.units
            )
            self.store_at = self.now_us
            assert self.store >= -1.0
        before.append((action.endpoint, self.now_us))

    def check_end(self, action: Reject | FailRequest) -> None:
        request, came = self.requests[action.request_id]
        rule = CLASSES[request.class_index]
        assert action.request_id not in self.over
        self.over.add(action.request_id)
        assert self.now_us <= came + request.remaining_us + 8 * MILLISECOND_US
        if isinstance(action, Reject) and self.might.get(action.request_id):
            keyed = (
                rule.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
                and rule.deduplication_scope is DeduplicationScope.ALL
            )
            assert rule.idempotency is Idempotency.IDEMPOTENT or keyed

    def settle(self, key: tuple[str, int], result: AttemptResult) -> None:
        """An attempt ends; one that a proof says never ran no longer binds its request."""
        server, sent, _ = self.in_flight.pop(key)
        if result in UNRUN:
            self.might[key[0]].remove((server, sent))
        over = key[0] in self.over or result is AttemptResult.OK
        if result is AttemptResult.OK:
            self.over.add(key[0])
        self.handle(AttemptEnded(key[0], over, key[1], server, result, self.now_us - sent))

    def pass_time(self, time_us: int) -> None:
        """Time goes by in steps of a millisecond, with time-outs where they fall due."""
        end = self.now_us + time_us
        while self.now_us < end:
            self.advance(min(MILLISECOND_US, end - self.now_us))
            for key, (_, sent, timeout) in list(self.in_flight.items()):
                request, came = self.requests[key[0]]
                if self.now_us >= min(sent + timeout, came + request.remaining_us) and key in self.in_flight:
                    self.settle(key, AttemptResult.TIMEOUT)

    def restart(self) -> None:
        """The gateway is killed: its requests are void, and it starts again knowing only its list."""
        self.over.update(self.requests)
        self.in_flight.clear()
        self.timers.clear()
        self.gateway = type(self.gateway)(self.gateway.settings)
        self.handle(EndpointListReceived(EndpointListKind.SAVED, 1, tuple(self.states.values())))

    def change_server(self, number: int) -> None:
        name = f"s{number % 4}"
        state = list(EndpointState)[number % 3]
        started = self.now_us if number % 5 == 0 else self.states[name].started_us
        self.states[name] = replace(self.states[name], state=state, started_us=started)
        self.handle(EndpointListReceived(EndpointListKind.CHANGES, 2, (self.states[name],)))


def play(parallel: bool, steps: list[tuple[int, int, int]]) -> Referee:
    driver = Referee(replace(SETTINGS, classes=CLASSES, plans=PLANS, may_hedge=parallel))
    for count, (kind, number, wait) in enumerate(steps):
        if kind <= 4:
            driver.send_request(
                f"q{count}",
                remaining_us=number * 100,
                class_index=kind,
                plan_index=number % 3,
                customer=f"c{number % 3}",
            )
        elif kind <= 7 and driver.in_flight:
            key = list(driver.in_flight)[number % len(driver.in_flight)]
            driver.settle(key, AttemptResult.OK if kind == 5 else FAILURES[number % len(FAILURES)])
        elif kind == 8:
            driver.change_server(number)
        elif number % 20 == 0:
            driver.restart()
        driver.pass_time(wait * 250)
    driver.pass_time(4 * SECOND_US)
    return driver


@settings(derandomize=True, max_examples=60, deadline=None, database=None)
@given(st.booleans(), st.lists(STEP, min_size=5, max_size=50))
def test_rules_hold_whatever_comes(parallel: bool, steps: list[tuple[int, int, int]]) -> None:
    driver = play(parallel, steps)
    assert set(driver.requests) == driver.over
    assert not driver.gateway.attempts.pending and not driver.gateway.queue.entries
