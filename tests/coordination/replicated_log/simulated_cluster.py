"""A simulated cluster of nodes with the log, in virtual time, with a faulty network and faulty disks.

It checks these invariants at each step: one value at each position, equal digests at equal positions, times
that do not decrease, one result for each proposal, and no confirmation of a leader that had been replaced
before the request.
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
from tests.coordination.replicated_log.sum_machine import SumMachine

MILLISECOND_US = 1000
SECOND_US = 1_000_000
SMALL_SETTINGS = LogSettings(max_tail_entries=24, max_deduplicated_ids=4096)

_encoder, _decoder = msgspec.json.Encoder(), msgspec.json.Decoder(Message)


@dataclass
class Disk:
    """A disk. Of the unsynced writes, any number from the first on survives a crash of the process."""

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
    instance_number: int = 0
    core: LogCore | None = None
    paused: bool = False
    deferred_events: list[Any] = field(default_factory=list)  # received while the node was paused
    wake_us: int = 0
    disk_fails: bool = False
    stopped: bool = False
    rolled_back: bool = False
    pending_ids: set[str] = field(default_factory=set)


class SimulatedCluster:
    """A cluster of `voter_count` voters and `learner_count` nodes that are not voters."""

    def __init__(
        self, seed: int, voter_count: int = 5, learner_count: int = 0, settings: LogSettings = SMALL_SETTINGS
    ) -> None:
        self.random = Random(seed)
        self.settings = settings
        self.now_us, self.event_number = 5 * SECOND_US, 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.loss_rate, self.duplication_rate, self.max_delay_us, self.max_sync_us = (
            0.0,
            0.0,
            40 * MILLISECOND_US,
            10 * MILLISECOND_US,
        )
        self.partitions: dict[str, int] = {}  # by node; those in different ones do not reach each other
        self.blocked_links: set[tuple[str, str]] = set()  # (sender, recipient); down in this direction only
        self.disk_count = 0
        names = [f"d{number}" for number in range(voter_count + learner_count)]
        self.nodes = {name: Node(name, self.new_disk()) for name in names}
        self.initial_voters: Voters = tuple(
            Voter(name, self.nodes[name].disk.identity) for name in names[:voter_count]
        )
        self.entries: dict[int, Entry] = {}
        self.digests: dict[int, str] = {}
        self.outcomes: dict[str, set[tuple[Any, int]]] = {}
        self.results: dict[str, list[ProposalFinished]] = {}
        self.leaders_by_ballot: dict[int, str] = {}
        # By token of a requested confirmation: the highest ballot that had led at that time.
        self.ballot_at_request: dict[int, int] = {}
        self.confirmed_tokens: list[int] = []
        self.messages_sent = self.events_handled = 0
        self.new_machines: Callable[[], list[SumMachine]] = lambda: [SumMachine()]
        self.machines_may_fail = False
        self.failed_machines: list[tuple[str, str]] = []

    def new_disk(self) -> Disk:
        self.disk_count += 1
        return Disk(f"{self.disk_count:032x}")

    # --- time ---

    def schedule(self, delay_us: int, callback: Callable[[], None]) -> None:
        self.event_number += 1
        heapq.heappush(self.events, (self.now_us + delay_us, self.event_number, callback))

    def run(self, duration_us: int, condition: Callable[[], bool] | None = None) -> bool:
        """Run for some time, or until a condition holds; return whether it holds."""
        end_us = self.now_us + duration_us
        while self.events and self.events[0][0] <= end_us:
            self.now_us, _, callback = heapq.heappop(self.events)
            callback()
            if condition and condition():
                return True
        self.now_us = end_us
        return condition is not None and condition()

    # --- processes ---

    def start(self, name: str) -> None:
        node = self.nodes[name]
        assert node.core is None
        node.instance_number += 1
        node.stopped = node.rolled_back = node.paused = node.disk_fails = False
        clock_offset_ms = self.random.randrange(-5000, 5000)  # the wall clocks of the nodes differ
        node.core = LogCore(
            NodeInstance(name, node.instance_number),
            node.disk.identity,
            recover(node.disk.base, node.disk.records),
            self.initial_voters,
            {machine.name: machine for machine in self.new_machines()},
            self.settings,
            self.random.random,
            lambda now_us: 1_000_000 + clock_offset_ms + now_us // MILLISECOND_US,
        )
        self.handle(node, Tick())

    def start_all(self) -> None:
        for name in self.nodes:
            self.start(name)

    def kill(self, name: str) -> None:
        """Kill a process without warning: unsynced writes are lost from a random one on."""
        node = self.nodes[name]
        synced_count = self.random.randrange(len(node.disk.unsynced) + 1)
        for persist in node.disk.unsynced[:synced_count]:
            node.disk.sync(persist)
        node.disk = node.disk.copy()
        node.core, node.deferred_events, node.pending_ids = None, [], set()

    def pause(self, name: str, duration_us: int) -> None:
        node, instance_number = self.nodes[name], self.nodes[name].instance_number
        if node.core and not node.paused:
            node.paused = True
            self.schedule(duration_us, lambda: self.resume(node, instance_number))

    def resume(self, node: Node, instance_number: int) -> None:
        if node.instance_number != instance_number or not node.paused:
            return
        node.paused, deferred_events = False, node.deferred_events
        node.deferred_events = []
        if self.random.random() < 0.5:  # the timer fires before the deferred events, or after them
            deferred_events.insert(0, Tick())
        for event in deferred_events:
            self.handle(node, event)
        self.handle(node, Tick())

    # --- events and actions ---

    def handle(self, node: Node, event: object) -> None:
        if node.core is None:
            return
        if node.paused:
            node.deferred_events.append(event)
            return
        self.events_handled += 1
        before = node.core.position
        actions = node.core.handle(self.now_us, event)
        for action in actions:
            self.perform(node, action)
        if node.core.position != before:
            self.check_digest(node)
        wake_us = node.core.wake_us
        if not node.wake_us or wake_us < node.wake_us or node.wake_us <= self.now_us:
            node.wake_us = wake_us
            instance_number = node.instance_number
            self.schedule(
                max(0, wake_us - self.now_us), lambda: self.on_timer(node, instance_number, wake_us)
            )

    def on_timer(self, node: Node, instance_number: int, wake_us: int) -> None:
        if node.instance_number != instance_number or node.core is None:
            return
        if node.wake_us == wake_us:
            node.wake_us = 0
        if node.core.wake_us <= self.now_us:
            self.handle(node, Tick())
        elif not node.wake_us:
            next_wake_us = node.wake_us = node.core.wake_us
            self.schedule(
                next_wake_us - self.now_us, lambda: self.on_timer(node, instance_number, next_wake_us)
            )

    def perform(self, node: Node, action: object) -> None:
        match action:
            case SendMessage(recipient, message, instance_number):
                self.send(node, recipient, message, instance_number)
            case Persist():
                self.persist(node, action)
            case Applied(entry):
                self.check_applied(node, entry)
            case ProposalFinished():
                self.record_result(node, action)
            case LeaderChanged(_, ballot, is_self):
                if is_self:
                    assert self.leaders_by_ballot.setdefault(ballot, node.name) == node.name, (
                        "two leaders of one ballot"
                    )
            case LeadershipConfirmed(token, ballot):
                assert ballot >= self.ballot_at_request[token], (
                    "confirmed a leader replaced before the request"
                )
                self.confirmed_tokens.append(token)
            case LogStopped():
                node.stopped = True
            case DiskRollbackDetected():
                node.rolled_back = True
            case MachineFailed(machine):
                assert self.machines_may_fail, action
                self.failed_machines.append((node.name, machine))
            case Restored():
                pass
            case _:
                raise AssertionError(f"unknown action of the log: {action!r}")

    def send(self, node: Node, recipient: str, message: Message, instance_number: int | None) -> None:
        self.messages_sent += 1
        sender = NodeInstance(node.name, node.instance_number)
        data = _encoder.encode(message)
        for _ in range(2 if self.random.random() < self.duplication_rate else 1):
            if self.random.random() < self.loss_rate:
                continue
            delay = self.random.randrange(MILLISECOND_US, self.max_delay_us)
            if self.loss_rate and self.random.random() < 0.02:
                delay = self.random.randrange(3 * SECOND_US)  # may arrive after the sender restarted
            self.schedule(delay, lambda: self.deliver(sender, recipient, data, instance_number))

    def deliver(self, sender: NodeInstance, recipient: str, data: bytes, instance_number: int | None) -> None:
        node = self.nodes.get(recipient)
        if node is None or (instance_number is not None and instance_number != node.instance_number):
            return
        if (sender.name, recipient) in self.blocked_links:
            return
        if self.partitions.get(sender.name, 0) == self.partitions.get(recipient, 0):
            self.handle(node, MessageReceived(sender, _decoder.decode(data)))

    def persist(self, node: Node, persist: Persist) -> None:
        disk, instance_number = node.disk, node.instance_number
        if node.stopped or node.disk_fails:
            self.schedule(MILLISECOND_US, lambda: self.report_disk_failure(node, instance_number))
            return
        disk.unsynced.append(persist)
        delay = self.random.randrange(MILLISECOND_US, self.max_sync_us)
        self.schedule(delay, lambda: self.finish_write(node, disk, instance_number, persist))

    def report_disk_failure(self, node: Node, instance_number: int) -> None:
        if node.instance_number == instance_number:
            self.handle(node, DiskFailed("no space"))

    def finish_write(self, node: Node, disk: Disk, instance_number: int, persist: Persist) -> None:
        if node.instance_number != instance_number or persist not in disk.unsynced or node.disk is not disk:
            return
        while disk.unsynced and disk.unsynced[0].token <= persist.token:
            disk.sync(disk.unsynced.pop(0))
        self.handle(node, Persisted(persist.token))

    # --- operations of nodes ---

    def propose(
        self,
        name: str,
        proposal_id: str,
        body: bytes = b"1",
        timeout_us: int = 3 * SECOND_US,
        machine: str = "sum",
    ) -> None:
        node = self.nodes[name]
        if node.core and not node.paused:
            node.pending_ids.add(proposal_id)
            self.handle(node, Propose(machine, proposal_id, body, timeout_us))

    def propose_change(
        self, name: str, proposal_id: str, change: Change, timeout_us: int = 3 * SECOND_US
    ) -> None:
        self.propose(name, proposal_id, msgspec.json.encode(change), timeout_us, "")

    def request_confirmation(self, name: str) -> int:
        token = len(self.ballot_at_request) + 1
        self.ballot_at_request[token] = max(self.leaders_by_ballot, default=0)
        self.handle(self.nodes[name], ConfirmLeadership(token))
        return token

    def leader(self) -> str | None:
        leading = [
            node.name
            for node in self.nodes.values()
            if node.core and node.core.leader_protocol.leadership_announced
        ]
        return leading[-1] if len(leading) == 1 else None

    def forward_entries(self, name: str, entries: Sequence[Entry]) -> None:
        """Forward entries to a node as the dissemination tree does, unless they are lost."""
        node = self.nodes[name]
        if self.partitions.get(node.name, 0) == 0 and self.random.random() >= self.loss_rate:
            self.handle(node, EntriesLearned(tuple(entries)))

    def run_catch_up(self) -> None:
        """Every half second, let each node request missing entries from a random one."""
        for node in self.nodes.values():
            other = self.random.choice(list(self.nodes))
            if node.core and other != node.name:
                self.handle(node, CatchUp(other))
        self.schedule(SECOND_US // 2, self.run_catch_up)

    # --- invariants ---

    def check_applied(self, node: Node, entry: Entry) -> None:
        known = self.entries.setdefault(entry.position, entry)
        assert known == entry, f"two values at {entry.position}: {known} and {entry}"
        before = self.entries.get(entry.position - 1)
        assert before is None or before.at_ms <= entry.at_ms, "the time of an entry decreased"
        if (
            len(self.entries) == entry.position
            and node.core
            and node.core.leader_protocol.leadership_announced
        ):
            for other in self.nodes.values():
                if other.core and other.core.recovery.voter not in other.core.voters:
                    self.schedule(
                        30 * MILLISECOND_US, lambda name=other.name: self.forward_entries(name, [entry])
                    )  # type: ignore[misc]

    def check_digest(self, node: Node) -> None:
        assert node.core
        digest = node.core.digest()
        known = self.digests.setdefault(node.core.position, digest)
        assert known == digest, f"two states at {node.core.position}"

    def record_result(self, node: Node, result: ProposalFinished) -> None:
        assert result.id in node.pending_ids, f"{result.id} has two results at {node.name}"
        node.pending_ids.discard(result.id)
        self.results.setdefault(result.id, []).append(result)
        if result.status is ProposalStatus.APPLIED:
            known_outcomes = self.outcomes.setdefault(result.id, set())
            known_outcomes.add((result.outcome, result.position))
            assert len(known_outcomes) == 1, f"{result.id} has two outcomes"

    def is_settled(self) -> bool:
        """Whether all nodes run and have all decided entries, and no proposal is pending."""
        last_position = len(self.entries)
        return all(
            node.core is not None and node.core.position == last_position and not node.pending_ids
            for node in self.nodes.values()
        )
