"""Simulation of many gateways with new and returning backends under a burst; counts attempts by backend.

The gateways are real, run on one clock and exchange messages. Backends follow a simple model: each has a
capacity in requests per second, and one in slow start has a fraction of it and is slower in proportion.
"""

import math
import random
from bisect import bisect_right
from dataclasses import replace

from molereach.policy.interface.actions import FailRequest, ForwardAttempt, Reject
from molereach.policy.interface.events import (
    AttemptResult,
    Endpoint,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    GossipReceived,
)
from molereach.policy.interface.settings import Plan, Settings
from tests.helpers import MILLISECOND_US, SECOND_US, SETTINGS, GatewayCluster, of_type

STEP_US = 10 * MILLISECOND_US
# Backends that run throughout, that join, and that restart
STEADY_BACKENDS, NEW_BACKENDS, RETURNING_BACKENDS = 8, 4, 3
CAPACITY = 12.0  # requests per second of a backend at full capacity
# Load as a fraction of the capacity of steady and returning backends, and its factor during slow start
LOAD, BURST = 0.55, 1.5
BEFORE_US, START_WINDOW_US, OBSERVED_US = 5 * SECOND_US, 3 * SECOND_US, 10 * SECOND_US
NOTIFICATION_WINDOW_US = 1 * SECOND_US  # all gateways get an endpoint list within this time
MALFORMED_PROBABILITY = 0.02  # of the answers
LATENCY_US = 80 * MILLISECOND_US


def max_attempts(n: float) -> float:
    """The bound on attempts in a window in which a backend bears `n`; allows for random variation."""
    return n + 2 * math.sqrt(n) + 2


