"""Whole councils in virtual time: front doors' cores, clocks, disks, and a network that loses and splits.

`CouncilHistory` plays what front doors settle among themselves and judges after each step what no front door
can see alone: one value at each position, one hash at each position, no session over for others while its
holder counts on it, no proof of an entry while a front door that lacks it holds a session. A process that is
stopped goes on with all that waited for it and a late clock; one that is killed has what its disk had synced.
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
from sim.histories import BrokenError, History, Node, S

KEY = b"a key of the whole council"
SYNC_US = 8_000
STEP_US = 1_000  # the soonest that a front door is woken anew
LATEST = 1 << 61


@dataclass(slots=True)
class Disk:
    """What a folder holds; what was written and not synced is lost with its process."""

    identity: str
    base: bytes | None = None
    records: list[bytes] = field(default_factory=list)
    broken: bool = False


@dataclass(slots=True)
class Told:
    """What became of a mark that was asked for."""

    asked_us: int
    door: int
    asked: bool = False  # its front door lived, and lives on
    over: ProposalStatus | None = None
    over_us: int = 0
    position: int = 0
    everywhere_us: int = 0  # when all who live had applied it
    proof_us: int = 0  # when a leader could give the proof


class CouncilHistory(History):
    """`doors` front doors of which the first `seats` accept. Nothing befalls them but what is called for."""

    def __init__(
        self,
        seed: int,
        doors: int,
        seats: int,
        drift: float = 0.001,
        offset_us: int = 0,
        cores: type[CoordinationCore] = CoordinationCore,
    ) -> None:
        super().__init__(seed, doors, drift, offset_us)
        self.cores = cores
        self.names = [f"n{number:03d}" for number in range(doors)]
        self.number = {name: number for number, name in enumerate(self.names)}
        addresses = {name: ("127.0.0.1", 7000 + number) for name, number in self.number.items()}
        terms = SessionTerms(drift=max(0.001, drift))
        self.settings = CoordinationSettings(addresses, tuple(self.names[:seats]), session_terms=terms)
        self.panel = initial_voters(KEY, self.names[:seats])
        self.disks = {
            number: Disk(initial_disk_identity(KEY, self.names[number]).hex()) for number in range(seats)
        }
        self.words = MessageCodec(MESSAGE_TYPES)
        self.cored: dict[int, CoordinationCore] = {}
        self.lives: dict[int, NodeInstance] = {}
        self.entries: dict[int, Entry] = {}  # what was decided at each position
        self.digests: dict[int, str] = {}
        self.judged: dict[
            int, tuple[NodeInstance, int]
        ] = {}  # by front door: the position of its last digest
        self.over: dict[str, int] = {}  # by front door: the highest fence that is over for others
        self.marks: dict[str, Told] = {}
        self.bytes_out: dict[int, int] = {}
        self.words_out: dict[tuple[int, str], int] = {}
        self.turns = 0
        self.slow: frozenset[int] = frozenset()  # front doors whose words come half a second late
        for node in self.nodes:
            node.up = False
            self.at(self.random.randrange(S), partial(self.start, node))

    # --- front doors ---

    def start(self, node: Node) -> None:
        node.up = True
        name, disk = self.names[node.number], self.disks.get(node.number)
        life = NodeInstance(
            name, ((1_700_000_000_000 + self.now // 1000) << 20) + self.random.getrandbits(20)
        )
        self.lives[node.number] = life
        draw = Random(f"{life.number}").random
        wall = 1_700_000_000_000 + self.random.randint(-3000, 3000)
        identity, kept = (disk.identity, recover(disk.base, disk.records)) if disk else (NO_DISK, Recovered())
        core = self.cores(
            life,
            self.settings,
            identity,
            kept,
            self.panel,
            {NAME: Marks()},
            draw,
            lambda now_us: wall + now_us // 1000,
        )
        self.cored[node.number] = core
        self.step(node, Start())
        self.wake(node, node.life)

    def wake(self, node: Node, life: int) -> None:
        """The loop's timer: it looks at the clock, and comes again."""
        if not node.up or node.life != life:
            return

        def look() -> None:
            if self.cored[node.number].wake_us <= node.clock(self.now):
                self.step(node, Tick())

        self.on(node, look)
        due = self.cored[node.number].wake_us - node.clock(self.now)
        self.at(self.now + max(STEP_US, min(due, S // 4)), lambda: self.wake(node, life))

    def step(self, node: Node, event: Event) -> None:
        self.turns += 1
        core = self.cored[node.number]
        for action in core.handle(node.clock(self.now), event):
            self.act(node, core, action)
        self.judge(node, core)

    def act(self, node: Node, core: CoordinationCore, action: Action) -> None:
        match action:
            case SendToPeer(part, say):
                self.send(node, part, say)
            case Persist():
                life = node.life
                self.at(self.now + SYNC_US, lambda: self.on(node, lambda: self.synced(node, life, action)))
            case Applied(entry):
                self.decided(entry)
            case ProposalFinished(name, over, _, position) if name in self.marks:
                told = self.marks[name]
                told.over, told.over_us, told.position = over, self.now, position
            case _:
                pass

    def synced(self, node: Node, life: int, persist: Persist) -> None:
        disk = self.disks.get(node.number)
        if disk and disk.broken:
            self.step(node, DiskFailed("no space left on device"))
            return
        if disk:
            if persist.base is not None:
                disk.base, disk.records = persist.base, []
            disk.records.extend(persist.records)
        self.step(node, Persisted(persist.token))

    # --- the network ---

    def send(self, node: Node, part: str, say: SendMessage) -> None:
        data = self.words.encode(part, say.message)
        self.bytes_out[node.number] = self.bytes_out.get(node.number, 0) + len(data)
        self.words_out[node.number, part] = self.words_out.get((node.number, part), 0) + 1
        if (peer := self.number.get(say.recipient)) is None:
            return
        sender, wanted = self.lives[node.number], say.instance_number

        def hear() -> None:
            receiver = self.nodes[peer]
            if wanted is None or wanted == self.lives[peer].number:
                self.step(receiver, PeerMessage(part, MessageReceived(sender, self.words.decode(data)[1])))

        if not self.mail.joined(node.number, peer):
            return
        for _ in range(1 + (self.random.random() < self.mail.double)):
            if self.random.random() >= self.mail.loss:
                late = S // 2 if node.number in self.slow else 0
                most = 9 * S if self.random.random() < self.mail.old else 24_000
                self.at(
                    self.now + late + self.random.randint(1_000, most),
                    lambda: self.on(self.nodes[peer], hear),
                )

    # --- what is asked ---

    def mark(self, door: int, within_us: int = 10 * S) -> str:
        """A front door asks for a mark to be settled; its id."""
        name = f"mark-{len(self.marks)}"
        self.marks[name] = Told(self.now, door)
        node, event = self.nodes[door], Propose(NAME, name, BODY, within_us)

        def ask() -> None:
            self.marks[name].asked = True
            self.step(node, event)

        if door in self.cored:
            self.on(node, ask)
        return name

    def kill(self, node: Node, back_us: int) -> None:
        super().kill(node, back_us)
        for told in self.marks.values():
            if told.door == node.number and told.over is None:
                told.asked = False  # nobody waits for the word any more

    def living(self) -> list[int]:
        return [door for door in self.cored if self.nodes[door].up and not self.nodes[door].stopped]

    def holding(self, door: int) -> bool:
        """Whether it would act under its session now, by its own clock."""
        node = self.nodes[door]
        return door in self.cored and node.up and self.cored[door].holds_session(node.clock(self.now))

    def leaders(self) -> list[int]:
        return [
            door
            for door in self.living()
            if self.cored[door].leader == self.names[door]
            and self.cored[door].components.lease_manager.manages
        ]

    # --- the judge ---

    def decided(self, entry: Entry) -> None:
        known = self.entries.setdefault(entry.position, entry)
        if known != entry:
            raise BrokenError(f"two values at {entry.position}: {known.id} and {entry.id}")
        if entry.machine == SESSIONS:
            body: Any = decode(entry.body)
            if isinstance(body, SessionEnded):
                self.over[body.instance.name] = max(self.over.get(body.instance.name, 0), body.fencing_token)

    def judge(self, node: Node, core: CoordinationCore) -> None:
        if self.judged.get(node.number) != (core.local_instance, core.position):
            self.judged[node.number] = core.local_instance, core.position
            digest = core.components.log.digest()
            if self.digests.setdefault(core.position, digest) != digest:
                raise BrokenError(f"two hashes at position {core.position}")
        if not core.end_reason and self.holding(node.number) and core.components.lease_holder.fencing_token:
            # An end counts only if the log took it: one that was void left the session open everywhere.
            fence = core.components.lease_holder.fencing_token
            if self.over.get(core.local_instance.name, 0) >= fence and self.ended_by(
                core.local_instance, fence
            ):
                raise BrokenError(
                    f"{core.local_instance.name} holds session {fence}, which is over for others"
                )

    def ended_by(self, life: NodeInstance, fence: int) -> bool:
        """Whether any front door has applied an end of this session."""
        for core in self.cored.values():
            past = core.components.sessions.last_ended_session(life.name)
            if past and past.instance == life and past.fencing_token >= fence:
                return True
        return False

    def proofs(self) -> None:
        """Marks that are settled: whether all have them, and whether a proof was given too early."""
        for told in self.marks.values():
            if not told.position or (told.proof_us and told.everywhere_us):
                continue
            lacking = [
                door
                for door in range(len(self.nodes))
                if door in self.cored and self.cored[door].position < told.position
            ]
            if not told.everywhere_us and not any(door in lacking for door in self.living()):
                told.everywhere_us = self.now
            for door in self.leaders():
                if self.cored[door].track_acknowledgements(told.position, 0).proof() is not None:
                    told.proof_us = told.proof_us or self.now
            if told.proof_us and (bad := [door for door in lacking if self.holding(door)]):
                raise BrokenError(f"a proof at {told.position}, and {bad} hold sessions without it")
