"""A seeded simulation of dissemination cores in virtual time.

Connections fail, proxies stall or are killed, and cluster states differ between proxies. The log and the
lease manager are replaced by simple stand-ins.
"""

import heapq
import random
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from molereach.coordination.dissemination.core import DisseminationTree
from molereach.coordination.dissemination.messages import (
    ClusterState,
    DownstreamUpdate,
    EntriesReceived,
    FetchEntries,
    GrantsIssued,
    LocalGrants,
    LogAdvanced,
    ParentChanged,
    RenewalGrant,
    RenewalRequest,
    RenewalWanted,
    RequestsCollected,
    UpstreamReport,
)
from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.interface.core import NEVER_US, MessageReceived, SendMessage, Tick
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import Entry

INTERVAL_US = DisseminationSettings().heartbeat_interval_us
LEASE_MANAGER_DELAY_US = 40_000  # from collected requests to issued grants


def make_entry(position: int, body: bytes = b"{}") -> Entry:
    return Entry(position, "m", f"id{position}", NodeInstance("door-000", 1), position, body)


@dataclass
class Node:
    core: DisseminationTree
    applied_position: int = 0
    requested_us: dict[int, int] = field(default_factory=dict)  # by request number
    granted_us: dict[int, int] = field(default_factory=dict)
    last_request_number: int = 0
    stalled_until_us: int = 0
    killed: bool = False
    delayed_events: list[Any] = field(default_factory=list)
    tick_us: int = NEVER_US
    applied_us: dict[int, int] = field(default_factory=dict)


