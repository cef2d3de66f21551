"""Coordination among front doors in virtual time, with simulated clocks, disks and a faulty network.

`CoordinationHistory` runs the coordination cores and checks properties that no front door can observe alone:
each log position has one value and one digest; no session has ended for others while its holder relies on it;
no proof of an entry exists while a front door that has not applied it holds a session. A stopped front door
resumes with its pending callbacks and a late clock; a killed one restarts from what its disk had synced.
"""

from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

from molereach.coordination.interface.core import MessageReceived, SendMessage, Tick
from molereach.coordination.interface.disk import DiskFailed, Persist, Persisted
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import Applied, Entry, ProposalFinished, ProposalStatus, Propose
from molereach.coordination.interface.sessions import SessionTerms
from molereach.coordination.leases.bodies import MACHINE as SESSIONS
from molereach.coordination.leases.bodies import EndSession as SessionEnded
from molereach.coordination.leases.bodies import decode
from molereach.coordination.node.components import MESSAGE_TYPES
from molereach.coordination.node.core import CoordinationCore
from molereach.coordination.node.events import Action, Event, PeerMessage, SendToPeer, Start
from molereach.coordination.node.initial_voters import NO_DISK, initial_disk_identity, initial_voters
from molereach.coordination.node.settings import CoordinationSettings
from molereach.coordination.replicated_log.records import Recovered, recover
from molereach.coordination.transport.messages import MessageCodec
from rig.council.marks import BODY, NAME, Marks
from sim.histories import SECOND_US, History, InvariantError, Node

CLUSTER_KEY = b"a key of the whole council"
SYNC_US = 8_000
STEP_US = 1_000  # least time between wakeups of a front door
LATEST_US = 1 << 61


@dataclass(slots=True)
class Disk:
    """Synced contents of a data folder; unsynced writes are lost when the process is killed."""

    identity: str
    base: bytes | None = None
    records: list[bytes] = field(default_factory=list)
    broken: bool = False


@dataclass(slots=True)
class MarkState:
    """State of a proposed mark."""

    requested_us: int
    door: int
    awaited: bool = False  # proposed, and its front door has not been killed since
    status: ProposalStatus | None = None
    finished_us: int = 0
    position: int = 0
    applied_everywhere_us: int = 0  # when all running front doors had applied it
    proof_us: int = 0  # when a leader first had the proof


