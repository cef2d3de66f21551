"""A small driver for the module: settings, a server list and the bookkeeping of a fair world."""

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

MS, S = 1_000, 1_000_000
SAFE = RequestClass(latency_objective_us=2 * S, deadline_us=6 * S)
PLAN = Plan(quota_rate=10.0, quota_burst=20.0)
SETTINGS = Settings(
    seed=7,
    proxy_index=0,
    proxy_count=1,
    classes=(SAFE,),
    plans=(PLAN,),
    max_attempts=3,
    may_cancel=True,
    may_gossip=True,
    gossip_messages_per_s=100.0,
    max_retry_after_us=500 * MS,
    slow_start_fraction=0.2,
    slow_start_window_us=10 * S,
    overload_multiple=2.0,
    overload_window_us=S,
    answer_grace_us=8 * MS,
)


def servers(count: int, **changes: object) -> tuple[Endpoint, ...]:
    return tuple(
        replace(Endpoint(f"s{n}", n % 2, 0, n // 2, EndpointState.UP), **changes) for n in range(count)
    )


class World:
    """One gateway with the clock, the timers and the attempts that are out."""

    def __init__(self, settings: Settings = SETTINGS, fleet: Iterable[Endpoint] = servers(4)) -> None:
        self.now = 100 * S
        self.gateway = Gateway(settings)
        self.timers: list[tuple[int, int]] = []
        self.log: list[tuple[int, Action]] = []
        self.out: dict[tuple[str, int], tuple[str, int, int]] = {}
        self.tries: dict[str, int] = {}
        self.tell(EndpointListReceived(EndpointListKind.SAVED, 1, tuple(fleet)))

    def tell(self, event: Event) -> list[Action]:
        actions = self.gateway.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay_us, action.token))
            if isinstance(action, ForwardAttempt):
                number = self.tries.get(action.request_id, 0)
                self.tries[action.request_id] = number + 1
                self.out[(action.request_id, number)] = (action.endpoint, self.now, action.timeout_us)
        return actions

    def run(self, time_us: int) -> list[Action]:
        """Let time pass; the actions that timers brought."""
        end, start = self.now + time_us, len(self.log)
        while self.timers and min(self.timers)[0] <= end:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = due[0]
            self.tell(TimerExpired(due[1]))
        self.now = end
        return [action for _, action in self.log[start:]]

    def ask(self, name: str, left_us: int = 6 * S, **values: object) -> list[Action]:
        request = RequestReceived(name, 0, 0, "c", left_us)
        return self.tell(replace(request, **values))

    def answer(
        self,
        name: str,
        result: AttemptResult = AttemptResult.OK,
        attempt: int = 0,
        report: LoadReport | None = None,
    ) -> list[Action]:
        server, sent, _ = self.out.pop((name, attempt))
        over = result is AttemptResult.OK
        event = AttemptEnded(name, over, attempt, server, result, self.now - sent, load_report=report)
        return self.tell(event)


def of(kind: type, actions: Iterable[Action]) -> list[Action]:
    return [action for action in actions if isinstance(action, kind)]


class Set:
    """Several gateways that a customer's requests come through, with the messages between them."""

    def __init__(
        self,
        count: int,
        settings: Settings = SETTINGS,
        fleet: Iterable[Endpoint] = servers(4),
        loss: float = 0.0,
    ) -> None:
        self.worlds = [
            World(replace(settings, proxy_index=n, proxy_count=count, seed=n), fleet) for n in range(count)
        ]
        self.posted: list[tuple[int, int, tuple[GossipMessage, ...]]] = []
        self.random, self.loss, self.down = random.Random(3), loss, -1

    def carry(self, sender: int, actions: Iterable[Action]) -> None:
        self.posted += [(sender, action.peer, action.messages) for action in of(SendGossip, actions)]

    def ask(self, me: int, name: str, **values: object) -> None:
        self.carry(me, self.worlds[me].ask(name, set_size=len(self.worlds), **values))

    def run(self, time_us: int) -> None:
        """Time goes by in steps of 10 ms: what was posted arrives, what is out is served."""
        for _ in range(time_us // (10 * MS)):
            posted, self.posted = self.posted, []
            for sender, peer, words in posted:
                if self.random.random() >= self.loss and self.down not in (sender, peer):
                    self.carry(peer, self.worlds[peer].tell(GossipReceived(sender, words)))
            for me, world in enumerate(self.worlds):
                self.carry(me, world.run(10 * MS))
                for name, attempt in list(world.out):
                    world.answer(name, attempt=attempt)

    def sent(self) -> int:
        return sum(isinstance(action, ForwardAttempt) for world in self.worlds for _, action in world.log)
