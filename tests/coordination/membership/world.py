"""A small virtual world of front doors: one heap of deliveries, faults by link and by node, a fixed seed.

All that is said goes through the wire's encoding. A node that stands still gets its mail late and all at
once, and its Tick late too, before or after the mail; a slow one handles everything late.
"""

import heapq
import random
from dataclasses import dataclass, field

from molereach.coordination.interface.core import NEVER_US, MessageReceived, SendMessage, Tick
from molereach.coordination.interface.identifiers import SECOND_US, NodeInstance
from molereach.coordination.membership.core import Event, Membership
from molereach.coordination.membership.events import Changed, Displaced, Doubts, Join, Leave
from molereach.coordination.membership.settings import MembershipSettings
from molereach.coordination.membership.words import Status, Sync, decode, encode, pieces

SETTINGS = MembershipSettings()
BEAT = SETTINGS.beat_us
TICK = Tick()


@dataclass(eq=False)
class Node:
    """One run of one front door."""

    core: Membership
    slow_us: int = 0
    stopped_until: int = 0
    held: list[Event] = field(default_factory=list)  # what waits while it stands still
    tick_at: int = NEVER_US
    killed: bool = False
    displaced: bool = False
    sent: int = 0
    doubts: int = 0  # the highest
    changes: list[tuple[int, Changed]] = field(default_factory=list)

    @property
    def name(self) -> str:
        return self.core.me.name

    def dead_at(self, life: NodeInstance) -> int | None:
        """When it last held that run for dead, or None while it does not."""
        own = [(at, change.status) for at, change in self.changes if change.life == life]
        return own[-1][0] if own and own[-1][1] is Status.DEAD else None

    def ever(self, status: Status) -> set[str]:
        return {change.life.name for _, change in self.changes if change.status is status}


class World:
    """Nodes by name; `now` only grows."""

    def __init__(self, seed: int, settings: MembershipSettings = SETTINGS) -> None:
        self.chance, self.settings = random.Random(seed), settings
        self.now, self.order = 0, 0
        self.heap: list[tuple[int, int, Node, Event]] = []
        self.nodes: dict[str, Node] = {}
        self.twins: list[Node] = []  # further processes under a name that another one has
        self.runs = 0
        self.bad: set[tuple[str, str]] = set()  # links, from and to
        self.side: dict[str, int] = {}  # of a cut; links between sides are bad
        self.loss = 0.0
        self.longest = 0  # bytes

    # --- nodes ---

    def start(self, name: str, seeds: tuple[str, ...] = (), number: int | None = None) -> Node:
        self.runs += 1
        me = NodeInstance(name, self.runs if number is None else number)
        node = self.nodes[name] = Node(Membership(me, self.settings, self.chance.random))
        self.give(node, Join(seeds))
        return node

    def group(self, size: int, beats: int = 60) -> list[Node]:
        """So many that know one another, with empty mailboxes of rumours."""
        for number in range(size):
            self.start(f"d{number:03}", tuple(f"d{seed:03}" for seed in range(min(3, number + 1))))
            self.run(1)
        self.run(beats)
        nodes = list(self.nodes.values())
        assert all(len(node.core.alive()) == size for node in nodes)
        for node in nodes:
            node.changes.clear()
            node.sent = 0
        return nodes

    def acquainted(self, size: int) -> list[Node]:
        """The same for many, who are told of one another at once."""
        nodes = [self.start(f"d{number:03}") for number in range(size)]
        parts = pieces([node.core._beliefs.own() for node in nodes])
        for node in nodes:
            for part in parts:
                self.give(node, MessageReceived(nodes[0 if node is not nodes[0] else 1].core.me, Sync(part)))
            node.core._beliefs.gossip.told.clear()
        assert all(len(node.core.alive()) == size for node in nodes)
        for node in nodes:
            node.changes.clear()
        return nodes

    def kill(self, name: str) -> None:
        self.nodes.pop(name).killed = True

    def stop(self, name: str, us: int) -> None:
        self.nodes[name].stopped_until = self.now + us
        self.push(self.now + us, self.nodes[name], TICK)

    def leave(self, name: str) -> None:
        self.give(self.nodes[name], Leave())

    # --- time ---

    def push(self, at: int, node: Node, event: Event) -> None:
        self.order += 1
        heapq.heappush(self.heap, (at, self.order, node, event))

    def run(self, beats: float) -> None:
        end = self.now + round(beats * BEAT)
        while self.heap and self.heap[0][0] <= end:
            self.now, _, node, event = heapq.heappop(self.heap)
            self.arrive(node, event)
        self.now = end

    def arrive(self, node: Node, event: Event) -> None:
        if node.killed or node.displaced:
            return
        if self.now < node.stopped_until:
            if event is not TICK:
                node.held.append(event)
            return
        if node.held:
            held, node.held = node.held, []
            for waiting in [TICK, *held] if self.chance.random() < 0.5 else [*held, TICK]:
                self.give(node, waiting)
        if event is not TICK or node.core.wake_us <= self.now:
            self.give(node, event)

    def give(self, node: Node, event: Event) -> None:
        if node.killed or node.displaced:
            return
        for action in node.core.handle(self.now, event):
            match action:
                case SendMessage():
                    self.say(node, action)
                case Changed():
                    node.changes.append((self.now, action))
                case Displaced():
                    node.displaced = True
                case Doubts():
                    node.doubts = max(node.doubts, action.level)
        wake = node.core.wake_us
        if wake != node.tick_at and wake < NEVER_US:
            self.push(max(self.now, wake) + node.slow_us, node, TICK)
        node.tick_at = wake

    def say(self, node: Node, action: SendMessage) -> None:
        data = encode(action.message)
        node.sent += 1
        self.longest = max(self.longest, len(data))
        runs = [
            run
            for run in (self.nodes.get(action.recipient), *self.twins)
            if run and run.name == action.recipient
        ]
        meant = [run for run in runs if action.instance_number in (None, run.core.me.number)]
        if not meant:
            return
        to = max(meant, key=lambda run: run.core.me.number)
        if (node.name, to.name) in self.bad or self.side.get(node.name) != self.side.get(to.name):
            return
        if self.chance.random() < self.loss:
            return
        wait = self.chance.randint(1_000, 25_000) + to.slow_us
        self.push(self.now + wait, to, MessageReceived(node.core.me, decode(data)))

    # --- what is asserted ---

    def agreed(self) -> bool:
        """Whether all hold just those to live that do."""
        lives = tuple(sorted(node.core.me for node in self.nodes.values()))
        return all(node.core.alive() == lives for node in self.nodes.values())

    def settle(self, beats: int) -> int:
        """Beats until all agree; an error if that takes longer."""
        for beat in range(beats):
            if self.agreed():
                return beat
            self.run(1)
        raise AssertionError({name: node.core.alive() for name, node in self.nodes.items()})

    def ever(self, status: Status) -> set[str]:
        return set().union(*(node.ever(status) for node in self.nodes.values()))


__all__ = ["BEAT", "SECOND_US", "SETTINGS", "Node", "Status", "World"]
