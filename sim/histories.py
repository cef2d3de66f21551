"""Histories of limits in virtual time: front doors' cores, their clocks, a network that loses, doubles and
delays.

`ShareHistory` plays the shares of a ceiling alone, fast, with kills, stops, splits and old words, and
checks after each step that no share is counted twice and nothing goes beyond the ceiling. `QuotaHistory`
plays whole gateways, with limits or without, and measures what goes beyond a quota and how much of it is
granted. No sockets and no clock.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from molereach.limits.core import Limits
from molereach.limits.gossip_codec import LimitGossipCodec
from molereach.limits.loans import FULL_SHARE
from molereach.limits.settings import LimitSettings
from molereach.policy.gateway import Gateway
from molereach.policy.interface.actions import (
    Action,
    FailRequest,
    ForwardAttempt,
    Reject,
    SendGossip,
    SetTimer,
)
from molereach.policy.interface.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    RequestReceived,
    TimerExpired,
)
from molereach.policy.interface.messages import CustomerKey, LimitMessage
from molereach.policy.interface.settings import Plan, RequestClass, Settings
from molereach.protocol.gossip_codec import GossipCodec, QuotaGossipCodec

S, MS = 1_000_000, 1_000
TICK_US = 20 * MS
EPS = 1e-5  # units; words have steps of 0.02
LEAST_MAIL_US, MOST_MAIL_US, OLD_MAIL_US = 1_600, 39_000, 9 * S
SERVICE_US = 60 * MS
EPOCH_US = 10_000 * S  # what the clocks show about at the start

Make = Callable[[Settings], Limits]


@dataclass(slots=True)
class Mail:
    """How messages fare, as shares from 0 to 1."""

    loss: float = 0.0
    double: float = 0.0
    old: float = 0.0  # comes seconds late
    groups: tuple[frozenset[int], ...] = ()
    cut: frozenset[tuple[int, int]] = frozenset()  # links that carry nothing, one way: sender and receiver

    def joined(self, one: int, other: int) -> bool:
        split = self.groups and not any(one in group and other in group for group in self.groups)
        return not split and (one, other) not in self.cut


@dataclass(slots=True)
class Store:
    """What one front door that saw everything would have left: the judge."""

    rate: float
    burst: float
    level: float
    at: int
    lowest: float = 0.0
    taken: float = 0.0
    most_over: float = 0.0

    def take(self, now: int, units: float) -> None:
        self.level = min(self.burst, self.level + self.rate * (now - self.at) / S) - units
        self.at, self.taken = now, self.taken + units
        self.lowest = min(self.lowest, self.level)


class BrokenError(AssertionError):
    """An invariant does not hold; the text says which, when and by how much."""


@dataclass(slots=True)
class Node:
    """One front door: its clock, and whether it lives or is stopped."""

    number: int
    offset_us: int
    rate: float
    life: int = 0
    up: bool = True
    stopped: bool = False
    waiting: list[Callable[[], None]] = field(default_factory=list)  # what comes while it is stopped

    def clock(self, now: int) -> int:
        return EPOCH_US + self.offset_us + round(now * self.rate)


class History:
    """Events in virtual time for some front doors; what they are is said by who inherits."""

    def __init__(self, seed: int, doors: int, drift: float = 0.0, offset_us: int = 0) -> None:
        self.random, self.now, self.serial = Random(f"{seed}:history"), 0, itertools.count()
        self.mail, self.offset_us = Mail(), offset_us
        self.agenda: list[tuple[int, int, Callable[[], None]]] = []
        self.nodes = [
            Node(number, self.random.randint(-offset_us, offset_us), 1 + self.random.uniform(-drift, drift))
            for number in range(doors)
        ]
        self.messages = self.bytes = 0

    def at(self, when: int, what: Callable[[], None]) -> None:
        heapq.heappush(self.agenda, (when, next(self.serial), what))

    def run(self, until: int) -> None:
        while self.agenda and self.agenda[0][0] <= until:
            self.now, _, what = heapq.heappop(self.agenda)
            what()
        self.now = until

    def on(self, node: Node, what: Callable[[], None]) -> None:
        """Do something at a front door: at once, when it goes on, or never."""
        life = node.life

        def here() -> None:
            if node.up and node.life == life:
                what()

        if node.stopped:
            node.waiting.append(here)
        else:
            here()

    def stop(self, node: Node) -> None:
        node.stopped = True

    def resume(self, node: Node) -> None:
        node.stopped, waiting, node.waiting = False, node.waiting, []
        self.random.shuffle(waiting)  # a datagram and a request that both wait may be read in any order
        for what in waiting:
            what()

    def kill(self, node: Node, back_us: int) -> None:
        node.up, node.stopped, node.waiting, node.life = False, False, [], node.life + 1
        if self.offset_us and self.random.random() < 0.2:  # the machine starts anew as well, and its clock
            node.offset_us = self.random.randint(-self.offset_us, self.offset_us)
        self.at(self.now + back_us, lambda: self.start(node))

    def start(self, node: Node) -> None:
        raise NotImplementedError

    def post(self, sender: Node, peer: int, data: bytes) -> None:
        """A datagram on its way: it may be lost, come twice, late, or much too late."""
        self.messages, self.bytes = self.messages + 1, self.bytes + len(data)
        mail, random, receiver = self.mail, self.random, self.nodes[peer]
        if not mail.joined(sender.number, peer):
            return
        for _ in range(1 + (random.random() < mail.double)):
            if random.random() < mail.loss:
                continue
            most = OLD_MAIL_US if random.random() < mail.old else MOST_MAIL_US
            life_free = self.deliver(receiver, sender.number, data)
            self.at(self.now + random.randint(LEAST_MAIL_US, most), life_free)

    def deliver(self, receiver: Node, sender: int, data: bytes) -> Callable[[], None]:
        return lambda: self.on(receiver, lambda: self.hear(receiver, sender, data))

    def hear(self, receiver: Node, sender: int, data: bytes) -> None:
        raise NotImplementedError


class ShareHistory(History):
    """Shares of one customer's ceiling over random faults; `BrokenError` at the first wrong sum."""

    def __init__(self, seed: int, make: Make | None = None, figures: LimitSettings | None = None) -> None:
        draw = Random(f"{seed}:shares")
        lease_us, floor = draw.choice((S // 2, S, 2 * S)), draw.choice((0.0, 0.1, 0.3))
        self.figures = figures or LimitSettings(lease_us, drift=0.01, reserved_fraction=floor)
        doors = draw.randint(2, 5)
        super().__init__(seed, doors, self.figures.drift, draw.choice((0, S, 3600 * S)))
        self.plan = Plan(
            quota_rate=1.0,
            quota_burst=1.0,
            ceiling_rate=draw.uniform(5, 40),
            ceiling_burst=draw.uniform(10, 60),
            ceiling_slack=1.0,
        )
        size = draw.randint(2, doors)
        self.key = CustomerKey(draw.getrandbits(32), 0, draw.randrange(doors), size)
        self.members = [(self.key[2] + number) % doors for number in range(size)]
        self.make = make or (lambda settings: Limits(settings, self.figures))
        self.store = Store(self.plan.ceiling_rate, self.plan.ceiling_burst, self.plan.ceiling_burst, 0)
        self.limits: dict[int, Limits] = {}
        self.codecs: dict[int, LimitGossipCodec] = {}
        self.most_share = 0.0
        self.granted = self.steps = 0
        for node in self.nodes:
            self.start(node)

    def start(self, node: Node) -> None:
        node.up = True
        settings = Settings(
            seed=self.random.getrandbits(64),
            proxy_index=node.number,
            proxy_count=len(self.nodes),
            classes=(),
            plans=(self.plan,),
            may_gossip=True,
            gossip_messages_per_s=60.0,
        )
        limits = self.limits[node.number] = self.make(settings)
        self.codecs[node.number] = LimitGossipCodec(node.number, limits.incarnation)
        limits.start(node.clock(self.now))
        self.tick(node, node.life)

    def tick(self, node: Node, life: int) -> None:
        if not node.up or node.life != life:
            return
        self.on(node, lambda: self.tell(node))
        self.at(self.now + TICK_US, lambda: self.tick(node, life))

    def tell(self, node: Node) -> None:
        words: dict[int, list[LimitMessage]] = {}
        for peer, word in self.limits[node.number].due_messages(node.clock(self.now)):
            words.setdefault(peer, []).extend([word] if word else [])
        for peer, each in words.items():
            self.limits[node.number].mark_sent(node.clock(self.now), peer)
            for data in self.codecs[node.number].pack(peer, each):
                self.post(node, peer, data)
        self.check()

    def hear(self, receiver: Node, sender: int, data: bytes) -> None:
        if message := self.codecs[receiver.number].unpack(sender, data):
            self.limits[receiver.number].receive(receiver.clock(self.now), message)
            self.tell(receiver)

    def ask(self, node: Node, units: float) -> None:
        """A try comes: it is sent on if there is room, and the judge's store pays for it."""
        limits, now = self.limits[node.number], node.clock(self.now)
        limits.request_capacity(now, self.key, units)
        if limits.has_capacity(now, self.key, units):
            limits.consume(now, self.key, units)
            self.granted += 1
            self.store.take(self.now, units)
        self.tell(node)

    def check(self) -> None:
        self.steps += 1
        shares, stores = 0, 0.0
        for node in self.nodes:
            limits, clock = self.limits.get(node.number), node.clock(self.now)
            if node.up and limits and self.key in limits.escrow.accounts:
                account = limits.escrow.account(clock, self.key)
                assert account
                shares, stores = shares + account.usable_share(clock), stores + account.tokens
        self.store.take(self.now, 0.0)
        if stores > self.store.level + EPS:
            raise BrokenError(f"stores of {stores:.4f}, there are {self.store.level:.4f}, at {self.now} us")
        self.most_share = max(self.most_share, shares / FULL_SHARE)
        if shares > FULL_SHARE:
            raise BrokenError(f"shares of {shares / FULL_SHARE:.4f} of a ceiling at {self.now / S:.3f} s")

    def play(self, seconds: float = 12.0) -> "ShareHistory":
        """Draw traffic that moves, and faults; run to the end."""
        random, span = self.random, round(seconds * S)
        random_loss = random.choice((0.0, 0.1, 0.3, 0.5))
        self.mail = Mail(random_loss, random.choice((0.0, 0.2)), random.choice((0.0, 0.02)))
        at = 0
        while at < span:
            busy = self.nodes[random.choice(self.members)]
            until, gap = at + random.randint(S // 4, 3 * S), random.choice((15, 40, 150)) * MS
            while at < min(until, span):
                node = busy if random.random() < 0.9 else self.nodes[random.choice(self.members)]
                units = random.choice((1.0, 1.0, 3.0))
                self.at(
                    at,
                    lambda node=node, units=units: self.on(  # type: ignore[misc]
                        node, lambda: self.ask(node, units)
                    ),
                )
                at += random.randint(1, 2 * gap)
        for _ in range(random.randint(0, 8)):
            self.at(random.randrange(span), self.fault)
        self.run(span)
        return self

    def fault(self) -> None:
        random, node = self.random, self.random.choice(self.nodes)
        match random.choice(("kill", "kill", "stop", "split", "all")):
            case "kill" if node.up:
                self.kill(node, random.randint(50 * MS, 2 * S))
            case "stop" if node.up and not node.stopped:
                self.stop(node)
                life = node.life
                self.at(
                    self.now + random.randint(100 * MS, 10 * S),
                    lambda: self.resume(node) if node.life == life and node.stopped else None,
                )
            case "split":
                names = [each.number for each in self.nodes]
                random.shuffle(names)
                cut = random.randint(1, len(names) - 1)
                self.mail.groups = frozenset(names[:cut]), frozenset(names[cut:])
                self.at(self.now + random.randint(100 * MS, 6 * S), self.heal)
            case "all":
                for each in self.nodes:
                    if each.up:
                        self.kill(each, random.randint(50 * MS, 9 * S))

    def heal(self) -> None:
        self.mail.groups = ()


PLAN = Plan(quota_rate=12.0, quota_burst=24.0, ceiling_rate=24.0, ceiling_burst=36.0, ceiling_slack=4.0)
READS = RequestClass(latency_objective_us=750 * MS, deadline_us=2 * S)
FLEET = tuple(Endpoint(f"s-{number}", number % 3, 0, 0, EndpointState.UP) for number in range(24))


class QuotaHistory(History):
    """Whole gateways of one customer's set, with servers that always answer; with limits or as before."""

    def __init__(
        self,
        seed: int,
        doors: int = 3,
        with_limits: bool = True,
        plan: Plan = PLAN,
        figures: LimitSettings | None = None,
    ) -> None:
        super().__init__(seed, doors, 0.001, 3600 * S)
        self.with_limits, self.plan, self.figures = with_limits, plan, figures or LimitSettings()
        self.gateways: dict[int, Gateway] = {}
        self.forms: dict[int, GossipCodec] = {}
        self.customer = f"{self.random.getrandbits(33):016x}"
        # What the quota lets through, without a floor: below nothing is what went beyond it.
        self.quota = Store(plan.quota_rate, plan.quota_burst, plan.quota_burst, 0)
        self.ceiling = Store(plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_burst, 0)
        self.sent: list[tuple[int, int]] = []  # when and where each first attempt was sent on
        self.asked = self.refused = 0
        self.first: set[str] = set()
        for node in self.nodes:
            self.start(node)

    def start(self, node: Node) -> None:
        node.up = True
        settings = Settings(
            seed=self.random.getrandbits(64),
            proxy_index=node.number,
            proxy_count=len(self.nodes),
            classes=(READS,),
            plans=(self.plan,),
            max_attempts=3,
            may_gossip=True,
            gossip_messages_per_s=60.0,
        )
        limits = Limits(settings, self.figures) if self.with_limits else None
        self.forms[node.number] = (
            LimitGossipCodec(
                limits.proxy_index,
                limits.incarnation,
                limits.sends_totals,
                receives_from=limits.receives_from,
            )
            if limits
            else QuotaGossipCodec()
        )
        self.gateways[node.number] = Gateway(settings, limits)
        self.tell(node, EndpointListReceived(EndpointListKind.FULL, 1, FLEET))

    def tell(self, node: Node, event: Event) -> None:
        for action in self.gateways[node.number].handle(node.clock(self.now), event):
            self.act(node, action)

    def act(self, node: Node, action: Action) -> None:
        match action:
            case ForwardAttempt(name, server):
                if name not in self.first:
                    self.first.add(name)
                    self.sent.append((self.now, node.number))
                    self.quota.take(self.now, 1.0)
                    self.ceiling.take(self.now, 1.0)
                outcome = AttemptEnded(name, True, 0, server, AttemptResult.OK, SERVICE_US)
                self.later(node, SERVICE_US, outcome)
            case Reject() | FailRequest():
                self.refused += 1
            case SetTimer(delay_us, token):
                self.later(node, delay_us, TimerExpired(token))
            case SendGossip(peer, words):
                for data in self.forms[node.number].pack(peer, words):
                    self.post(node, peer, data)
            case _:
                pass

    def later(self, node: Node, delay_us: int, event: Event) -> None:
        life = node.life

        def come() -> None:
            if node.life == life:
                self.on(node, lambda: self.tell(node, event))

        self.at(self.now + round(delay_us / node.rate) + 2, come)  # never early by its own clock

    def hear(self, receiver: Node, sender: int, data: bytes) -> None:
        if message := self.forms[receiver.number].unpack(sender, data):
            self.tell(receiver, message)

    def ask(self, node: Node) -> None:
        self.asked += 1
        name = f"r{self.asked}"
        request = RequestReceived(name, 0, 0, self.customer, 1_900 * MS, 1.0, len(self.nodes), 0)
        self.on(node, lambda: self.tell(node, request))

    def load(self, since_us: int, until_us: int, rate: float, weights: list[float]) -> None:
        """Tries at `rate` a second from one time to another, dealt to the front doors by weight."""
        at = float(since_us)
        while (at := at + self.random.expovariate(rate) * S) < until_us:
            node = self.random.choices(self.nodes, weights)[0]
            self.at(round(at), lambda node=node: self.ask(node))  # type: ignore[misc]

    def sent_between(self, since_us: int, until_us: int) -> int:
        return sum(since_us <= at < until_us for at, _ in self.sent)