class SimulatedTree:
    """The proxies, the network between them, and counts of their messages."""

    def __init__(self, count: int, seed: int = 1, delay_us: int = 20_000, jitter_us: int = 0) -> None:
        self.random = random.Random(seed)
        self.delay_us, self.jitter_us, self.loss = delay_us, jitter_us, 0.0
        self.failed_connections: set[tuple[str, str]] = set()
        self.now_us = 0
        self.heap: list[tuple[int, int, str, str, Any]] = []
        self.last_event_number = 0
        self.entries: list[Entry] = []
        self.leader, self.ballot = "", 0
        self.nodes: dict[str, Node] = {}
        self.sent_messages: Counter[tuple[str, str]] = Counter()
        self.connected_names: defaultdict[str, set[str]] = defaultdict(set)
        self.fetch_count = 0
        self.parent_changes: Counter[str] = Counter()  # by proxy
        self.max_report_excess_bytes = 0  # of a report, over 48 bytes per proxy of the subtree
        for index in range(count):
            name = f"door-{index:03}"
            instance = NodeInstance(name, (1_800_000_000_000 << 20) + index)
            self.nodes[name] = Node(
                DisseminationTree(
                    instance, DisseminationSettings(), random.Random(seed * 1000 + index).random
                )
            )
            self.schedule(self.random.randrange(INTERVAL_US), "request", name)

    # --- events ---

    def schedule(self, at_us: int, kind: str, name: str, event: Any = None) -> None:  # noqa: ANN401
        self.last_event_number += 1
        heapq.heappush(self.heap, (at_us, self.last_event_number, kind, name, event))

    def run(self, intervals: float) -> None:
        end_us = self.now_us + int(intervals * INTERVAL_US)
        while self.heap and self.heap[0][0] <= end_us:
            self.now_us, _, kind, name, event = heapq.heappop(self.heap)
            node = self.nodes[name]
            if node.killed:
                continue
            if kind == "tick" and node.tick_us != self.now_us:
                continue
            if kind == "request":
                node.last_request_number += 1
                node.requested_us[node.last_request_number] = self.now_us
                self.schedule(self.now_us + INTERVAL_US, "request", name)
                event = RenewalWanted(
                    RenewalRequest(
                        name,
                        node.core.local.number,
                        7,
                        node.last_request_number,
                        node.applied_position,
                    )
                )
            if kind == "fetch":
                self.complete_fetch(name, event)
                continue
            if node.stalled_until_us > self.now_us:
                node.delayed_events.append(event)
                if len(node.delayed_events) == 1:
                    self.schedule(node.stalled_until_us, "resume", name)
                continue
            if kind == "resume":
                delayed_events, node.delayed_events = node.delayed_events, []
                for delayed in delayed_events:
                    self.deliver(name, delayed)
                continue
            self.deliver(name, event)
        self.now_us = end_us

    def deliver(self, name: str, event: Any) -> None:  # noqa: ANN401
        node = self.nodes[name]
        for action in node.core.handle(self.now_us, event):
            self.perform(name, node, action)
        wake_us = node.core.wake_us
        assert wake_us > self.now_us, "the core requests a Tick that is already due"
        if wake_us != node.tick_us:
            node.tick_us = wake_us
            if wake_us < NEVER_US:
                self.schedule(wake_us, "tick", name, Tick())

    def perform(self, name: str, node: Node, action: Any) -> None:  # noqa: ANN401
        match action:
            case SendMessage():
                self.transmit(name, node, action)
            case EntriesReceived():
                if action.entries[0].position <= node.applied_position + 1:
                    new_entries = [
                        entry for entry in action.entries if entry.position > node.applied_position
                    ]
                    self.advance_log(
                        name,
                        new_entries[-1].position if new_entries else node.applied_position,
                        tuple(new_entries),
                    )
            case FetchEntries():
                self.fetch_count += 1
                self.schedule(self.now_us + 2 * self.delay_us, "fetch", name, action.source)
            case RequestsCollected():
                grants = tuple(
                    RenewalGrant(
                        request.name,
                        request.instance_number,
                        request.fencing_token,
                        request.number,
                    )
                    for request in action.requests
                )
                if name == self.leader:
                    self.schedule(self.now_us + LEASE_MANAGER_DELAY_US, "grants", name, GrantsIssued(grants))
            case LocalGrants():
                for grant in action.grants:
                    node.granted_us.setdefault(grant.number, self.now_us)
            case ParentChanged():
                assert action.name != name
                self.parent_changes[name] += 1

    def transmit(self, name: str, node: Node, sent: SendMessage) -> None:
        self.sent_messages[name, type(sent.message).__name__] += 1
        if isinstance(sent.message, UpstreamReport | DownstreamUpdate):
            self.connected_names[name].add(sent.recipient)
            self.connected_names[sent.recipient].add(name)
        size = len(msgspec.msgpack.encode(sent.message))
        if isinstance(sent.message, UpstreamReport):
            self.max_report_excess_bytes = max(
                self.max_report_excess_bytes, size - 48 * sent.message.subtree_size
            )
        else:
            assert size <= (64 << 10)
        target = self.nodes.get(sent.recipient)
        if (
            target is None
            or (name, sent.recipient) in self.failed_connections
            or self.random.random() < self.loss
        ):
            return
        if sent.instance_number not in (None, target.core.local.number):
            return
        delay = self.delay_us + (self.random.randrange(self.jitter_us) if self.jitter_us else 0)
        self.schedule(
            self.now_us + delay, "message", sent.recipient, MessageReceived(node.core.local, sent.message)
        )

    def advance_log(self, name: str, position: int, entries: tuple[Entry, ...]) -> None:
        node = self.nodes[name]
        if position <= node.applied_position:
            return
        for entry_position in range(node.applied_position + 1, position + 1):
            node.applied_us[entry_position] = self.now_us
        node.applied_position = position
        self.deliver(name, LogAdvanced(position, entries))

    def complete_fetch(self, name: str, source: str) -> None:
        source_node = self.nodes[source]
        if (
            source_node.killed
            or (name, source) in self.failed_connections
            or (source, name) in self.failed_connections
        ):
            return
        if self.nodes[name].stalled_until_us <= self.now_us:
            self.advance_log(
                name, source_node.applied_position, tuple(self.entries[: source_node.applied_position][-8:])
            )

    # --- operations and queries of tests ---

    @property
    def live_names(self) -> list[str]:
        return [name for name, node in self.nodes.items() if not node.killed]

    def propose(self, body: bytes = b"{}") -> int:
        self.entries.append(make_entry(len(self.entries) + 1, body))
        leader = self.nodes[self.leader]  # a new leader's log contains all decided entries
        self.advance_log(self.leader, len(self.entries), tuple(self.entries[leader.applied_position :][-8:]))
        return len(self.entries)

    def publish_cluster_state(
        self, names: Iterable[str] = (), within_us: int = 0, live_names: Iterable[str] | None = None
    ) -> None:
        """Deliver a cluster state to `names` (default: all), at random times within `within_us`."""
        instances = tuple(
            self.nodes[name].core.local for name in (self.live_names if live_names is None else live_names)
        )
        state = ClusterState(instances, self.leader or None, self.ballot, tuple(self.nodes)[:5])
        for name in names or self.live_names:
            self.schedule(
                self.now_us + (self.random.randrange(within_us) if within_us else 0),
                "cluster_state",
                name,
                state,
            )

    def elect(self, name: str) -> None:
        self.leader, self.ballot = name, self.ballot + 1

    def kill(self, name: str) -> None:
        self.nodes[name].killed = True

    def start(self) -> None:
        self.elect("door-001")
        self.publish_cluster_state()
        self.run(4)

    def names_behind(self, position: int) -> list[str]:
        return [name for name in self.live_names if self.nodes[name].applied_position < position]

    def names_without_grant(self, since_us: int) -> list[str]:
        """The live proxies without a grant for a request made at or after `since_us`."""
        return [
            name
            for name in self.live_names
            if not any(
                self.nodes[name].requested_us[number] >= since_us for number in self.nodes[name].granted_us
            )
        ]

    def parents(self) -> dict[str, str | None]:
        return {name: self.nodes[name].core.tracker.parent_name for name in self.live_names}
