"""Random histories of limits in virtual time, over the front doors' decision code.

There are no sockets and no real clocks. Each front door has a clock of its own; the network loses, duplicates
and delays messages. `ShareHistory` runs only the shares of one ceiling, with kills, stops, partitions and
stale messages. After each step it checks that no share is counted twice and that the ceiling is kept.
`QuotaHistory` runs whole gateways, with or without limits, and measures the units beyond a quota and how much
of it is granted.
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

SECOND_US, MILLISECOND_US = 1_000_000, 1_000
TICK_US = 20 * MILLISECOND_US
EPSILON_UNITS = 1e-5  # well below the 0.02 units that messages resolve
MIN_DELAY_US, MAX_DELAY_US, MAX_STALE_DELAY_US = 1_600, 39_000, 9 * SECOND_US
SERVICE_US = 60 * MILLISECOND_US
EPOCH_US = 10_000 * SECOND_US  # approximate clock reading at the start

LimitsFactory = Callable[[Settings], Limits]


@dataclass(slots=True)
class NetworkConditions:
    """Probabilities of message faults, and which links carry messages."""

    loss: float = 0.0
    duplicate: float = 0.0
    stale: float = 0.0  # delayed by up to MAX_STALE_DELAY_US
    groups: tuple[frozenset[int], ...] = ()  # a partition into these groups; none: no partition
    blocked_links: frozenset[tuple[int, int]] = frozenset()  # one-way: (sender, receiver)

    def connects(self, one: int, other: int) -> bool:
        """Whether a message from the first front door can reach the second."""
        split = self.groups and not any(one in group and other in group for group in self.groups)
        return not split and (one, other) not in self.blocked_links


@dataclass(slots=True)
class ReferenceBucket:
    """A reference token bucket that sees all requests; its level falls below 0 when the limit is exceeded."""

    rate: float
    burst: float
    level: float
    updated_us: int
    lowest_level: float = 0.0
    taken: float = 0.0
    max_excess: float = 0.0

    def take(self, now: int, units: float) -> None:
        """Refill up to `now` and take units."""
        self.level = min(self.burst, self.level + self.rate * (now - self.updated_us) / SECOND_US) - units
        self.updated_us, self.taken = now, self.taken + units
        self.lowest_level = min(self.lowest_level, self.level)


class InvariantError(AssertionError):
    """An invariant is violated; the text says which one, when and by how much."""


@dataclass(slots=True)
class Node:
    """A simulated front door: its clock, and whether it is up or stopped."""

    number: int
    offset_us: int
    rate: float
    incarnation: int = 0
    up: bool = True
    stopped: bool = False
    pending: list[Callable[[], None]] = field(default_factory=list)  # callbacks due while it is stopped

    def clock(self, now: int) -> int:
        """The reading of this front door's clock."""
        return EPOCH_US + self.offset_us + round(now * self.rate)


