"""Front doors that count, on a toy log with the real sessions, with words lost, doubled and late."""

from collections.abc import Callable

from molereach.coordination.interface.clearance import ClearanceEvidence
from molereach.coordination.interface.core import MessageReceived, SendMessage, Tick
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import Applied, Entry, Outcome, Propose
from molereach.coordination.leases import bodies as leases
from molereach.coordination.leases.sessions import EndedSession, SessionRegistry
from molereach.shards.counts import bodies
from molereach.shards.counts.bodies import Forget
from molereach.shards.counts.machine import Folds
from molereach.shards.counts.recorder import BEAT_US, Confirmed, DoorCounts, Leader
from molereach.shards.proof import Word


class AllCounted:
    def counted(self, shard: int) -> bool:
        return shard < 100


class Reader:
    """A front door with its own copy of the machines, which may lag."""

    def __init__(self, me: NodeInstance, folds: type[Folds] = Folds) -> None:
        self.me, self.sessions = me, SessionRegistry()
        self.folds = folds(self.sessions, AllCounted())
        self.door = DoorCounts(me, self.folds, 0)
        self.applied, self.alive, self.written = 0, True, 0

    def take(self, now_us: int, entry: Entry) -> Outcome:
        machine = self.sessions if entry.machine == leases.MACHINE else self.folds
        outcome = machine.apply(entry)
        self.applied = entry.position
        self.door.handle(now_us, Applied(entry, outcome))
        return outcome


class World:
    def __init__(self, draw: Callable[[], float], folds: type[Folds] = Folds) -> None:
        self.draw, self.folds, self.now_us = draw, folds, 0
        self.entries: list[Entry] = []
        self.readers: dict[NodeInstance, Reader] = {}
        self.truth = Reader(NodeInstance("truth", 0), folds)  # applies each entry at once
        self.outcomes: list[Outcome] = []
        self.confirmed: dict[int, int] = {}  # bytes by shard, as the servers have them
        self.told: list[tuple[str, object]] = []

    def add(self, machine: str, body: bytes, proposer: NodeInstance) -> Outcome:
        entry = Entry(len(self.entries) + 1, machine, f"id{len(self.entries)}", proposer, 1000, body)
        self.entries.append(entry)
        self.outcomes.append(self.truth.take(self.now_us, entry))
        return self.outcomes[-1]

    def start(self, life: NodeInstance) -> Reader:
        self.readers[life] = Reader(life, self.folds)
        self.add(leases.MACHINE, leases.encode(leases.OpenSession(life)), life)
        self.catch_up(life)
        self.lead(self.leader)
        return self.readers[life]

    leader = "a"

    def lead(self, name: str) -> None:
        self.leader = name
        for reader in self.readers.values():
            reader.door.handle(self.now_us, Leader(name))

    def over(self, life: NodeInstance) -> None:
        opened = self.truth.sessions.active_session(life.name)
        assert opened
        ended = leases.EndSession(life, opened.fencing_token, 0)
        assert not self.add(leases.MACHINE, leases.encode(ended), life).error

    def catch_up(self, life: NodeInstance, most: int = 1 << 30) -> None:
        reader = self.readers[life]
        for entry in self.entries[reader.applied : reader.applied + most]:
            reader.take(self.now_us, entry)

    def write(self, life: NodeInstance, shard: int, size: int) -> None:
        self.confirmed[shard] = self.confirmed.get(shard, 0) + size
        self.readers[life].door.handle(self.now_us, Confirmed(shard, size))

    def beat(self, life: NodeInstance, lose: float = 0.0) -> None:
        reader = self.readers[life]
        self.now_us += 2 * BEAT_US + 1
        for action in reader.door.handle(self.now_us, Tick()):
            if isinstance(action, SendMessage):
                self.told.append((action.recipient, action.message))
            elif isinstance(action, Propose) and self.draw() >= lose:
                self.add(action.machine, action.body, life)

    def deliver(self, index: int, keep: bool) -> None:
        to, message = self.told[index] if keep else self.told.pop(index)
        for life, reader in self.readers.items():
            if life.name == to and reader.alive:
                reader.door.handle(self.now_us, MessageReceived(life, message))

    def forget(self, life: NodeInstance) -> Outcome:
        """With the fullest proof there is: of who is open, the `clear` that it says."""
        begun = self.truth.folds.begun(life)
        if begun is None:
            return Outcome("not folded")
        words = []
        for session in self.truth.sessions.sessions_open_at(begun):
            reader = self.readers.get(session.instance)
            if isinstance(session, EndedSession):
                words.append(Word(session.fencing_token, session.evidence, session.position))
            elif reader and reader.door.clear >= begun:
                words.append(Word(session.fencing_token, ClearanceEvidence.REPORTED, reader.door.clear))
        return self.add(bodies.MACHINE, bodies.encode(Forget(life, begun, tuple(words))), life)

    def bearable(self, life: NodeInstance) -> bool:
        """Whether others have all that this front door knows; what a life told nobody dies with it."""
        gone = self.readers[life]
        gone.door.merged.merge(life, gone.door.own.rows())
        others = [reader.door.merged for each, reader in self.readers.items() if each != life]
        for each in gone.door.merged.lives():
            if self.truth.folds.forgotten(each):
                continue
            lacking = set(gone.door.merged.of(each)) - {row for other in others for row in other.of(each)}
            kept = self.truth.folds.kept().get(each, {})
            if any(kept.get(row.shard) is None or kept[row.shard].bytes < row.bytes for row in lacking):
                return False
        return True

    def counted(self, life: NodeInstance) -> dict[int, int]:
        return {shard: count.bytes for shard, count in self.readers[life].door.merged.totals().items()}
