"""Drives gateways in tests: settings, an endpoint list, a clock and the attempts in flight."""

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
    """Create endpoints of backends that are up, in two zones and in cells of two."""
    return tuple(
        replace(Endpoint(f"s{index}", index % 2, 0, index // 2, EndpointState.UP), **changes)
        for index in range(count)
    )


class GatewayDriver:
    """One gateway, with a simulated clock, its timers and its attempts in flight."""

    def __init__(
        self, settings: Settings = SETTINGS, initial_endpoints: Iterable[Endpoint] = endpoints(4)
    ) -> None:
        self.now_us = 100 * SECOND_US
        self.gateway = Gateway(settings)
        self.timers: list[tuple[int, int]] = []
        self.log: list[tuple[int, Action]] = []
        self.in_flight: dict[tuple[str, int], tuple[str, int, int]] = {}
        self.attempt_counts: dict[str, int] = {}
        self.handle(EndpointListReceived(EndpointListKind.SAVED, 1, tuple(initial_endpoints)))

    def handle(self, event: Event) -> list[Action]:
        """Have the gateway handle an event; record and return its actions."""
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
        """Advance the clock; return the actions of the timers that expired."""
        end_us = self.now_us + time_us
        start = len(self.log)
        while self.timers and min(self.timers)[0] <= end_us:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now_us = timer[0]
            self.handle(TimerExpired(timer[1]))
        self.now_us = end_us
        return [action for _, action in self.log[start:]]

    def send_request(
        self, request_id: str, remaining_us: int = 6 * SECOND_US, **changes: object
    ) -> list[Action]:
        """Have the gateway receive a request; `changes` are other fields of the event."""
        request = RequestReceived(request_id, 0, 0, "c", remaining_us)
        return self.handle(replace(request, **changes))

    def end_attempt(
        self,
        request_id: str,
        result: AttemptResult = AttemptResult.OK,
        attempt: int = 0,
        report: LoadReport | None = None,
    ) -> list[Action]:
        """End an attempt in flight; a successful one closes its request."""
        endpoint, forwarded_at_us, _ = self.in_flight.pop((request_id, attempt))
        is_closed = result is AttemptResult.OK
        latency_us = self.now_us - forwarded_at_us
        event = AttemptEnded(request_id, is_closed, attempt, endpoint, result, latency_us, load_report=report)
        return self.handle(event)


def of_type(action_type: type, actions: Iterable[Action]) -> list[Action]:
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, action_type)]


class GatewayCluster:
    """Several gateways that receive the requests of a customer and exchange gossip.

    `loss` is the probability that a message is lost; `down` is the index of a gateway that is unreachable for
    all others, or -1.
    """

    def __init__(
        self,
        count: int,
        settings: Settings = SETTINGS,
        initial_endpoints: Iterable[Endpoint] = endpoints(4),
        loss: float = 0.0,
    ) -> None:
        self.drivers = [
            GatewayDriver(
                replace(settings, proxy_index=index, proxy_count=count, seed=index), initial_endpoints
            )
            for index in range(count)
        ]
        self.messages: list[tuple[int, int, tuple[GossipMessage, ...]]] = []
        self.random = random.Random(3)
        self.loss = loss
        self.down = -1

    def collect_messages(self, sender: int, actions: Iterable[Action]) -> None:
        """Collect the messages among the actions of a gateway, to be delivered when the clock advances."""
        self.messages += [(sender, action.peer, action.messages) for action in of_type(SendGossip, actions)]

    def send_request(self, index: int, request_id: str, **changes: object) -> None:
        """Have a gateway receive a request of the customer."""
        self.collect_messages(
            index, self.drivers[index].send_request(request_id, set_size=len(self.drivers), **changes)
        )

    def advance(self, time_us: int) -> None:
        """Advance the clocks in steps of 10 ms: messages arrive, and attempts in flight succeed."""
        for _ in range(time_us // (10 * MILLISECOND_US)):
            sent = self.messages
            self.messages = []
            for sender, peer, messages in sent:
                if self.random.random() >= self.loss and self.down not in (sender, peer):
                    self.collect_messages(peer, self.drivers[peer].handle(GossipReceived(sender, messages)))
            for index, driver in enumerate(self.drivers):
                self.collect_messages(index, driver.advance(10 * MILLISECOND_US))
                for request_id, attempt in list(driver.in_flight):
                    driver.end_attempt(request_id, attempt=attempt)

    def forwarded_count(self) -> int:
        """Return the number of attempts that all gateways have forwarded so far."""
        return sum(isinstance(action, ForwardAttempt) for driver in self.drivers for _, action in driver.log)