class History:
    """A virtual-time event queue for front doors; subclasses define what a front door does."""

    def __init__(self, seed: int, doors: int, drift: float = 0.0, offset_us: int = 0) -> None:
        self.random, self.now, self.event_serial = Random(f"{seed}:history"), 0, itertools.count()
        self.network, self.offset_us = NetworkConditions(), offset_us
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.nodes = [
            Node(number, self.random.randint(-offset_us, offset_us), 1 + self.random.uniform(-drift, drift))
            for number in range(doors)
        ]
        self.messages = self.bytes = 0

    def call_at(self, when: int, callback: Callable[[], None]) -> None:
        """Schedule a callback."""
        heapq.heappush(self.events, (when, next(self.event_serial), callback))

    def run_until(self, until: int) -> None:
        """Run the events due by `until`, and set the time to it."""
        while self.events and self.events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        self.now = until

    def run_on(self, node: Node, callback: Callable[[], None]) -> None:
        """Run a callback on a front door now or when it resumes; drop it if the front door is down then."""
        incarnation = node.incarnation

        def run_if_alive() -> None:
            if node.up and node.incarnation == incarnation:
                callback()

        if node.stopped:
            node.pending.append(run_if_alive)
        else:
            run_if_alive()

    def stop(self, node: Node) -> None:
        """Pause a front door; its callbacks are kept."""
        node.stopped = True

    def resume(self, node: Node) -> None:
        """Resume a stopped front door with its pending callbacks in random order."""
        node.stopped, pending, node.pending = False, node.pending, []
        self.random.shuffle(pending)  # pending datagrams and requests may be read in any order
        for callback in pending:
            callback()

    def kill(self, node: Node, back_us: int) -> None:
        """Kill a front door and restart it after `back_us`."""
        node.up, node.stopped, node.pending, node.incarnation = False, False, [], node.incarnation + 1
        if (
            self.offset_us and self.random.random() < 0.2
        ):  # the machine restarts too, and its clock is set anew
            node.offset_us = self.random.randint(-self.offset_us, self.offset_us)
        self.call_at(self.now + back_us, lambda: self.start(node))

    def start(self, node: Node) -> None:
        """Start a front door with no state from earlier incarnations."""
        raise NotImplementedError

    def send_datagram(self, sender: Node, peer: int, data: bytes) -> None:
        """Send a datagram, which may be lost, duplicated, delayed or become stale."""
        self.messages, self.bytes = self.messages + 1, self.bytes + len(data)
        network, random, receiver = self.network, self.random, self.nodes[peer]
        if not network.connects(sender.number, peer):
            return
        for _ in range(1 + (random.random() < network.duplicate)):
            if random.random() < network.loss:
                continue
            max_delay_us = MAX_STALE_DELAY_US if random.random() < network.stale else MAX_DELAY_US
            delivery = self.delivery(receiver, sender.number, data)
            self.call_at(self.now + random.randint(MIN_DELAY_US, max_delay_us), delivery)

    def delivery(self, receiver: Node, sender: int, data: bytes) -> Callable[[], None]:
        """A callback that hands a datagram to its receiver."""
        return lambda: self.run_on(receiver, lambda: self.receive(receiver, sender, data))

    def receive(self, receiver: Node, sender: int, data: bytes) -> None:
        """Handle a datagram at its receiver."""
        raise NotImplementedError


