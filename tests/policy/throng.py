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
from tests.helpers import MS, SETTINGS, S, Set, of

STEP_US = 10 * MS
WARM, NEW, BACK = 8, 4, 3  # servers that stay, that join, and that come back cold
CAPACITY = 12.0  # requests of mean work a second that a warm server can do
LOAD, BURST = 0.55, 1.5  # of what stays and comes back; and times that, while servers are cold
BEFORE_US, COLD_AT_US, LASTS_US = 5 * S, 3 * S, 10 * S
TELLING_US = 1 * S  # the list comes to each gateway within that time of the others
SPOILT = 0.02  # of the answers
LATENCY_US = 80 * MS


def bound(n: float) -> float:
    """What a cold server bears in the time that settings name, where they allow it N: the rest is chance."""
    return n + 2 * math.sqrt(n) + 2


class Throng:
    """So many gateways through the day of a seed; `sent` are the times of all attempts by server."""

    def __init__(self, gateways: int, seed: int, **changes: object) -> None:
        self.random = random.Random(seed)
        self.settings: Settings = replace(
            SETTINGS,
            plans=(Plan(),),
            slow_start_fraction=0.25,
            slow_start_window_us=17 * S,
            overload_multiple=2.5,
            **changes,
        )
        old = tuple(self.server(number) for number in range(WARM + BACK))
        self.set = Set(gateways, self.settings, old)
        for number, world in enumerate(self.set.worlds):  # chance of their own, also from seed to seed
            world.gateway.random.seed(seed * 1000 + number)
        self.begins_us = self.now = self.set.worlds[0].now
        self.cold_us = self.begins_us + BEFORE_US
        self.shares = [self.random.uniform(0.4, 2.5) for _ in range(gateways)]
        self.due: list[tuple[int, int, EndpointListReceived]] = []  # when which gateway is told what
        self.started: dict[str, int] = {}
        self.sent: dict[str, list[int]] = {}
        self.ended: dict[str, int] = {}

    def server(self, number: int, started_us: int = 0) -> Endpoint:
        return Endpoint(f"s{number}", number % 2, 0, number // 2, EndpointState.UP, started_us=started_us)

    def come_cold(self) -> None:
        """New ones and returned ones start within some time; every gateway hears of each in its own time."""
        for number in range(WARM, WARM + BACK + NEW):
            at_us = self.cold_us + self.random.randrange(COLD_AT_US)
            entry = self.server(number, at_us)
            self.started[entry.name] = at_us
            news = EndpointListReceived(EndpointListKind.CHANGES, 2 + number, (entry,))
            self.due += [
                (at_us + self.random.randrange(TELLING_US), me, news) for me in range(len(self.set.worlds))
            ]
        self.due.sort(key=lambda due: due[:2])

    def warmth(self, name: str, now: int) -> float:
        if name not in self.started:
            return 1.0
        age, cold = (
            (now - self.started[name]) / self.settings.slow_start_window_us,
            self.settings.slow_start_fraction,
        )
        return min(1.0, cold + (1 - cold) * max(0.0, age))

    def play(self) -> "Throng":
        self.come_cold()
        asked, serial = 0.0, 0
        rate = LOAD * CAPACITY * (WARM + BACK)
        while self.now < self.cold_us + COLD_AT_US + LASTS_US:
            asked += rate * (BURST if self.now >= self.cold_us else 1.0) * STEP_US / S
            while asked >= 1:
                asked, serial = asked - 1, serial + 1
                (me,) = self.random.choices(range(len(self.shares)), self.shares)
                self.set.ask(me, f"r{serial}", customer=f"c{serial % 500}")
            while self.due and self.due[0][0] <= self.now:
                _, me, news = self.due.pop(0)
                self.set.carry(me, self.set.worlds[me].tell(news))
            self.answer()
            self.pass_time()
        for world in self.set.worlds:
            for at, action in world.log:
                if isinstance(action, ForwardAttempt):
                    self.sent.setdefault(action.endpoint, []).append(at)
        return self

    def answer(self) -> None:
        """What has been out for long enough is answered."""
        for me, world in enumerate(self.set.worlds):
            for (name, attempt), (server, sent, _) in list(world.out.items()):
                if self.now - sent >= LATENCY_US / self.warmth(server, self.now):
                    result = AttemptResult.MALFORMED if self.random.random() < SPOILT else AttemptResult.OK
                    self.set.carry(me, world.answer(name, result, attempt))

    def pass_time(self) -> None:
        posted, self.set.posted = self.set.posted, []
        for sender, peer, words in posted:
            self.set.carry(peer, self.set.worlds[peer].tell(GossipReceived(sender, words)))
        for me, world in enumerate(self.set.worlds):
            self.set.carry(me, world.run(STEP_US))
        self.now += STEP_US

    def refused(self) -> int:
        return sum(
            len(of((Reject, FailRequest), [action for _, action in world.log]))  # type: ignore[arg-type]
            for world in self.set.worlds
        )

    def fullest(self, name: str) -> tuple[int, float, float]:
        """Of the windows of a cold server, that with the largest part of its bound: attempts in it from all
        gateways, N, and that part. N goes by the warmth at the window's start, the least."""
        times = sorted(at for at in self.sent.get(name, ()) if at >= self.started[name])
        most = (0, 0.0, 0.0)
        for last, at in enumerate(times):
            since = max(self.started[name], at - self.settings.overload_window_us)
            count = last + 1 - bisect_right(times, at - self.settings.overload_window_us)
            n = (
                self.settings.overload_multiple
                * CAPACITY
                * self.warmth(name, since)
                * self.settings.overload_window_us
                / S
            )
            if self.warmth(name, at) < 1 and count / bound(n) > most[2]:
                most = count, n, count / bound(n)
        return most

    def table(self) -> dict[str, tuple[int, float, float]]:
        return {name: self.fullest(name) for name in sorted(self.started)}
