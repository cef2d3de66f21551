"""A simulated cluster of membership cores: one heap of deliveries, faults by connection and node, a seed.

All messages pass through the wire's encoding. A node that stalls gets its messages late and all at once, and
its Tick late too, before or after them; a slow one handles everything late.
"""

import heapq
import random
from dataclasses import dataclass, field

from molereach.coordination.interface.core import NEVER_US, MessageReceived, SendMessage, Tick
from molereach.coordination.interface.identifiers import SECOND_US, NodeInstance
from molereach.coordination.membership.core import Event, Membership
from molereach.coordination.membership.events import (
    Join,
    Leave,
    LocalHealthChanged,
    MemberStatusChanged,
    Superseded,
)
from molereach.coordination.membership.messages import MemberStatus, Sync, decode, encode, split_rumours
from molereach.coordination.membership.settings import MembershipSettings

SETTINGS = MembershipSettings()
INTERVAL_US = SETTINGS.probe_interval_us
TICK = Tick()


@dataclass(eq=False)
class Node:
    """One instance of one proxy."""

    core: Membership
    delay_us: int = 0
    stalled_until_us: int = 0
    delayed: list[Event] = field(default_factory=list)  # events that wait while it stalls
    tick_at: int = NEVER_US
    killed: bool = False
    superseded: bool = False
    sent_messages: int = 0
    max_local_health_score: int = 0
    changes: list[tuple[int, MemberStatusChanged]] = field(default_factory=list)

    @property
    def name(self) -> str:
        return self.core.local.name

    def dead_at(self, instance: NodeInstance) -> int | None:
        """When it last declared that instance dead, or None while it does not."""
        statuses = [(at, change.status) for at, change in self.changes if change.instance == instance]
        return statuses[-1][0] if statuses and statuses[-1][1] is MemberStatus.DEAD else None

    def ever_changed_to(self, status: MemberStatus) -> set[str]:
        return {change.instance.name for _, change in self.changes if change.status is status}