class SlowStartCluster:
    """The simulation with one seed; `forwarded_at_us` holds the times of all attempts by backend."""

    def __init__(self, gateway_count: int, seed: int, **changes: object) -> None:
        self.random = random.Random(seed)
        self.settings: Settings = replace(
            SETTINGS,
            plans=(Plan(),),
            slow_start_fraction=0.25,
            slow_start_window_us=17 * SECOND_US,
            overload_multiple=2.5,
            **changes,
        )
        initial_endpoints = tuple(
            self.endpoint(number) for number in range(STEADY_BACKENDS + RETURNING_BACKENDS)
        )
        self.cluster = GatewayCluster(gateway_count, self.settings, initial_endpoints)
        for number, driver in enumerate(self.cluster.drivers):  # own random numbers for each gateway and seed
            driver.gateway.random.seed(seed * 1000 + number)
        self.started_at_us = self.now_us = self.cluster.drivers[0].now_us
        self.slow_start_from_us = self.started_at_us + BEFORE_US
        self.traffic_weights = [self.random.uniform(0.4, 2.5) for _ in range(gateway_count)]
        # Time, gateway, event
        self.scheduled_events: list[tuple[int, int, EndpointListReceived]] = []
        self.started: dict[str, int] = {}
        self.forwarded_at_us: dict[str, list[int]] = {}
        self.ended: dict[str, int] = {}

    def endpoint(self, number: int, started_us: int = 0) -> Endpoint:
        return Endpoint(f"s{number}", number % 2, 0, number // 2, EndpointState.UP, started_us=started_us)

    def schedule_starts(self) -> None:
        """Schedule the starts of new and returning backends; each gateway is notified with its own delay."""
        for number in range(STEADY_BACKENDS, STEADY_BACKENDS + RETURNING_BACKENDS + NEW_BACKENDS):
            started_us = self.slow_start_from_us + self.random.randrange(START_WINDOW_US)
            endpoint = self.endpoint(number, started_us)
            self.started[endpoint.name] = started_us
            event = EndpointListReceived(EndpointListKind.CHANGES, 2 + number, (endpoint,))
            self.scheduled_events += [
                (started_us + self.random.randrange(NOTIFICATION_WINDOW_US), gateway_index, event)
                for gateway_index in range(len(self.cluster.drivers))
            ]
        self.scheduled_events.sort(key=lambda scheduled: scheduled[:2])

    def capacity_fraction(self, name: str, now_us: int) -> float:
        if name not in self.started:
            return 1.0
        progress, initial_fraction = (
            (now_us - self.started[name]) / self.settings.slow_start_window_us,
            self.settings.slow_start_fraction,
        )
        return min(1.0, initial_fraction + (1 - initial_fraction) * max(0.0, progress))

    def run(self) -> "SlowStartCluster":
        self.schedule_starts()
        due_requests, request_number = 0.0, 0
        rate = LOAD * CAPACITY * (STEADY_BACKENDS + RETURNING_BACKENDS)
        while self.now_us < self.slow_start_from_us + START_WINDOW_US + OBSERVED_US:
            due_requests += (
                rate * (BURST if self.now_us >= self.slow_start_from_us else 1.0) * STEP_US / SECOND_US
            )
            while due_requests >= 1:
                due_requests, request_number = due_requests - 1, request_number + 1
                (gateway_index,) = self.random.choices(range(len(self.traffic_weights)), self.traffic_weights)
                self.cluster.send_request(
                    gateway_index, f"r{request_number}", customer=f"c{request_number % 500}"
                )
            while self.scheduled_events and self.scheduled_events[0][0] <= self.now_us:
                _, gateway_index, event = self.scheduled_events.pop(0)
                self.cluster.collect_messages(
                    gateway_index, self.cluster.drivers[gateway_index].handle(event)
                )
            self.end_attempts()
            self.advance()
        for driver in self.cluster.drivers:
            for forwarded_us, action in driver.log:
                if isinstance(action, ForwardAttempt):
                    self.forwarded_at_us.setdefault(action.endpoint, []).append(forwarded_us)
        return self

    def end_attempts(self) -> None:
        """End the attempts whose latency is over."""
        for gateway_index, driver in enumerate(self.cluster.drivers):
            for (name, attempt), (backend, forwarded_at_us, _) in list(driver.in_flight.items()):
                if self.now_us - forwarded_at_us >= LATENCY_US / self.capacity_fraction(backend, self.now_us):
                    result = (
                        AttemptResult.MALFORMED
                        if self.random.random() < MALFORMED_PROBABILITY
                        else AttemptResult.OK
                    )
                    self.cluster.collect_messages(gateway_index, driver.end_attempt(name, result, attempt))

    def advance(self) -> None:
        messages, self.cluster.messages = self.cluster.messages, []
        for sender, peer, contents in messages:
            self.cluster.collect_messages(
                peer, self.cluster.drivers[peer].handle(GossipReceived(sender, contents))
            )
        for gateway_index, driver in enumerate(self.cluster.drivers):
            self.cluster.collect_messages(gateway_index, driver.advance(STEP_US))
        self.now_us += STEP_US

    def given_up_count(self) -> int:
        return sum(
            len(of_type((Reject, FailRequest), [action for _, action in driver.log]))  # type: ignore[arg-type]
            for driver in self.cluster.drivers
        )

    def fullest_window(self, name: str) -> tuple[int, float, float]:
        """The window in which a backend in slow start came closest to its bound.

        Returns the attempts in it from all gateways, the number that the backend bears, and the attempts as a
        fraction of the bound. The backend's capacity is that at the start of the window, where it is lowest.
        """
        times = sorted(
            forwarded_us
            for forwarded_us in self.forwarded_at_us.get(name, ())
            if forwarded_us >= self.started[name]
        )
        fullest = (0, 0.0, 0.0)
        for index, forwarded_us in enumerate(times):
            window_start_us = max(self.started[name], forwarded_us - self.settings.overload_window_us)
            count = index + 1 - bisect_right(times, forwarded_us - self.settings.overload_window_us)
            n = (
                self.settings.overload_multiple
                * CAPACITY
                * self.capacity_fraction(name, window_start_us)
                * self.settings.overload_window_us
                / SECOND_US
            )
            if self.capacity_fraction(name, forwarded_us) < 1 and count / max_attempts(n) > fullest[2]:
                fullest = count, n, count / max_attempts(n)
        return fullest

    def fullest_windows(self) -> dict[str, tuple[int, float, float]]:
        return {name: self.fullest_window(name) for name in sorted(self.started)}