class ShareHistory(History):
    """Shares of one ceiling under random faults; raises `InvariantError` at the first wrong sum."""

    def __init__(
        self,
        seed: int,
        limits_factory: LimitsFactory | None = None,
        limit_settings: LimitSettings | None = None,
    ) -> None:
        draw = Random(f"{seed}:shares")
        lease_us, floor = (
            draw.choice((SECOND_US // 2, SECOND_US, 2 * SECOND_US)),
            draw.choice((0.0, 0.1, 0.3)),
        )
        self.limit_settings = limit_settings or LimitSettings(lease_us, drift=0.01, reserved_fraction=floor)
        doors = draw.randint(2, 5)
        super().__init__(
            seed, doors, self.limit_settings.drift, draw.choice((0, SECOND_US, 3600 * SECOND_US))
        )
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
        self.limits_factory = limits_factory or (lambda settings: Limits(settings, self.limit_settings))
        self.reference = ReferenceBucket(
            self.plan.ceiling_rate, self.plan.ceiling_burst, self.plan.ceiling_burst, 0
        )
        self.limits: dict[int, Limits] = {}
        self.codecs: dict[int, LimitGossipCodec] = {}
        self.max_share = 0.0
        self.granted = self.checks = 0
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
        limits = self.limits[node.number] = self.limits_factory(settings)
        self.codecs[node.number] = LimitGossipCodec(node.number, limits.incarnation)
        limits.start(node.clock(self.now))
        self.tick(node, node.incarnation)

    def tick(self, node: Node, incarnation: int) -> None:
        """Send due messages periodically, until the front door is killed."""
        if not node.up or node.incarnation != incarnation:
            return
        self.run_on(node, lambda: self.send_due(node))
        self.call_at(self.now + TICK_US, lambda: self.tick(node, incarnation))

    def send_due(self, node: Node) -> None:
        """Send the messages that are due, and check the invariants."""
        by_peer: dict[int, list[LimitMessage]] = {}
        for peer, message in self.limits[node.number].due_messages(node.clock(self.now)):
            by_peer.setdefault(peer, []).extend([message] if message else [])
        for peer, messages in by_peer.items():
            self.limits[node.number].mark_sent(node.clock(self.now), peer)
            for data in self.codecs[node.number].pack(peer, messages):
                self.send_datagram(node, peer, data)
        self.check()

    def receive(self, receiver: Node, sender: int, data: bytes) -> None:
        if message := self.codecs[receiver.number].unpack(sender, data):
            self.limits[receiver.number].receive(receiver.clock(self.now), message)
            self.send_due(receiver)

    def request(self, node: Node, units: float) -> None:
        """Request capacity; a granted request is also taken from the reference bucket."""
        limits, now = self.limits[node.number], node.clock(self.now)
        limits.request_capacity(now, self.key, units)
        if limits.has_capacity(now, self.key, units):
            limits.consume(now, self.key, units)
            self.granted += 1
            self.reference.take(self.now, units)
        self.send_due(node)

    def check(self) -> None:
        """Raise `InvariantError` if tokens or shares add up to more than there are."""
        self.checks += 1
        total_share, total_tokens = 0, 0.0
        for node in self.nodes:
            limits, clock = self.limits.get(node.number), node.clock(self.now)
            if node.up and limits and self.key in limits.escrow.accounts:
                account = limits.escrow.account(clock, self.key)
                assert account
                total_share, total_tokens = (
                    total_share + account.usable_share(clock),
                    total_tokens + account.tokens,
                )
        self.reference.take(self.now, 0.0)
        if total_tokens > self.reference.level + EPSILON_UNITS:
            raise InvariantError(
                f"{total_tokens:.4f} tokens held, {self.reference.level:.4f} available, at {self.now} us"
            )
        self.max_share = max(self.max_share, total_share / FULL_SHARE)
        if total_share > FULL_SHARE:
            raise InvariantError(
                f"shares of {total_share / FULL_SHARE:.4f} of a ceiling at {self.now / SECOND_US:.3f} s"
            )

    def play(self, seconds: float = 12.0) -> "ShareHistory":
        """Draw shifting traffic and faults, and run to the end."""
        random, span = self.random, round(seconds * SECOND_US)
        loss = random.choice((0.0, 0.1, 0.3, 0.5))
        self.network = NetworkConditions(loss, random.choice((0.0, 0.2)), random.choice((0.0, 0.02)))
        at_us = 0
        while at_us < span:
            busy = self.nodes[random.choice(self.members)]
            until, gap = (
                at_us + random.randint(SECOND_US // 4, 3 * SECOND_US),
                random.choice((15, 40, 150)) * MILLISECOND_US,
            )
            while at_us < min(until, span):
                node = busy if random.random() < 0.9 else self.nodes[random.choice(self.members)]
                units = random.choice((1.0, 1.0, 3.0))
                self.call_at(
                    at_us,
                    lambda node=node, units=units: self.run_on(  # type: ignore[misc]
                        node, lambda: self.request(node, units)
                    ),
                )
                at_us += random.randint(1, 2 * gap)
        for _ in range(random.randint(0, 8)):
            self.call_at(random.randrange(span), self.inject_fault)
        self.run_until(span)
        return self

    def inject_fault(self) -> None:
        """Inject a random fault."""
        random, node = self.random, self.random.choice(self.nodes)
        match random.choice(("kill", "kill", "stop", "split", "all")):
            case "kill" if node.up:
                self.kill(node, random.randint(50 * MILLISECOND_US, 2 * SECOND_US))
            case "stop" if node.up and not node.stopped:
                self.stop(node)
                incarnation = node.incarnation
                self.call_at(
                    self.now + random.randint(100 * MILLISECOND_US, 10 * SECOND_US),
                    lambda: self.resume(node) if node.incarnation == incarnation and node.stopped else None,
                )
            case "split":
                numbers = [other.number for other in self.nodes]
                random.shuffle(numbers)
                split_at = random.randint(1, len(numbers) - 1)
                self.network.groups = frozenset(numbers[:split_at]), frozenset(numbers[split_at:])
                self.call_at(self.now + random.randint(100 * MILLISECOND_US, 6 * SECOND_US), self.heal)
            case "all":
                for other in self.nodes:
                    if other.up:
                        self.kill(other, random.randint(50 * MILLISECOND_US, 9 * SECOND_US))

    def heal(self) -> None:
        """End a partition."""
        self.network.groups = ()


PLAN = Plan(quota_rate=12.0, quota_burst=24.0, ceiling_rate=24.0, ceiling_burst=36.0, ceiling_slack=4.0)
READ_CLASS = RequestClass(latency_objective_us=750 * MILLISECOND_US, deadline_us=2 * SECOND_US)
BACKENDS = tuple(Endpoint(f"s-{number}", number % 3, 0, 0, EndpointState.UP) for number in range(24))


class QuotaHistory(History):
    """Gateways that serve one customer, with or without limits; servers always answer successfully."""

    def __init__(
        self,
        seed: int,
        doors: int = 3,
        with_limits: bool = True,
        plan: Plan = PLAN,
        limit_settings: LimitSettings | None = None,
    ) -> None:
        super().__init__(seed, doors, 0.001, 3600 * SECOND_US)
        self.with_limits, self.plan, self.limit_settings = (
            with_limits,
            plan,
            limit_settings or LimitSettings(),
        )
        self.gateways: dict[int, Gateway] = {}
        self.codecs: dict[int, GossipCodec] = {}
        self.customer = f"{self.random.getrandbits(33):016x}"
        # A level below 0 is the number of units beyond the quota.
        self.quota = ReferenceBucket(plan.quota_rate, plan.quota_burst, plan.quota_burst, 0)
        self.ceiling = ReferenceBucket(plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_burst, 0)
        self.sent: list[tuple[int, int]] = []  # time and front door of each first attempt
        self.requested = self.rejected = 0
        self.forwarded: set[str] = set()
        for node in self.nodes:
            self.start(node)

    def start(self, node: Node) -> None:
        node.up = True
        settings = Settings(
            seed=self.random.getrandbits(64),
            proxy_index=node.number,
            proxy_count=len(self.nodes),
            classes=(READ_CLASS,),
            plans=(self.plan,),
            max_attempts=3,
            may_gossip=True,
            gossip_messages_per_s=60.0,
        )
        limits = Limits(settings, self.limit_settings) if self.with_limits else None
        self.codecs[node.number] = (
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
        self.handle_event(node, EndpointListReceived(EndpointListKind.FULL, 1, BACKENDS))

    def handle_event(self, node: Node, event: Event) -> None:
        """Hand an event to a gateway and perform its actions."""
        for action in self.gateways[node.number].handle(node.clock(self.now), event):
            self.perform(node, action)

    def perform(self, node: Node, action: Action) -> None:
        """Perform an action of a gateway."""
        match action:
            case ForwardAttempt(name, server):
                if name not in self.forwarded:
                    self.forwarded.add(name)
                    self.sent.append((self.now, node.number))
                    self.quota.take(self.now, 1.0)
                    self.ceiling.take(self.now, 1.0)
                outcome = AttemptEnded(name, True, 0, server, AttemptResult.OK, SERVICE_US)
                self.schedule_event(node, SERVICE_US, outcome)
            case Reject() | FailRequest():
                self.rejected += 1
            case SetTimer(delay_us, token):
                self.schedule_event(node, delay_us, TimerExpired(token))
            case SendGossip(peer, messages):
                for data in self.codecs[node.number].pack(peer, messages):
                    self.send_datagram(node, peer, data)
            case _:
                pass

    def schedule_event(self, node: Node, delay_us: int, event: Event) -> None:
        """Deliver an event after a delay by the front door's clock, unless it is killed first."""
        incarnation = node.incarnation

        def deliver_event() -> None:
            if node.incarnation == incarnation:
                self.run_on(node, lambda: self.handle_event(node, event))

        self.call_at(
            self.now + round(delay_us / node.rate) + 2, deliver_event
        )  # rounded up, so that it is never early by its own clock

    def receive(self, receiver: Node, sender: int, data: bytes) -> None:
        if message := self.codecs[receiver.number].unpack(sender, data):
            self.handle_event(receiver, message)

    def send_request(self, node: Node) -> None:
        """Send a request of the customer to a front door."""
        self.requested += 1
        name = f"r{self.requested}"
        request = RequestReceived(name, 0, 0, self.customer, 1_900 * MILLISECOND_US, 1.0, len(self.nodes), 0)
        self.run_on(node, lambda: self.handle_event(node, request))

    def load(self, since_us: int, until_us: int, rate: float, weights: list[float]) -> None:
        """Schedule requests at `rate` per second between two times, spread over the front doors by weight."""
        at_us = float(since_us)
        while (at_us := at_us + self.random.expovariate(rate) * SECOND_US) < until_us:
            node = self.random.choices(self.nodes, weights)[0]
            self.call_at(round(at_us), lambda node=node: self.send_request(node))  # type: ignore[misc]

    def count_sent(self, since_us: int, until_us: int) -> int:
        """Number of first attempts sent between two times."""
        return sum(since_us <= sent_us < until_us for sent_us, _ in self.sent)