class SimulatedCluster:
    """Nodes by name; `now` only grows."""

    def __init__(self, seed: int, settings: MembershipSettings = SETTINGS) -> None:
        self.random = random.Random(seed)
        self.settings = settings
        self.now = 0
        self.order = 0
        self.heap: list[tuple[int, int, Node, Event]] = []
        self.nodes: dict[str, Node] = {}
        self.duplicates: list[Node] = []  # further processes under a name that another one has
        self.started = 0
        self.failed_connections: set[tuple[str, str]] = set()  # from and to
        self.partition: dict[str, int] = {}  # sides by name; connections between sides fail
        self.loss = 0.0
        self.longest_message_bytes = 0

    # --- nodes ---

    def start(self, name: str, seeds: tuple[str, ...] = (), number: int | None = None) -> Node:
        self.started += 1
        local = NodeInstance(name, self.started if number is None else number)
        node = self.nodes[name] = Node(Membership(local, self.settings, self.random.random))
        self.give(node, Join(seeds))
        return node

    def group(self, size: int, intervals: int = 60) -> list[Node]:
        """So many that know one another, with no changes recorded and no rumours queued."""
        for number in range(size):
            self.start(f"d{number:03}", tuple(f"d{seed:03}" for seed in range(min(3, number + 1))))
            self.run(1)
        self.run(intervals)
        nodes = list(self.nodes.values())
        assert all(len(node.core.live_instances()) == size for node in nodes)
        for node in nodes:
            node.changes.clear()
            node.sent_messages = 0
        return nodes

    def preconnected_group(self, size: int) -> list[Node]:
        """The same for many, who learn of one another at once."""
        nodes = [self.start(f"d{number:03}") for number in range(size)]
        groups = split_rumours([node.core._states.local_rumour() for node in nodes])
        for node in nodes:
            for group in groups:
                self.give(
                    node, MessageReceived(nodes[0 if node is not nodes[0] else 1].core.local, Sync(group))
                )
            node.core._states.gossip.transmissions.clear()
        assert all(len(node.core.live_instances()) == size for node in nodes)
        for node in nodes:
            node.changes.clear()
        return nodes

    def kill(self, name: str) -> None:
        self.nodes.pop(name).killed = True

    def stall(self, name: str, us: int) -> None:
        self.nodes[name].stalled_until_us = self.now + us
        self.push(self.now + us, self.nodes[name], TICK)

    def leave(self, name: str) -> None:
        self.give(self.nodes[name], Leave())

    # --- time ---

    def push(self, at: int, node: Node, event: Event) -> None:
        self.order += 1
        heapq.heappush(self.heap, (at, self.order, node, event))

    def run(self, intervals: float) -> None:
        end_us = self.now + round(intervals * INTERVAL_US)
        while self.heap and self.heap[0][0] <= end_us:
            self.now, _, node, event = heapq.heappop(self.heap)
            self.arrive(node, event)
        self.now = end_us

    def arrive(self, node: Node, event: Event) -> None:
        if node.killed or node.superseded:
            return
        if self.now < node.stalled_until_us:
            if event is not TICK:
                node.delayed.append(event)
            return
        if node.delayed:
            delayed = node.delayed
            node.delayed = []
            for waiting in [TICK, *delayed] if self.random.random() < 0.5 else [*delayed, TICK]:
                self.give(node, waiting)
        if event is not TICK or node.core.wake_us <= self.now:
            self.give(node, event)

    def give(self, node: Node, event: Event) -> None:
        if node.killed or node.superseded:
            return
        for action in node.core.handle(self.now, event):
            match action:
                case SendMessage():
                    self.transmit(node, action)
                case MemberStatusChanged():
                    node.changes.append((self.now, action))
                case Superseded():
                    node.superseded = True
                case LocalHealthChanged():
                    node.max_local_health_score = max(node.max_local_health_score, action.score)
        wake = node.core.wake_us
        if wake != node.tick_at and wake < NEVER_US:
            self.push(max(self.now, wake) + node.delay_us, node, TICK)
        node.tick_at = wake

    def transmit(self, node: Node, action: SendMessage) -> None:
        data = encode(action.message)
        node.sent_messages += 1
        self.longest_message_bytes = max(self.longest_message_bytes, len(data))
        candidates = [
            candidate
            for candidate in (self.nodes.get(action.recipient), *self.duplicates)
            if candidate and candidate.name == action.recipient
        ]
        recipients = [
            candidate
            for candidate in candidates
            if action.instance_number in (None, candidate.core.local.number)
        ]
        if not recipients:
            return
        recipient = max(recipients, key=lambda candidate: candidate.core.local.number)
        if (node.name, recipient.name) in self.failed_connections or self.partition.get(
            node.name
        ) != self.partition.get(recipient.name):
            return
        if self.random.random() < self.loss:
            return
        delay_us = self.random.randint(1_000, 25_000) + recipient.delay_us
        self.push(self.now + delay_us, recipient, MessageReceived(node.core.local, decode(data)))

    # --- what is asserted ---

    def is_agreed(self) -> bool:
        """Whether all hold exactly the running nodes for live."""
        instances = tuple(sorted(node.core.local for node in self.nodes.values()))
        return all(node.core.live_instances() == instances for node in self.nodes.values())

    def run_until_agreed(self, intervals: int) -> int:
        """Intervals until all agree; AssertionError if that takes longer."""
        for interval in range(intervals):
            if self.is_agreed():
                return interval
            self.run(1)
        raise AssertionError({name: node.core.live_instances() for name, node in self.nodes.items()})

    def ever_changed_to(self, status: MemberStatus) -> set[str]:
        return set().union(*(node.ever_changed_to(status) for node in self.nodes.values()))


__all__ = ["INTERVAL_US", "SECOND_US", "SETTINGS", "MemberStatus", "Node", "SimulatedCluster"]
