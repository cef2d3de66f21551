"""A day on which many gateways meet new and returned servers under a burst; what they send in all, by server.

The gateways themselves on one clock, with the messages between them. Servers answer by a plain model: each
has its capacity in requests a second, of which a cold one has its part, and takes longer by that.
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
STEADY_BACKENDS, NEW_BACKENDS, RETURNING_BACKENDS = (
    8,
    4,
    3,
)  # servers that stay, that join, and that come back cold
CAPACITY = 12.0  # requests of mean work a second that a warm server can do
LOAD, BURST = 0.55, 1.5  # of what stays and comes back; and times that, while servers are cold
BEFORE_US, START_SPREAD_US, OBSERVED_US = 5 * SECOND_US, 3 * SECOND_US, 10 * SECOND_US
NOTIFICATION_SPREAD_US = 1 * SECOND_US  # the list comes to each gateway within that time of the others
MALFORMED_PROBABILITY = 0.02  # of the answers
LATENCY_US = 80 * MILLISECOND_US


def max_attempts(n: float) -> float:
    """What a cold server bears in the time that settings name, where they allow it N: the rest is chance."""
    return n + 2 * math.sqrt(n) + 2


class SlowStartCluster:
    """So many gateways through the day of a seed; `sent` are the times of all attempts by server."""

    def __init__(self, gateways: int, seed: int, **changes: object) -> None:
        self.random = random.Random(seed)
        self.settings: Settings = replace(
            SETTINGS,
            plans=(Plan(),),
            slow_start_fraction=0.25,
            slow_start_window_us=17 * SECOND_US,
            overload_multiple=2.5,
            **changes,
        )
        old = tuple(self.endpoint(number) for number in range(STEADY_BACKENDS + RETURNING_BACKENDS))
        self.cluster = GatewayCluster(gateways, self.settings, old)
        for number, driver in enumerate(self.cluster.drivers):  # chance of their own, also from seed to seed
            driver.gateway.random.seed(seed * 1000 + number)
        self.started_at_us = self.now_us = self.cluster.drivers[0].now_us
        self.slow_start_from_us = self.started_at_us + BEFORE_US
        self.traffic_weights = [self.random.uniform(0.4, 2.5) for _ in range(gateways)]
        self.scheduled_events: list[
            tuple[int, int, EndpointListReceived]
        ] = []  # when which gateway is told what
        self.started: dict[str, int] = {}
        self.forwarded_at_us: dict[str, list[int]] = {}
        self.ended: dict[str, int] = {}

    def endpoint(self, number: int, started_us: int = 0) -> Endpoint:
        return Endpoint(f"s{number}", number % 2, 0, number // 2, EndpointState.UP, started_us=started_us)

    def schedule_starts(self) -> None:
        """New ones and returned ones start within some time; every gateway hears of each in its own time."""
        for number in range(STEADY_BACKENDS, STEADY_BACKENDS + RETURNING_BACKENDS + NEW_BACKENDS):
            at_us = self.slow_start_from_us + self.random.randrange(START_SPREAD_US)
            entry = self.endpoint(number, at_us)
            self.started[entry.name] = at_us
            news = EndpointListReceived(EndpointListKind.CHANGES, 2 + number, (entry,))
            self.scheduled_events += [
                (at_us + self.random.randrange(NOTIFICATION_SPREAD_US), me, news)
                for me in range(len(self.cluster.drivers))
            ]
        self.scheduled_events.sort(key=lambda due: due[:2])

    def capacity_fraction(self, name: str, now: int) -> float:
        if name not in self.started:
            return 1.0
        age, cold = (
            (now - self.started[name]) / self.settings.slow_start_window_us,
            self.settings.slow_start_fraction,
        )
        return min(1.0, cold + (1 - cold) * max(0.0, age))

    def run(self) -> "SlowStartCluster":
        self.schedule_starts()
        asked, serial = 0.0, 0
        rate = LOAD * CAPACITY * (STEADY_BACKENDS + RETURNING_BACKENDS)
        while self.now_us < self.slow_start_from_us + START_SPREAD_US + OBSERVED_US:
            asked += rate * (BURST if self.now_us >= self.slow_start_from_us else 1.0) * STEP_US / SECOND_US
            while asked >= 1:
                asked, serial = asked - 1, serial + 1
                (me,) = self.random.choices(range(len(self.traffic_weights)), self.traffic_weights)
                self.cluster.send_request(me, f"r{serial}", customer=f"c{serial % 500}")
            while self.scheduled_events and self.scheduled_events[0][0] <= self.now_us:
                _, me, news = self.scheduled_events.pop(0)
                self.cluster.collect_messages(me, self.cluster.drivers[me].handle(news))
            self.end_attempts()
            self.advance()
        for driver in self.cluster.drivers:
            for at, action in driver.log:
                if isinstance(action, ForwardAttempt):
                    self.forwarded_at_us.setdefault(action.endpoint, []).append(at)
        return self

    def end_attempts(self) -> None:
        """What has been out for long enough is answered."""
        for me, driver in enumerate(self.cluster.drivers):
            for (name, attempt), (server, sent, _) in list(driver.in_flight.items()):
                if self.now_us - sent >= LATENCY_US / self.capacity_fraction(server, self.now_us):
                    result = (
                        AttemptResult.MALFORMED
                        if self.random.random() < MALFORMED_PROBABILITY
                        else AttemptResult.OK
                    )
                    self.cluster.collect_messages(me, driver.end_attempt(name, result, attempt))

    def advance(self) -> None:
        posted, self.cluster.messages = self.cluster.messages, []
        for sender, peer, words in posted:
            self.cluster.collect_messages(
                peer, self.cluster.drivers[peer].handle(GossipReceived(sender, words))
            )
        for me, driver in enumerate(self.cluster.drivers):
            self.cluster.collect_messages(me, driver.advance(STEP_US))
        self.now_us += STEP_US

    def given_up_count(self) -> int:
        return sum(
            len(of_type((Reject, FailRequest), [action for _, action in driver.log]))  # type: ignore[arg-type]
            for driver in self.cluster.drivers
        )

    def fullest_window(self, name: str) -> tuple[int, float, float]:
        """Of the windows of a cold server, that with the largest part of its bound: attempts in it from all
        gateways, N, and that part. N goes by the warmth at the window's start, the least."""
        times = sorted(at for at in self.forwarded_at_us.get(name, ()) if at >= self.started[name])
        most = (0, 0.0, 0.0)
        for last, at in enumerate(times):
            since = max(self.started[name], at - self.settings.overload_window_us)
            count = last + 1 - bisect_right(times, at - self.settings.overload_window_us)
            n = (
                self.settings.overload_multiple
                * CAPACITY
                * self.capacity_fraction(name, since)
                * self.settings.overload_window_us
                / SECOND_US
            )
            if self.capacity_fraction(name, at) < 1 and count / max_attempts(n) > most[2]:
                most = count, n, count / max_attempts(n)
        return most

    def fullest_windows(self) -> dict[str, tuple[int, float, float]]:
        return {name: self.fullest_window(name) for name in sorted(self.started)}