class CoordinationHistory(History):
    """`doors` front doors, the first `seats` of which vote; faults occur only when called for."""

    def __init__(
        self,
        seed: int,
        doors: int,
        seats: int,
        drift: float = 0.001,
        offset_us: int = 0,
        core_type: type[CoordinationCore] = CoordinationCore,
    ) -> None:
        super().__init__(seed, doors, drift, offset_us)
        self.core_type = core_type
        self.names = [f"n{number:03d}" for number in range(doors)]
        self.number = {name: number for number, name in enumerate(self.names)}
        addresses = {name: ("127.0.0.1", 7000 + number) for name, number in self.number.items()}
        terms = SessionTerms(drift=max(0.001, drift))
        self.settings = CoordinationSettings(addresses, tuple(self.names[:seats]), session_terms=terms)
        self.voters = initial_voters(CLUSTER_KEY, self.names[:seats])
        self.disks = {
            number: Disk(initial_disk_identity(CLUSTER_KEY, self.names[number]).hex())
            for number in range(seats)
        }
        self.codec = MessageCodec(MESSAGE_TYPES)
        self.cores: dict[int, CoordinationCore] = {}
        self.instances: dict[int, NodeInstance] = {}
        self.entries: dict[int, Entry] = {}  # decided entry by position
        self.digests: dict[int, str] = {}
        # By front door: instance and position at its last check
        self.last_checked: dict[int, tuple[NodeInstance, int]] = {}
        # By name: the highest token in a committed end of a session
        self.ended_fencing_tokens: dict[str, int] = {}
        self.marks: dict[str, MarkState] = {}
        self.sent_bytes: dict[int, int] = {}
        self.sent_messages: dict[tuple[int, str], int] = {}
        self.steps = 0
        self.slow_doors: frozenset[int] = frozenset()  # front doors whose messages are delayed by 0.5 s
        for node in self.nodes:
            node.up = False
            self.call_at(self.random.randrange(SECOND_US), partial(self.start, node))

    # --- front doors ---

    def start(self, node: Node) -> None:
        """Start a front door from what its disk has synced."""
        node.up = True
        name, disk = self.names[node.number], self.disks.get(node.number)
        instance = NodeInstance(
            name, ((1_700_000_000_000 + self.now // 1000) << 20) + self.random.getrandbits(20)
        )
        self.instances[node.number] = instance
        draw = Random(f"{instance.number}").random
        wall_ms = 1_700_000_000_000 + self.random.randint(-3000, 3000)
        identity, recovered = (
            (disk.identity, recover(disk.base, disk.records)) if disk else (NO_DISK, Recovered())
        )
        core = self.core_type(
            instance,
            self.settings,
            identity,
            recovered,
            self.voters,
            {NAME: Marks()},
            draw,
            lambda now_us: wall_ms + now_us // 1000,
        )
        self.cores[node.number] = core
        self.handle_event(node, Start())
        self.schedule_wake(node, node.incarnation)

    def schedule_wake(self, node: Node, incarnation: int) -> None:
        """Tick the core if its wake time has come, and schedule the next wakeup."""
        if not node.up or node.incarnation != incarnation:
            return

        def tick_if_due() -> None:
            if self.cores[node.number].wake_us <= node.clock(self.now):
                self.handle_event(node, Tick())

        self.run_on(node, tick_if_due)
        remaining_us = self.cores[node.number].wake_us - node.clock(self.now)
        self.call_at(
            self.now + max(STEP_US, min(remaining_us, SECOND_US // 4)),
            lambda: self.schedule_wake(node, incarnation),
        )

    def handle_event(self, node: Node, event: Event) -> None:
        """Hand an event to a core, perform its actions and check the invariants."""
        self.steps += 1
        core = self.cores[node.number]
        for action in core.handle(node.clock(self.now), event):
            self.perform(node, core, action)
        self.check_core(node, core)

    def perform(self, node: Node, core: CoordinationCore, action: Action) -> None:
        """Perform an action of a core."""
        match action:
            case SendToPeer(component, outgoing):
                self.send(node, component, outgoing)
            case Persist():
                incarnation = node.incarnation
                self.call_at(
                    self.now + SYNC_US,
                    lambda: self.run_on(node, lambda: self.finish_sync(node, incarnation, action)),
                )
            case Applied(entry):
                self.check_decided(entry)
            case ProposalFinished(name, status, _, position) if name in self.marks:
                mark = self.marks[name]
                mark.status, mark.finished_us, mark.position = status, self.now, position
            case _:
                pass

    def finish_sync(self, node: Node, incarnation: int, persist: Persist) -> None:
        """Complete a write to the disk, or fail it if the disk is broken."""
        disk = self.disks.get(node.number)
        if disk and disk.broken:
            self.handle_event(node, DiskFailed("no space left on device"))
            return
        if disk:
            if persist.base is not None:
                disk.base, disk.records = persist.base, []
            disk.records.extend(persist.records)
        self.handle_event(node, Persisted(persist.token))

    # --- the network ---

    def send(self, node: Node, component: str, outgoing: SendMessage) -> None:
        """Send a message, which may be lost, duplicated, delayed or become stale."""
        data = self.codec.encode(component, outgoing.message)
        self.sent_bytes[node.number] = self.sent_bytes.get(node.number, 0) + len(data)
        self.sent_messages[node.number, component] = self.sent_messages.get((node.number, component), 0) + 1
        if (peer := self.number.get(outgoing.recipient)) is None:
            return
        sender, wanted = self.instances[node.number], outgoing.instance_number

        def receive() -> None:
            receiver = self.nodes[peer]
            if wanted is None or wanted == self.instances[peer].number:
                self.handle_event(
                    receiver, PeerMessage(component, MessageReceived(sender, self.codec.decode(data)[1]))
                )

        if not self.network.connects(node.number, peer):
            return
        for _ in range(1 + (self.random.random() < self.network.duplicate)):
            if self.random.random() >= self.network.loss:
                extra_us = SECOND_US // 2 if node.number in self.slow_doors else 0
                max_delay_us = 9 * SECOND_US if self.random.random() < self.network.stale else 24_000
                self.call_at(
                    self.now + extra_us + self.random.randint(1_000, max_delay_us),
                    lambda: self.run_on(self.nodes[peer], receive),
                )

    # --- proposals and queries ---

    def propose_mark(self, door: int, within_us: int = 10 * SECOND_US) -> str:
        """Propose a mark at a front door; the id of the mark."""
        name = f"mark-{len(self.marks)}"
        self.marks[name] = MarkState(self.now, door)
        node, event = self.nodes[door], Propose(NAME, name, BODY, within_us)

        def propose() -> None:
            self.marks[name].awaited = True
            self.handle_event(node, event)

        if door in self.cores:
            self.run_on(node, propose)
        return name

    def kill(self, node: Node, back_us: int) -> None:
        """Kill a front door and restart it after `back_us`; its open proposals are no longer awaited."""
        super().kill(node, back_us)
        for mark in self.marks.values():
            if mark.door == node.number and mark.status is None:
                mark.awaited = False  # its proposer is gone and will not learn the result

    def running_doors(self) -> list[int]:
        """Front doors that are up and not stopped."""
        return [door for door in self.cores if self.nodes[door].up and not self.nodes[door].stopped]

    def holds_session(self, door: int) -> bool:
        """Whether the front door holds a session now, by its own clock."""
        node = self.nodes[door]
        return door in self.cores and node.up and self.cores[door].holds_session(node.clock(self.now))

    def leaders(self) -> list[int]:
        """Running front doors that consider themselves leader and manage sessions."""
        return [
            door
            for door in self.running_doors()
            if self.cores[door].leader == self.names[door]
            and self.cores[door].components.lease_manager.manages
        ]

    # --- invariants ---

    def check_decided(self, entry: Entry) -> None:
        """Check that a position has one entry, and record ends of sessions."""
        first = self.entries.setdefault(entry.position, entry)
        if first != entry:
            raise InvariantError(f"two values at position {entry.position}: {first.id} and {entry.id}")
        if entry.machine == SESSIONS:
            body: Any = decode(entry.body)
            if isinstance(body, SessionEnded):
                self.ended_fencing_tokens[body.instance.name] = max(
                    self.ended_fencing_tokens.get(body.instance.name, 0), body.fencing_token
                )

    def check_core(self, node: Node, core: CoordinationCore) -> None:
        """Check the digest of a core's position, and that its session has not ended for others."""
        if self.last_checked.get(node.number) != (core.local_instance, core.position):
            self.last_checked[node.number] = core.local_instance, core.position
            digest = core.components.log.digest()
            if self.digests.setdefault(core.position, digest) != digest:
                raise InvariantError(f"two digests at position {core.position}")
        if (
            not core.end_reason
            and self.holds_session(node.number)
            and core.components.lease_holder.fencing_token
        ):
            # A committed end may be void when applied, which leaves the session open, so check that some log
            # has applied it.
            fencing_token = core.components.lease_holder.fencing_token
            if self.ended_fencing_tokens.get(core.local_instance.name, 0) >= fencing_token and self.has_ended(
                core.local_instance, fencing_token
            ):
                raise InvariantError(
                    f"{core.local_instance.name} holds session {fencing_token}, which has ended for others"
                )

    def has_ended(self, instance: NodeInstance, fencing_token: int) -> bool:
        """Whether any front door has applied the end of this session."""
        for core in self.cores.values():
            ended = core.components.sessions.last_ended_session(instance.name)
            if ended and ended.instance == instance and ended.fencing_token >= fencing_token:
                return True
        return False

    def check_proofs(self) -> None:
        """Track which decided marks are applied everywhere, and check that no proof exists too early."""
        for mark in self.marks.values():
            if not mark.position or (mark.proof_us and mark.applied_everywhere_us):
                continue
            lagging = [
                door
                for door in range(len(self.nodes))
                if door in self.cores and self.cores[door].position < mark.position
            ]
            if not mark.applied_everywhere_us and not any(door in lagging for door in self.running_doors()):
                mark.applied_everywhere_us = self.now
            for door in self.leaders():
                if self.cores[door].track_acknowledgements(mark.position, 0).proof() is not None:
                    mark.proof_us = mark.proof_us or self.now
            if mark.proof_us and (violators := [door for door in lagging if self.holds_session(door)]):
                raise InvariantError(
                    f"proof of position {mark.position}, not applied by {violators}, which hold sessions"
                )
