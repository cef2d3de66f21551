"""Drivers for gateways: settings, an endpoint list, a clock and the attempts in flight."""

import random
from collections.abc import Iterable
from dataclasses import replace

from molereach.policy.gateway import Gateway
from molereach.policy.interface.actions import Action, ForwardAttempt, SendGossip, SetTimer
from molereach.policy.interface.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    GossipReceived,
    LoadReport,
    RequestReceived,
    TimerExpired,
)
from molereach.policy.interface.messages import GossipMessage
from molereach.policy.interface.settings import Plan, RequestClass, Settings

MILLISECOND_US, SECOND_US = 1_000, 1_000_000
IDEMPOTENT = RequestClass(latency_objective_us=2 * SECOND_US, deadline_us=6 * SECOND_US)
PLAN = Plan(quota_rate=10.0, quota_burst=20.0)
SETTINGS = Settings(
    seed=7,
    proxy_index=0,
    proxy_count=1,
    classes=(IDEMPOTENT,),
    plans=(PLAN,),
    max_attempts=3,
    may_cancel=True,
    may_gossip=True,
    gossip_messages_per_s=100.0,
    max_retry_after_us=500 * MILLISECOND_US,
    slow_start_fraction=0.2,
    slow_start_window_us=10 * SECOND_US,
    overload_multiple=2.0,
    overload_window_us=SECOND_US,
    answer_grace_us=8 * MILLISECOND_US,
)


def endpoints(count: int, **changes: object) -> tuple[Endpoint, ...]:
    """Backends that are up, in two zones and in cells of two."""
    return tuple(
        replace(Endpoint(f"s{n}", n % 2, 0, n // 2, EndpointState.UP), **changes) for n in range(count)
    )


class GatewayDriver:
    """One gateway with its clock, its timers and its attempts in flight."""

    def __init__(self, settings: Settings = SETTINGS, fleet: Iterable[Endpoint] = endpoints(4)) -> None:
        self.now_us = 100 * SECOND_US
        self.gateway = Gateway(settings)
        self.timers: list[tuple[int, int]] = []
        self.log: list[tuple[int, Action]] = []
        self.in_flight: dict[tuple[str, int], tuple[str, int, int]] = {}
        self.attempt_counts: dict[str, int] = {}
        self.handle(EndpointListReceived(EndpointListKind.SAVED, 1, tuple(fleet)))

    def handle(self, event: Event) -> list[Action]:
        """Give the gateway an event; the actions that it returns."""
        actions = self.gateway.handle(self.now_us, event)
        for action in actions:
            self.log.append((self.now_us, action))
            if isinstance(action, SetTimer):
                self.timers.append((self.now_us + action.delay_us, action.token))
            if isinstance(action, ForwardAttempt):
                number = self.attempt_counts.get(action.request_id, 0)
                self.attempt_counts[action.request_id] = number + 1
                self.in_flight[(action.request_id, number)] = (
                    action.endpoint,
                    self.now_us,
                    action.timeout_us,
                )
        return actions

    def advance(self, time_us: int) -> list[Action]:
        """Let time pass; the actions that expired timers brought."""
        end_us = self.now_us + time_us
        start = len(self.log)
        while self.timers and min(self.timers)[0] <= end_us:
            due = min(self.timers)
            self.timers.remove(due)
            self.now_us = due[0]
            self.handle(TimerExpired(due[1]))
        self.now_us = end_us
        return [action for _, action in self.log[start:]]

    def send_request(self, name: str, left_us: int = 6 * SECOND_US, **values: object) -> list[Action]:
        """A request of that id arrives; `values` are other fields of the event."""
        request = RequestReceived(name, 0, 0, "c", left_us)
        return self.handle(replace(request, **values))

    def end_attempt(
        self,
        name: str,
        result: AttemptResult = AttemptResult.OK,
        attempt: int = 0,
        report: LoadReport | None = None,
    ) -> list[Action]:
        """An attempt in flight ends; a successful one closes its request."""
        endpoint, forwarded_at_us, _ = self.in_flight.pop((name, attempt))
        is_closed = result is AttemptResult.OK
        latency_us = self.now_us - forwarded_at_us
        event = AttemptEnded(name, is_closed, attempt, endpoint, result, latency_us, load_report=report)
        return self.handle(event)


def of_type(kind: type, actions: Iterable[Action]) -> list[Action]:
    """The actions of one type."""
    return [action for action in actions if isinstance(action, kind)]


class GatewayCluster:
    """Several gateways that receive a customer's requests, with the messages between them.

    `loss` is the probability that a message is lost, `down` a gateway that no message reaches, or -1.
    """

    def __init__(
        self,
        count: int,
        settings: Settings = SETTINGS,
        fleet: Iterable[Endpoint] = endpoints(4),
        loss: float = 0.0,
    ) -> None:
        self.drivers = [
            GatewayDriver(replace(settings, proxy_index=n, proxy_count=count, seed=n), fleet)
            for n in range(count)
        ]
        self.messages: list[tuple[int, int, tuple[GossipMessage, ...]]] = []
        self.random = random.Random(3)
        self.loss = loss
        self.down = -1

    def collect_messages(self, sender: int, actions: Iterable[Action]) -> None:
        """Take the messages among a gateway's actions."""
        self.messages += [(sender, action.peer, action.messages) for action in of_type(SendGossip, actions)]

    def send_request(self, me: int, name: str, **values: object) -> None:
        self.collect_messages(me, self.drivers[me].send_request(name, set_size=len(self.drivers), **values))

    def advance(self, time_us: int) -> None:
        """Let time pass in steps of 10 ms: messages arrive, attempts in flight succeed."""
        for _ in range(time_us // (10 * MILLISECOND_US)):
            sent = self.messages
            self.messages = []
            for sender, peer, messages in sent:
                if self.random.random() >= self.loss and self.down not in (sender, peer):
                    self.collect_messages(peer, self.drivers[peer].handle(GossipReceived(sender, messages)))
            for me, driver in enumerate(self.drivers):
                self.collect_messages(me, driver.advance(10 * MILLISECOND_US))
                for name, attempt in list(driver.in_flight):
                    driver.end_attempt(name, attempt=attempt)

    def forwarded_count(self) -> int:
        """The attempts forwarded so far by all."""
        return sum(isinstance(action, ForwardAttempt) for driver in self.drivers for _, action in driver.log)
