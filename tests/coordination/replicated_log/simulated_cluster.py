"""Front doors with the log in virtual time: a network and disks that fail, and what must hold at each step.

`World.check` and what it calls are the invariants: one value at each position, equal digests at equal
positions, times that do not go back, one word for each proposal, no confirmation of a leader that was
replaced before it.
"""

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec

from molereach.coordination.interface.core import MessageReceived, SendMessage, Tick
from molereach.coordination.interface.disk import DiskFailed, Persist, Persisted
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import (
    Applied,
    ConfirmLeadership,
    Entry,
    LeaderChanged,
    LeadershipConfirmed,
    ProposalFinished,
    ProposalStatus,
    Propose,
    Restored,
)
from molereach.coordination.replicated_log.core import CatchUp, EntriesLearned, LogCore
from molereach.coordination.replicated_log.learner import MachineFailed
from molereach.coordination.replicated_log.messages import Message, Voter, Voters
from molereach.coordination.replicated_log.outbox import LogStopped
from molereach.coordination.replicated_log.records import recover
from molereach.coordination.replicated_log.settings import LogSettings
from molereach.coordination.replicated_log.start_protocol import DiskRollbackDetected
from molereach.coordination.replicated_log.voters import Change
from tests.coordination.replicated_log.sum_machine import Sum

MS = 1000
S = 1_000_000
SMALL = LogSettings(max_tail_entries=24, max_deduplicated_ids=4096)

_encoder, _decoder = msgspec.json.Encoder(), msgspec.json.Decoder(Message)


@dataclass
class Disk:
    """What is synced; what was written since is lost with the process, or some of it is not."""

    identity: str
    base: bytes | None = None
    records: list[bytes] = field(default_factory=list)
    unsynced: list[Persist] = field(default_factory=list)

    def sync(self, persist: Persist) -> None:
        if persist.base is not None:
            self.base, self.records = persist.base, []
        self.records += persist.records

    def copy(self) -> "Disk":
        return Disk(self.identity, self.base, list(self.records))


@dataclass
class Node:
    name: str
    disk: Disk
    life: int = 0
    core: LogCore | None = None
    stalled: bool = False
    mail: list[Any] = field(default_factory=list)  # what came while it was stalled
    wake_us: int = 0
    disk_fails: bool = False
    stopped: bool = False
    set_back: bool = False
    open: set[str] = field(default_factory=set)


