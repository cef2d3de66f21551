"""Front doors and cells around a toy log: one true order, readers that lag, stop, die, start from snapshots,
words and attempts that are lost, late and doubled, and more than one that believes it leads."""

from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec

from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.interface.core import Tick
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import Applied, Entry, Outcome, Propose, Restored
from molereach.coordination.leases import bodies as leases
from molereach.coordination.leases.sessions import EndedSession, SessionRegistry
from molereach.policy.interface.settings import Idempotency
from molereach.shards.map.shard_map import Home, ShardMap, unsound
from molereach.shards.proof import Word
from molereach.shards.splits import bodies
from molereach.shards.splits.bodies import Clear, Close, Found, GiveUp, Hand, Plan
from molereach.shards.splits.commands import Done, Tell
from molereach.shards.splits.driver import Begin, Driver, Unneeded
from molereach.shards.splits.machine import Shards, SplitSettings
from molereach.shards.splits.record import Record
from molereach.shards.splits.router import DoorShards
from molereach.shards.splits.routing_interface import Place
from molereach.shards.splits.states import State
from tests.shards.generated import HOMES, even_map
from tests.shards.splits.simulated_cells import Answer, Attempt, Cell, cells_of

WINDOW_MS = 8_000
STEP_US = 60_000
UPKEEP = "upkeep"


class ToyUpkeep:
    """Takes one cell out at a time, by entries; it asks the splits as they ask it."""

    def __init__(self) -> None:
        self.out: set[str] = set()
        self.shards: Shards | None = None

    def taken(self, home: Home, at_ms: int) -> str:
        return "work" if home.cell in self.out else ""

    def apply(self, entry: Entry) -> Outcome:
        assert self.shards
        home = msgspec.json.decode(entry.body, type=Home)
        if home.cell in self.out:
            self.out.discard(home.cell)
        elif not self.shards.at_work(home):
            self.out.add(home.cell)
        return Outcome()


@dataclass(frozen=True)
class Kinds:
    """What is run; a mutation takes the place of one."""

    shards: type[Shards] = Shards
    door: type[DoorShards] = DoorShards
    cell: type[Cell] = Cell


class Reader:
    """One life of one front door."""

    def __init__(self, me: NodeInstance, kinds: Kinds) -> None:
        self.me, self.sessions, self.upkeep = me, SessionRegistry(), ToyUpkeep()
        self.shards = kinds.shards(SplitSettings(WINDOW_MS), self.sessions, self.upkeep)
        self.upkeep.shards = self.shards
        self.door = kinds.door(self.shards)
        self.applied, self.stopped = 0, False
        self.driver: Driver | None = None

    def take(self, now_us: int, entry: Entry) -> Outcome:
        machines = {leases.MACHINE: self.sessions, bodies.MACHINE: self.shards, UPKEEP: self.upkeep}
        outcome: Outcome = machines[entry.machine].apply(entry)  # type: ignore[attr-defined]
        self.applied = entry.position
        self.door.handle(now_us, Applied(entry, outcome))
        return outcome

    def restore(self, now_us: int, other: "Reader") -> None:
        self.sessions.restore(other.sessions.snapshot())
        self.shards.restore(other.shards.snapshot())
        assert self.shards.snapshot() == other.shards.snapshot()
        self.upkeep.out, self.applied = set(other.upkeep.out), other.applied
        self.door.handle(now_us, Restored(other.applied))


@dataclass
class Call:
    """A client's request at one front door."""

    attempt: Attempt
    name: str
    tried: Place | None = None
    left: int = 3


