"""A seeded simulation of a cluster of membership cores, with faults of connections and nodes.

All messages are encoded and decoded. After a stall a node receives the delayed messages all at once, with its
late Tick either before or after them; a slow node handles every event late.
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
    """One instance of a proxy."""

    core: Membership
    delay_us: int = 0
    stalled_until_us: int = 0
    delayed: list[Event] = field(default_factory=list)  # events that arrived during a stall
    tick_us: int = NEVER_US
    killed: bool = False
    superseded: bool = False
    sent_message_count: int = 0
    max_local_health_score: int = 0
    changes: list[tuple[int, MemberStatusChanged]] = field(default_factory=list)

    @property
    def name(self) -> str:
        return self.core.local.name

    def declared_dead_us(self, instance: NodeInstance) -> int | None:
        """When this node declared the instance dead; None if it does not consider it dead."""
        statuses = [(at_us, change.status) for at_us, change in self.changes if change.instance == instance]
        return statuses[-1][0] if statuses and statuses[-1][1] is MemberStatus.DEAD else None

    def ever_changed_to(self, status: MemberStatus) -> set[str]:
        return {change.instance.name for _, change in self.changes if change.status is status}


class SimulatedCluster:
    """The running nodes by name, and the simulated time, which never decreases."""

    def __init__(self, seed: int, settings: MembershipSettings = SETTINGS) -> None:
        self.random = random.Random(seed)
        self.settings = settings
        self.now_us = 0
        self.last_event_number = 0
        self.heap: list[tuple[int, int, Node, Event]] = []
        self.nodes: dict[str, Node] = {}
        self.duplicates: list[Node] = []  # further processes with the name of another node
        self.start_count = 0
        self.failed_connections: set[tuple[str, str]] = set()  # (sender, recipient)
        self.partition: dict[str, int] = {}  # side of each name; connections between sides fail
        self.loss = 0.0
        self.longest_message_bytes = 0

    # --- nodes ---

    def start(self, name: str, seeds: tuple[str, ...] = (), number: int | None = None) -> Node:
        self.start_count += 1
        local = NodeInstance(name, self.start_count if number is None else number)
        node = self.nodes[name] = Node(Membership(local, self.settings, self.random.random))
        self.deliver(node, Join(seeds))
        return node

    def start_group(self, size: int, intervals: int = 60) -> list[Node]:
        """Start nodes that join through seeds, and run until they all know each other."""
        for number in range(size):
            self.start(f"d{number:03}", tuple(f"d{seed:03}" for seed in range(min(3, number + 1))))
            self.run(1)
        self.run(intervals)
        nodes = list(self.nodes.values())
        assert all(len(node.core.live_instances()) == size for node in nodes)
        for node in nodes:
            node.changes.clear()
            node.sent_message_count = 0
        return nodes

    def start_preconnected_group(self, size: int) -> list[Node]:
        """Start nodes and deliver the full list to each, which is faster than joining for large groups."""
        nodes = [self.start(f"d{number:03}") for number in range(size)]
        groups = split_rumours([node.core._states.local_rumour() for node in nodes])
        for node in nodes:
            for group in groups:
                self.deliver(
                    node,
                    MessageReceived(nodes[0 if node is not nodes[0] else 1].core.local, Sync(group)),
                )
            node.core._states.gossip.transmissions.clear()
        assert all(len(node.core.live_instances()) == size for node in nodes)
        for node in nodes:
            node.changes.clear()
        return nodes

    def kill(self, name: str) -> None:
        self.nodes.pop(name).killed = True

    def stall(self, name: str, duration_us: int) -> None:
        self.nodes[name].stalled_until_us = self.now_us + duration_us
        self.schedule(self.now_us + duration_us, self.nodes[name], TICK)

    def leave(self, name: str) -> None:
        self.deliver(self.nodes[name], Leave())

    # --- time ---

    def schedule(self, at_us: int, node: Node, event: Event) -> None:
        self.last_event_number += 1
        heapq.heappush(self.heap, (at_us, self.last_event_number, node, event))

    def run(self, intervals: float) -> None:
        end_us = self.now_us + round(intervals * INTERVAL_US)
        while self.heap and self.heap[0][0] <= end_us:
            self.now_us, _, node, event = heapq.heappop(self.heap)
            self.receive_event(node, event)
        self.now_us = end_us

    def receive_event(self, node: Node, event: Event) -> None:
        if node.killed or node.superseded:
            return
        if self.now_us < node.stalled_until_us:
            if event is not TICK:
                node.delayed.append(event)
            return
        if node.delayed:
            delayed = node.delayed
            node.delayed = []
            for waiting in [TICK, *delayed] if self.random.random() < 0.5 else [*delayed, TICK]:
                self.deliver(node, waiting)
        if event is not TICK or node.core.wake_us <= self.now_us:
            self.deliver(node, event)

    def deliver(self, node: Node, event: Event) -> None:
        if node.killed or node.superseded:
            return
        for action in node.core.handle(self.now_us, event):
            match action:
                case SendMessage():
                    self.transmit(node, action)
                case MemberStatusChanged():
                    node.changes.append((self.now_us, action))
                case Superseded():
                    node.superseded = True
                case LocalHealthChanged():
                    node.max_local_health_score = max(node.max_local_health_score, action.score)
        wake = node.core.wake_us
        if wake != node.tick_us and wake < NEVER_US:
            self.schedule(max(self.now_us, wake) + node.delay_us, node, TICK)
        node.tick_us = wake

    def transmit(self, node: Node, action: SendMessage) -> None:
        data = encode(action.message)
        node.sent_message_count += 1
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
        self.schedule(self.now_us + delay_us, recipient, MessageReceived(node.core.local, decode(data)))

    # --- assertions ---

    def views_agree(self) -> bool:
        """Whether all nodes consider exactly the running nodes live."""
        instances = tuple(sorted(node.core.local for node in self.nodes.values()))
        return all(node.core.live_instances() == instances for node in self.nodes.values())

    def run_until_agreed(self, intervals: int) -> int:
        """Run until all nodes agree; returns the intervals taken. Raises AssertionError at the limit."""
        for interval in range(intervals):
            if self.views_agree():
                return interval
            self.run(1)
        raise AssertionError({name: node.core.live_instances() for name, node in self.nodes.items()})

    def ever_changed_to(self, status: MemberStatus) -> set[str]:
        return set().union(*(node.ever_changed_to(status) for node in self.nodes.values()))


__all__ = ["INTERVAL_US", "SECOND_US", "SETTINGS", "MemberStatus", "Node", "SimulatedCluster"]