class World:
    """`size` seats and `learners` front doors without one."""

    def __init__(self, seed: int, size: int = 5, learners: int = 0, settings: LogSettings = SMALL) -> None:
        self.random = Random(seed)
        self.settings = settings
        self.now_us, self.serial = 5 * S, 0
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.loss, self.double, self.slowest_us, self.sync_us = 0.0, 0.0, 40 * MS, 10 * MS
        self.groups: dict[str, int] = {}  # a split: those in other groups are not heard
        self.deaf: set[tuple[str, str]] = set()  # links that are down one way: who is not heard, and by whom
        self.disks = 0
        names = [f"d{number}" for number in range(size + learners)]
        self.nodes = {name: Node(name, self.new_disk()) for name in names}
        self.panel: Voters = tuple(Voter(name, self.nodes[name].disk.identity) for name in names[:size])
        self.entries: dict[int, Entry] = {}
        self.digests: dict[int, str] = {}
        self.outcomes: dict[str, set[tuple[Any, int]]] = {}
        self.words: dict[str, list[ProposalFinished]] = {}
        self.led: dict[int, str] = {}  # ballots of leaders
        self.asked: dict[int, int] = {}  # highest ballot that led when a confirmation was asked for
        self.confirmed: list[int] = []
        self.sent = self.turns = 0
        self.machines: Callable[[], list[Sum]] = lambda: [Sum()]
        self.may_fail = False  # machines
        self.failed: list[tuple[str, str]] = []

    def new_disk(self) -> Disk:
        self.disks += 1
        return Disk(f"{self.disks:032x}")

    # --- time ---

    def at(self, delay_us: int, do: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.heap, (self.now_us + delay_us, self.serial, do))

    def run(self, for_us: int, until: Callable[[], bool] | None = None) -> bool:
        """Go on for some time, or until something holds; whether it does."""
        end = self.now_us + for_us
        while self.heap and self.heap[0][0] <= end:
            self.now_us, _, do = heapq.heappop(self.heap)
            do()
            if until and until():
                return True
        self.now_us = end
        return until is not None and until()

    # --- processes ---

    def start(self, name: str) -> None:
        node = self.nodes[name]
        assert node.core is None
        node.life += 1
        node.stopped = node.set_back = node.stalled = node.disk_fails = False
        shift = self.random.randrange(-5000, 5000)  # clocks show different times
        node.core = LogCore(
            NodeInstance(name, node.life),
            node.disk.identity,
            recover(node.disk.base, node.disk.records),
            self.panel,
            {machine.name: machine for machine in self.machines()},
            self.settings,
            self.random.random,
            lambda now_us: 1_000_000 + shift + now_us // MS,
        )
        self.give(node, Tick())

    def start_all(self) -> None:
        for name in self.nodes:
            self.start(name)

    def kill(self, name: str) -> None:
        """Without a warning: what was not synced may be lost from some write on."""
        node = self.nodes[name]
        kept = self.random.randrange(len(node.disk.unsynced) + 1)
        for persist in node.disk.unsynced[:kept]:
            node.disk.sync(persist)
        node.disk = node.disk.copy()
        node.core, node.mail, node.open = None, [], set()

    def stall(self, name: str, for_us: int) -> None:
        node, life = self.nodes[name], self.nodes[name].life
        if node.core and not node.stalled:
            node.stalled = True
            self.at(for_us, lambda: self.wake(node, life))

    def wake(self, node: Node, life: int) -> None:
        if node.life != life or not node.stalled:
            return
        node.stalled, mail = False, node.mail
        node.mail = []
        if self.random.random() < 0.5:  # its timer is late, or comes first
            mail.insert(0, Tick())
        for event in mail:
            self.give(node, event)
        self.give(node, Tick())

    # --- events and actions ---

    def give(self, node: Node, event: object) -> None:
        if node.core is None:
            return
        if node.stalled:
            node.mail.append(event)
            return
        self.turns += 1
        before = node.core.position
        actions = node.core.handle(self.now_us, event)
        for action in actions:
            self.act(node, action)
        if node.core.position != before:
            self.check(node)
        wake = node.core.wake_us
        if not node.wake_us or wake < node.wake_us or node.wake_us <= self.now_us:
            node.wake_us = wake
            life = node.life
            self.at(max(0, wake - self.now_us), lambda: self.tick(node, life, wake))

    def tick(self, node: Node, life: int, wake_us: int) -> None:
        if node.life != life or node.core is None:
            return
        if node.wake_us == wake_us:
            node.wake_us = 0
        if node.core.wake_us <= self.now_us:
            self.give(node, Tick())
        elif not node.wake_us:
            again = node.wake_us = node.core.wake_us
            self.at(again - self.now_us, lambda: self.tick(node, life, again))

    def act(self, node: Node, action: object) -> None:
        match action:
            case SendMessage(to, message, life):
                self.send(node, to, message, life)
            case Persist():
                self.persist(node, action)
            case Applied(entry):
                self.applied(node, entry)
            case ProposalFinished():
                self.over(node, action)
            case LeaderChanged(_, ballot, mine):
                if mine:
                    assert self.led.setdefault(ballot, node.name) == node.name, "two leaders of one ballot"
            case LeadershipConfirmed(token, ballot):
                assert ballot >= self.asked[token], "confirmed, though replaced before it was asked"
                self.confirmed.append(token)
            case LogStopped():
                node.stopped = True
            case DiskRollbackDetected():
                node.set_back = True
            case MachineFailed(machine):
                assert self.may_fail, action
                self.failed.append((node.name, machine))
            case Restored():
                pass
            case _:
                raise AssertionError(f"no action of the log: {action!r}")

    def send(self, node: Node, to: str, message: Message, life: int | None) -> None:
        self.sent += 1
        sender = NodeInstance(node.name, node.life)
        data = _encoder.encode(message)
        for _ in range(2 if self.random.random() < self.double else 1):
            if self.random.random() < self.loss:
                continue
            delay = self.random.randrange(MS, self.slowest_us)
            if self.loss and self.random.random() < 0.02:
                delay = self.random.randrange(3 * S)  # long under way, from an old life perhaps
            self.at(delay, lambda: self.arrive(sender, to, data, life))

    def arrive(self, sender: NodeInstance, to: str, data: bytes, life: int | None) -> None:
        node = self.nodes.get(to)
        if node is None or (life is not None and life != node.life):
            return
        if (sender.name, to) in self.deaf:
            return
        if self.groups.get(sender.name, 0) == self.groups.get(to, 0):
            self.give(node, MessageReceived(sender, _decoder.decode(data)))

    def persist(self, node: Node, persist: Persist) -> None:
        disk, life = node.disk, node.life
        if node.stopped or node.disk_fails:
            self.at(MS, lambda: self.disk_failed(node, life))
            return
        disk.unsynced.append(persist)
        delay = self.random.randrange(MS, self.sync_us)
        self.at(delay, lambda: self.synced(node, disk, life, persist))

    def disk_failed(self, node: Node, life: int) -> None:
        if node.life == life:
            self.give(node, DiskFailed("no space"))

    def synced(self, node: Node, disk: Disk, life: int, persist: Persist) -> None:
        if node.life != life or persist not in disk.unsynced or node.disk is not disk:
            return
        while disk.unsynced and disk.unsynced[0].token <= persist.token:
            disk.sync(disk.unsynced.pop(0))
        self.give(node, Persisted(persist.token))

    # --- what doors do ---

    def propose(
        self, name: str, identity: str, body: bytes = b"1", within_us: int = 3 * S, machine: str = "sum"
    ) -> None:
        node = self.nodes[name]
        if node.core and not node.stalled:
            node.open.add(identity)
            self.give(node, Propose(machine, identity, body, within_us))

    def change(self, name: str, identity: str, change: Change, within_us: int = 3 * S) -> None:
        self.propose(name, identity, msgspec.json.encode(change), within_us, "")

    def confirm(self, name: str) -> int:
        token = len(self.asked) + 1
        self.asked[token] = max(self.led, default=0)
        self.give(self.nodes[name], ConfirmLeadership(token))
        return token

    def leader(self) -> str | None:
        leading = [
            node.name for node in self.nodes.values() if node.core and node.core.leader_protocol.is_leader
        ]
        return leading[-1] if len(leading) == 1 else None

    def spread(self, name: str, entries: Sequence[Entry]) -> None:
        """The tree, as far as this goes: who has no seat is told by whom has it."""
        node = self.nodes[name]
        if self.groups.get(node.name, 0) == 0 and self.random.random() >= self.loss:
            self.give(node, EntriesLearned(tuple(entries)))

    def beat(self) -> None:
        """Each half a second those without a seat ask another."""
        for node in self.nodes.values():
            other = self.random.choice(list(self.nodes))
            if node.core and other != node.name:
                self.give(node, CatchUp(other))
        self.at(S // 2, self.beat)

    # --- invariants ---

    def applied(self, node: Node, entry: Entry) -> None:
        known = self.entries.setdefault(entry.position, entry)
        assert known == entry, f"two values at {entry.position}: {known} and {entry}"
        before = self.entries.get(entry.position - 1)
        assert before is None or before.at_ms <= entry.at_ms, "time went back"
        if len(self.entries) == entry.position and node.core and node.core.leader_protocol.is_leader:
            for other in self.nodes.values():
                if other.core and other.core.recovery.voter not in other.core.voters:
                    self.at(30 * MS, lambda name=other.name: self.spread(name, [entry]))  # type: ignore[misc]

    def check(self, node: Node) -> None:
        assert node.core
        digest = node.core.digest()
        known = self.digests.setdefault(node.core.position, digest)
        assert known == digest, f"two states at {node.core.position}"

    def over(self, node: Node, over: ProposalFinished) -> None:
        assert over.id in node.open, f"{over.id} has two words at {node.name}"
        node.open.discard(over.id)
        self.words.setdefault(over.id, []).append(over)
        if over.status is ProposalStatus.APPLIED:
            came = self.outcomes.setdefault(over.id, set())
            came.add((over.outcome, over.position))
            assert len(came) == 1, f"{over.id} came to two things"

    def level(self) -> bool:
        """All that are up have all that was settled, and nothing is open."""
        top = len(self.entries)
        return all(
            node.core is not None and node.core.position == top and not node.open
            for node in self.nodes.values()
        )
