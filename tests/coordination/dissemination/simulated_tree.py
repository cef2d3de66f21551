"""Many cores in virtual time: faulty links, stops, deaths, views that differ; a simple log and keeper."""

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

BEAT = DisseminationSettings().heartbeat_interval_us
KEEPER_US = 40_000  # from what was gathered to what is given


def entry(position: int, body: bytes = b"{}") -> Entry:
    return Entry(position, "m", f"id{position}", NodeInstance("door-000", 1), position, body)


@dataclass
class Node:
    core: DisseminationTree
    applied: int = 0
    asked: dict[int, int] = field(default_factory=dict)  # number of an ask to when it was made
    granted: dict[int, int] = field(default_factory=dict)
    number: int = 0
    stopped_until: int = 0
    dead: bool = False
    mail: list[Any] = field(default_factory=list)
    tick_at: int = NEVER_US
    applied_at: dict[int, int] = field(default_factory=dict)


class World:
    """All that the cores cannot see, and what was counted of their words."""

    def __init__(self, count: int, seed: int = 1, delay_us: int = 20_000, jitter_us: int = 0) -> None:
        self.random = random.Random(seed)
        self.delay_us, self.jitter_us, self.loss = delay_us, jitter_us, 0.0
        self.cut: set[tuple[str, str]] = set()
        self.now = 0
        self.heap: list[tuple[int, int, str, str, Any]] = []
        self.serial = 0
        self.entries: list[Entry] = []
        self.leader, self.ballot = "", 0
        self.nodes: dict[str, Node] = {}
        self.said: Counter[tuple[str, str]] = Counter()
        self.peers: defaultdict[str, set[str]] = defaultdict(set)
        self.fetches = 0
        self.moves: Counter[str] = Counter()  # from one parent to another
        self.most_up_over = 0  # bytes of a word up over 48 for each front door below
        for at in range(count):
            name = f"door-{at:03}"
            life = NodeInstance(name, (1_800_000_000_000 << 20) + at)
            self.nodes[name] = Node(
                DisseminationTree(life, DisseminationSettings(), random.Random(seed * 1000 + at).random)
            )
            self.at(self.random.randrange(BEAT), "ask", name)

    # --- what happens ---

    def at(self, when: int, kind: str, name: str, what: Any = None) -> None:  # noqa: ANN401
        self.serial += 1
        heapq.heappush(self.heap, (when, self.serial, kind, name, what))

    def run(self, beats: float) -> None:
        end = self.now + int(beats * BEAT)
        while self.heap and self.heap[0][0] <= end:
            self.now, _, kind, name, what = heapq.heappop(self.heap)
            node = self.nodes[name]
            if node.dead:
                continue
            if kind == "tick" and node.tick_at != self.now:
                continue
            if kind == "ask":
                node.number += 1
                node.asked[node.number] = self.now
                self.at(self.now + BEAT, "ask", name)
                what = RenewalWanted(
                    RenewalRequest(name, node.core.local.number, 7, node.number, node.applied)
                )
            if kind == "fetch":
                self.fetched(name, what)
                continue
            if node.stopped_until > self.now:
                node.mail.append(what)
                if len(node.mail) == 1:
                    self.at(node.stopped_until, "wake", name)
                continue
            if kind == "wake":
                mail, node.mail = node.mail, []
                for late in mail:
                    self.feed(name, late)
                continue
            self.feed(name, what)
        self.now = end

    def feed(self, name: str, event: Any) -> None:  # noqa: ANN401
        node = self.nodes[name]
        for action in node.core.handle(self.now, event):
            self.act(name, node, action)
        wake = node.core.wake_us
        assert wake > self.now, "it would spin"
        if wake != node.tick_at:
            node.tick_at = wake
            if wake < NEVER_US:
                self.at(wake, "tick", name, Tick())

    def act(self, name: str, node: Node, action: Any) -> None:  # noqa: ANN401
        match action:
            case SendMessage():
                self.say(name, node, action)
            case EntriesReceived():
                if action.entries[0].position <= node.applied + 1:
                    news = [entry for entry in action.entries if entry.position > node.applied]
                    self.grow(name, news[-1].position if news else node.applied, tuple(news))
            case FetchEntries():
                self.fetches += 1
                self.at(self.now + 2 * self.delay_us, "fetch", name, action.source)
            case RequestsCollected():
                grants = tuple(
                    RenewalGrant(ask.name, ask.instance_number, ask.fencing_token, ask.number)
                    for ask in action.requests
                )
                if name == self.leader:
                    self.at(self.now + KEEPER_US, "give", name, GrantsIssued(grants))
            case LocalGrants():
                for grant in action.grants:
                    node.granted.setdefault(grant.number, self.now)
            case ParentChanged():
                assert action.name != name
                self.moves[name] += 1

    def say(self, name: str, node: Node, say: SendMessage) -> None:
        self.said[name, type(say.message).__name__] += 1
        if isinstance(say.message, UpstreamReport | DownstreamUpdate):
            self.peers[name].add(say.recipient)
            self.peers[say.recipient].add(name)
        size = len(msgspec.msgpack.encode(say.message))
        if isinstance(say.message, UpstreamReport):
            self.most_up_over = max(self.most_up_over, size - 48 * say.message.subtree_size)
        else:
            assert size <= (64 << 10)
        target = self.nodes.get(say.recipient)
        if target is None or (name, say.recipient) in self.cut or self.random.random() < self.loss:
            return
        if say.instance_number not in (None, target.core.local.number):
            return
        delay = self.delay_us + (self.random.randrange(self.jitter_us) if self.jitter_us else 0)
        self.at(self.now + delay, "mail", say.recipient, MessageReceived(node.core.local, say.message))

    def grow(self, name: str, position: int, entries: tuple[Entry, ...]) -> None:
        node = self.nodes[name]
        if position <= node.applied:
            return
        for at in range(node.applied + 1, position + 1):
            node.applied_at[at] = self.now
        node.applied = position
        self.feed(name, LogAdvanced(position, entries))

    def fetched(self, name: str, source: str) -> None:
        other = self.nodes[source]
        if other.dead or (name, source) in self.cut or (source, name) in self.cut:
            return
        if self.nodes[name].stopped_until <= self.now:
            self.grow(name, other.applied, tuple(self.entries[: other.applied][-8:]))

    # --- what a test does ---

    @property
    def living(self) -> list[str]:
        return [name for name, node in self.nodes.items() if not node.dead]

    def propose(self, body: bytes = b"{}") -> int:
        self.entries.append(entry(len(self.entries) + 1, body))
        leader = self.nodes[self.leader]  # of a new leader, the log has all that was settled
        self.grow(self.leader, len(self.entries), tuple(self.entries[leader.applied :][-8:]))
        return len(self.entries)

    def view(self, names: Iterable[str] = (), within_us: int = 0, alive: Iterable[str] | None = None) -> None:
        """Say who lives and leads to these front doors (all), each at some moment within that time."""
        lives = tuple(self.nodes[name].core.local for name in (self.living if alive is None else alive))
        view = ClusterState(lives, self.leader or None, self.ballot, tuple(self.nodes)[:5])
        for name in names or self.living:
            self.at(self.now + (self.random.randrange(within_us) if within_us else 0), "view", name, view)

    def lead(self, name: str) -> None:
        self.leader, self.ballot = name, self.ballot + 1

    def kill(self, name: str) -> None:
        self.nodes[name].dead = True

    def start(self) -> None:
        self.lead("door-001")
        self.view()
        self.run(4)

    def lacking(self, position: int) -> list[str]:
        return [name for name in self.living if self.nodes[name].applied < position]

    def ungranted(self, since: int) -> list[str]:
        """Front doors that had no grant for any ask made since then."""
        return [
            name
            for name in self.living
            if not any(self.nodes[name].asked[number] >= since for number in self.nodes[name].granted)
        ]

    def parents(self) -> dict[str, str | None]:
        return {name: self.nodes[name].core.tracker.name for name in self.living}