class World:
    def __init__(self, draw: Callable[[], float], kinds: Kinds = Kinds(), shards: int = 2) -> None:
        self.draw, self.kinds, self.now_us = draw, kinds, 0
        self.entries: list[Entry] = []
        self.ids: set[str] = set()
        first = even_map(shards)
        self.cells = cells_of(first, kinds.cell)
        for home in HOMES[:8]:
            self.cells.setdefault(home.cell, kinds.cell(home, self.cells))
        self.truth = Reader(NodeInstance("truth", 0), kinds)
        self.readers: dict[str, Reader] = {}
        self.said: dict[int, tuple[int, int]] = {}  # by fence: applied and clear
        self.pool: list[Callable[[], None]] = []  # under way; each may be lost and late
        self.once: set[Callable[[], None]] = set()  # of those, attempts and answers; others may be doubled
        self.sides: dict[str, set[str]] = {}  # of unsafe requests
        self.tries: dict[tuple[str, str], set[str]] = {}  # of keyed requests, by front door's life
        self.sent_us: dict[str, int] = {}
        self.keyed: list[Attempt] = []
        self.copied: dict[str, int] = {}
        self.handed: dict[str, int] = {}
        self.number = 0
        self.answers: list[Answer] = []
        for name in "abc":
            self.start(NodeInstance(name, 1))
        self.add(bodies.MACHINE, bodies.encode(Found(first.pieces, (0,) * shards)), NodeInstance("a", 1))

    # --- the log ---

    def add(self, machine: str, body: bytes, proposer: NodeInstance, id: str = "") -> Outcome:
        id = id or f"own{len(self.entries)}"
        if id in self.ids:
            return Outcome("told again")
        self.ids.add(id)
        entry = Entry(len(self.entries) + 1, machine, id, proposer, self.now_us // 1000, body)
        self.entries.append(entry)
        outcome = self.truth.take(self.now_us, entry)
        if not outcome.error and machine == bodies.MACHINE:
            self.judge(bodies.decode(body), entry)
        self.sound()
        return outcome

    def judge(self, body: bodies.Body, entry: Entry) -> None:
        """What must hold of a step that was taken."""
        match body:
            case bodies.Copy():
                self.copied[body.id] = entry.position
            case Hand():
                self.handed[body.id] = entry.position
                self.all_have(self.copied[body.id], lambda reader: reader.applied)
            case Clear():
                self.all_have(self.handed[body.id], lambda reader: reader.applied)
                for reader in self.readers.values():
                    pin = reader.door._pins.get(body.id)
                    opened = self.truth.sessions.active_session(reader.me.name)
                    if (
                        pin
                        and opened
                        and opened.instance == reader.me
                        and opened.fencing_token < self.handed[body.id]
                    ):
                        assert pin.until_us <= self.now_us, "a front door still sends repeats to the old side"

    def all_have(self, position: int, has: Callable[[Reader], int]) -> None:
        for session in self.truth.sessions.active_sessions():
            reader = self.readers.get(session.instance.name)
            if session.fencing_token < position and reader and reader.me == session.instance:
                assert has(reader) >= position, f"{session.instance.name} does not have {position}"

    def sound(self) -> None:
        book, found = self.truth.shards.book, self.truth.shards.map
        assert not (found and unsound(found))
        homes = [home for split in book.open.values() for home in split.homes]
        assert len(set(homes)) == len(homes), "two splits of one cell"
        for home in homes:
            assert not (home.cell in self.truth.upkeep.out and self.truth.shards.at_work(home)), "upkeep too"

    def start(self, life: NodeInstance) -> Reader:
        reader = Reader(life, self.kinds)
        reader.restore(self.now_us, self.truth)
        self.readers[life.name] = reader
        self.open(reader)
        return reader

    def open(self, reader: Reader) -> None:
        self.add(leases.MACHINE, leases.encode(leases.OpenSession(reader.me)), reader.me)

    def over(self, name: str) -> None:
        opened = self.truth.sessions.active_session(name)
        if opened:
            ended = leases.EndSession(opened.instance, opened.fencing_token, 0)
            self.add(leases.MACHINE, leases.encode(ended), opened.instance)

    def catch_up(self, reader: Reader, most: int = 1 << 30) -> None:
        for entry in self.entries[reader.applied : reader.applied + most]:
            reader.take(self.now_us, entry)

    def say(self, reader: Reader) -> None:
        """With its session, as the keeper hears it."""
        opened = reader.sessions.active_session(reader.me.name)
        if opened and opened.instance == reader.me:
            reader.door.handle(self.now_us, Tick())
            self.said[opened.fencing_token] = (reader.applied, reader.door.clear)

    # --- accounts, for the driver at a reader ---

    def account(self, reader: Reader, position: int, which: int) -> tuple[NodeClearance, ...] | None:
        found = []
        if reader.applied < position:
            return None
        for session in reader.sessions.sessions_open_at(position):
            if isinstance(session, EndedSession):
                found.append(NodeClearance(session.instance, session.evidence, session.position))
            elif self.said.get(session.fencing_token, (0, 0))[which] >= position:
                found.append(NodeClearance(session.instance, ClearanceEvidence.REPORTED, position))
            else:
                return None
        return tuple(found)

    def lead(self, name: str, ballot: int) -> None:
        world, reader = self, self.readers[name]

        class Accounts:
            def applied(self, position: int) -> tuple[NodeClearance, ...] | None:
                return world.account(reader, position, 0)

            def clear(self, position: int) -> tuple[NodeClearance, ...] | None:
                return world.account(reader, position, 1)

        reader.driver = Driver(reader.shards, reader.sessions, Accounts(), ballot)

    def drive(self, reader: Reader, event: Begin | Unneeded | Done | Tick) -> None:
        if reader.driver is None or reader.stopped:
            return
        for action in reader.driver.handle(self.now_us, event):
            if isinstance(action, Propose):
                self.pool.append(lambda action=action: self.propose(reader, action))  # type: ignore[misc]
            elif isinstance(action, Tell):
                self.pool.append(lambda action=action: self.tell(reader, action))  # type: ignore[misc]

    def propose(self, reader: Reader, action: Propose) -> None:
        self.add(action.machine, action.body, reader.me, action.id)

    def tell(self, reader: Reader, action: Tell) -> None:
        done = self.cells[action.home.cell].tell(action.order, action.split)
        if done is not None:
            self.pool.append(lambda: self.drive(reader, done))

    def wild(self, split: Record) -> None:
        """A step that is proposed by one who does not look: with whatever proof there is."""
        words = []
        for session in self.truth.sessions.sessions_open_at(split.position):
            if isinstance(session, EndedSession):
                words.append(Word(session.fencing_token, session.evidence, session.position))
            elif self.said.get(session.fencing_token, (0, 0))[split.state is State.HANDED] >= split.position:
                words.append(Word(session.fencing_token, ClearanceEvidence.REPORTED, split.position))
        body: bodies.Body = Close(split.id, split.position, tuple(words))
        if split.state is State.HANDED:
            body = Clear(split.id, split.position, tuple(words))
        elif self.draw() < 0.04:
            body = GiveUp(split.id, split.position, "no reason")
        self.add(bodies.MACHINE, bodies.encode(body), NodeInstance("a", 1))

    # --- requests ---

    def ask(self, name: str, effect: Idempotency, member: int, size: int = 1) -> None:
        self.number += 1
        attempt = Attempt(f"r{self.number}", member, effect, False, size)
        self.sent_us[attempt.id] = self.now_us
        if effect is Idempotency.IDEMPOTENT_WITH_KEY:
            self.keyed.append(attempt)
        self.send(Call(attempt, name))

    def repeat(self, name: str, attempt: Attempt) -> None:
        """The client asks again, at any front door, within its window."""
        if self.now_us - self.sent_us[attempt.id] < WINDOW_MS * 1000:
            self.send(Call(replace(attempt, again=True), name))

    def send(self, call: Call) -> None:
        reader, attempt = self.readers[call.name], call.attempt
        if reader.stopped or self.now_us - self.sent_us[attempt.id] >= WINDOW_MS * 1000:
            return
        place = reader.door.place(self.now_us, attempt.member, attempt.effect, attempt.again, call.tried)
        if place is None:
            return
        again = attempt.again or call.tried is not None
        sent = replace(attempt, again=again)
        if attempt.effect is Idempotency.NON_IDEMPOTENT:
            self.sides.setdefault(attempt.id, set()).add(place.cell)
            assert len(self.sides[attempt.id]) == 1, "an unsafe request to both sides"
        if attempt.effect is Idempotency.IDEMPOTENT_WITH_KEY and call.tried:
            assert place.cell == call.tried.cell, "a keyed request was moved"
        call.tried = place

        def arrive() -> None:
            answer = self.cells[place.cell].handle(sent)
            self.answers.append(answer)
            if answer.ran:
                ran = [each for cell in self.cells.values() for each in cell.ran if each.id == sent.id]
                assert sent.effect is Idempotency.IDEMPOTENT or len(ran) == 1, f"{sent.effect} ran twice"
            self.post(lambda: self.answered(call, place, answer))

        self.post(arrive)

    def post(self, one: Callable[[], None]) -> None:
        self.pool.append(one)
        self.once.add(one)

    def answered(self, call: Call, place: Place, answer: Answer) -> None:
        reader, found = self.readers[call.name], self.truth.shards.map
        if answer.busy and call.left and found and not reader.stopped:
            call.left -= 1
            reader.door.turned_away(self.now_us, place, found.version)
            if any(reader.door.handle(self.now_us, Tick())):
                self.catch_up(reader)  # it learns
            self.send(call)

    # --- running it ---

    def step_time(self) -> None:
        self.now_us += int(self.draw() * 2 * STEP_US)

    def wait(self, us: int) -> None:
        self.now_us += us

    def fair(self, rounds: int, before: Callable[[int], None] = lambda round: None) -> None:
        """All that lives goes on, and all arrives once."""
        for round in range(rounds):
            self.now_us += STEP_US
            before(round)
            for reader in self.readers.values():
                if not reader.stopped:
                    self.catch_up(reader)
                    self.say(reader)
                    self.drive(reader, Tick())
            under_way, self.pool = self.pool, []
            for one in under_way:
                one()

    def state(self, id: str) -> State | None:
        split = self.truth.shards.book.get(id)
        return split.state if split else None

    def check_stores(self) -> None:
        """Each member's bytes are where the map says, and only there; sizes are the servers' own."""
        found = self.truth.shards.map
        assert found
        written: dict[int, int] = {}
        for cell in self.cells.values():
            for attempt in cell.ran:
                written[attempt.member] = written.get(attempt.member, 0) + attempt.size
        for index, piece in enumerate(found.pieces):
            inside = {
                member: size for member, size in written.items() if piece.first <= member < found.end(index)
            }
            for name, cell in self.cells.items():
                stored = {
                    member: size
                    for member, size in cell.stored.items()
                    if piece.first <= member < found.end(index)
                }
                assert stored == (inside if name == piece.home.cell else {}), f"{name} has {piece.shard}"
            counted = sum(cell.by_shard.get(piece.shard, 0) for cell in self.cells.values())
            assert self.truth.shards.base(piece.shard) + counted == sum(inside.values())


def plan(found: ShardMap, id: str, index: int = 0, part: float = 0.5) -> Plan:
    """Of a map's shard, to the next cell of its building."""
    piece = found.pieces[index]
    cut = piece.first + int((found.end(index) - piece.first) * part)
    same = [home for home in HOMES[:8] if home.building == piece.home.building]
    return Plan(id, piece.shard, cut, same[(same.index(piece.home) + 2) % len(same)])
