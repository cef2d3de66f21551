"""A virtual world: one true log, front doors that lag, die and are stopped, servers with journals of their
own.

Time goes in steps. Sessions are given and ended as `leases` promises and no sooner: a front door's own end
comes first. All chance is of the seed; a broken invariant raises `BrokenError` at the step in which it
broke.
"""

import random
from collections.abc import Callable

from molereach.coordination.interface.clearance import ClearanceEvidence
from molereach.coordination.interface.core import Tick
from molereach.coordination.interface.identifiers import SECOND_US, NodeInstance
from molereach.coordination.interface.log import (
    Applied,
    Entry,
    LeaderChanged,
    Outcome,
    ProposalFinished,
    ProposalStatus,
    Propose,
    Restored,
)
from molereach.coordination.interface.sessions import SessionTerms
from molereach.coordination.leases.bodies import EndSession as SessionEnded
from molereach.coordination.leases.bodies import OpenSession
from molereach.coordination.leases.bodies import encode as encode_session
from molereach.coordination.leases.sessions import EndedSession
from molereach.upkeep.driver import Driver
from molereach.upkeep.permits.bodies import Move, Out, Word, decode, encode
from molereach.upkeep.permits.clearance_accounting import Accounting
from molereach.upkeep.permits.fact_reporting import Measured
from molereach.upkeep.permits.lifecycle import GONE, LEAVING, UNSENDABLE, State, Step
from molereach.upkeep.permits.proof import needed
from molereach.upkeep.permits.record import Record
from molereach.upkeep.routing import Began, Ended
from molereach.upkeep.rules.fleet_facts import Facts
from tests.upkeep.builders import NOON_MS, server
from tests.upkeep.state_machine_log import LoneSessions
from tests.upkeep.world_parts import REAL, SETTINGS, STEP_US, BrokenError, Cores, Door, Held, Server

TURN_US = SECOND_US // 100
TERMS = SessionTerms(15 * SECOND_US, 0.01)
NAMES = ("a", "b", "c")
SERVERS = tuple(f"s{number}" for number in range(5))


class World:
    """Moved on by `step`; `calm` ends all trouble."""

    def __init__(self, seed: int, cores: Cores = REAL) -> None:
        self.chance, self.cores = random.Random(seed), cores
        self.now = 1
        self.order: list[Entry] = []
        self.outcomes: list[Outcome] = []
        self.ids: dict[str, int] = {}
        self.sessions = LoneSessions()
        self.truth = cores.machine(cores.settings, self.sessions)
        self.servers = {name: Server() for name in SERVERS}
        self.doors: dict[str, Door] = {}
        self.said: dict[int, int] = {}
        self.leader: Door | None = None
        self.mail: list[tuple[int, Callable[[], None]]] = []
        self.ballot = 0
        self.eager = seed % 2 == 0  # drivers that do not wait for front doors without a session
        self.permits: dict[int, str] = {}
        self.never = False  # one machine at most never comes back
        self.sent = self.drained = self.recalled = 0
        for name in NAMES:
            self.start(name)
        self.elect(self.doors["a"])

    # --- front doors ---

    def start(self, name: str) -> None:
        """A new run; the one before is dead, and its requests with it."""
        before = self.doors.get(name)
        number = before.life.number + 1 if before else 1
        sessions = LoneSessions()
        machine, held = self.cores.machine(self.cores.settings, sessions), Held()
        rate = self.chance.choice((0.996, 1.0, 1.004))
        door = Door(
            NodeInstance(name, number),
            rate,
            sessions,
            machine,
            held,
            self.cores.door(machine, held),
            Driver(NodeInstance(name, number), machine, self),
        )
        if self.eager:
            door.driver._accounting = Accounting(sessions, self, 0)
        for each in self.servers.values():
            each.flying = [(until, by) for until, by in each.flying if by is not before]
        self.doors[name] = door

    def clear(self, name: str, fence: int) -> int:
        """What the driver asks; all that leads hears the same here."""
        return self.said.get(fence, 0)

    def elect(self, door: Door) -> None:
        self.leader, self.ballot = door, self.ballot + 1
        for each in self.doors.values():
            if each is door or self.chance.random() < 0.6:  # some believe still that they lead
                self.act(
                    each,
                    each.driver.handle(
                        each.now_us(self.now), LeaderChanged(door.life.name, self.ballot, each is door)
                    ),
                )

    def act(self, door: Door, actions: object) -> None:
        assert isinstance(actions, list | tuple)
        for action in actions:
            if isinstance(action, Propose):
                self.propose(door, action)

    def propose(self, door: Door, propose: Propose) -> None:
        chance = self.chance.random()
        if chance < 0.85 and self.now >= door.cut:
            settled = self.now + self.chance.choice((0, 0, 0, 1, 4))
            self.mail.append((settled, lambda: self.settle(door, propose)))
        else:
            unknown = ProposalFinished(propose.id, ProposalStatus.UNKNOWN)
            self.mail.append((self.now + 1, lambda: door.waiting.append(unknown)))

    def settle(self, door: Door, propose: Propose) -> None:
        if propose.id not in self.ids:
            self.ids[propose.id] = self.append(propose.machine, propose.body, door.life, propose.id)
        position = self.ids[propose.id]
        door.waiting.append(
            ProposalFinished(propose.id, ProposalStatus.APPLIED, self.outcomes[position - 1], position)
        )

    # --- the log ---

    def append(self, machine: str, body: bytes, by: NodeInstance, id: str = "") -> int:
        position = len(self.order) + 1
        entry = Entry(position, machine, id or f"w{position}", by, NOON_MS + self.now * STEP_US // 1000, body)
        before = {name: each.state for name, each in self.truth.book.records.items()}
        outcome = (self.sessions if machine == "sessions" else self.truth).apply(entry)
        self.order.append(entry)
        self.outcomes.append(outcome)
        if machine == "upkeep" and not outcome.error:
            self.settled(entry, before)
        return position

    def settled(self, entry: Entry, before: dict[str, State]) -> None:
        body = decode(entry.body)
        if not isinstance(body, Move | Out):
            return
        record = self.truth.book.get(body.id)
        assert record is not None
        if isinstance(body, Out):
            self.let_out(entry, record)
        elif body.step is Step.DRAIN:
            self.drained += 1
            self.rules_hold(entry, record)
        self.recalled += isinstance(body, Move) and body.step is Step.RECALL

    def let_out(self, entry: Entry, record: Record) -> None:
        if record.permit in self.permits:
            raise BrokenError(f"permit {record.permit} is given twice")
        self.permits[record.permit] = record.work.id
        self.rules_hold(entry, record)
        machine = self.servers[record.work.machine]
        if any(until > self.now for until, _ in machine.flying):
            raise BrokenError(f"{record.work.machine} is let out while in use, at {entry.position}")
        machine.ready = False
        chance = self.chance.random()
        never = chance < 0.1 and self.now < self.until and not self.never
        self.never |= never
        machine.back_at = 0 if never else self.now + self.chance.randrange(2, 20)

    def rules_hold(self, entry: Entry, record: Record) -> None:
        """By counts of its own, from what is kept."""
        book, settings = self.truth.book, self.cores.settings
        if entry.at_ms - book.fleet.facts.at_ms > SETTINGS.fresh_ms:
            raise BrokenError(f"facts of {entry.at_ms - book.fleet.facts.at_ms} ms decided {entry.position}")
        away = [each for each in book.records.values() if each.state in UNSENDABLE - {State.LOST}]
        taken = away + [each for each in book.records.values() if each.state is State.WARM]
        if len(taken) > settings.most_out:
            raise BrokenError(f"{len(taken)} are taken at {entry.position}")
        names = {each.work.machine for each in book.records.values() if each.state in UNSENDABLE}
        left = [each for each in book.fleet.facts.servers if each.ready and each.name not in names]
        was_ready = any(each.ready and each.name == record.work.machine for each in book.fleet.facts.servers)
        if was_ready and len(left) < settings.least_ready_cell:
            raise BrokenError(f"{len(left)} servers are left at {entry.position}")
        for each in away:
            if set(each.work.not_with) & {other.work.machine for other in away}:
                raise BrokenError(f"{each.work.machine} is away beside what it may not, at {entry.position}")

    # --- a step ---

    def step(self) -> None:
        self.now += 1
        due = [act for at, act in self.mail if at <= self.now]
        self.mail = [(at, act) for at, act in self.mail if at > self.now]
        for act in due:
            act()
        self.serve_servers()
        for name in self.chance.sample(NAMES, len(NAMES)):
            door = self.doors[name]
            if self.now >= door.stopped:
                self.turn(door)
        self.end_sessions()
        away = [door for door in self.doors.values() if self.now < max(door.stopped, door.cut)]
        if self.leader in away and len(away) < len(NAMES) and self.chance.random() < 0.4:
            self.elect(next(door for door in self.doors.values() if door not in away))

    def turn(self, door: Door) -> None:
        """One front door's turn, in one of the orders in which things may come after it was stopped."""
        parts = [self.send, self.learn, self.renew, self.lead]
        if self.chance.random() < 0.5:
            parts = [self.learn, self.send, self.lead, self.renew]
        for part in parts:
            part(door)

    def send(self, door: Door) -> None:
        now_us = door.now_us(self.now)
        for name in self.chance.sample(SERVERS, 3):
            if door.side.may_send(now_us, name):
                self.journal(door, name)

    def journal(self, door: Door, name: str) -> None:
        machine = self.servers[name]
        holder = next(
            (
                each
                for each in self.truth.book.records.values()
                if each.work.machine == name and each.state in GONE
            ),
            None,
        )
        if holder is not None:
            raise BrokenError(f"{door.life} sent to {name}, out by {holder.permit}, at step {self.now}")
        self.sent += 1
        door.side.handle(door.now_us(self.now), Began(name))
        machine.flying.append((self.now + self.chance.choice((0, 1, 2, 3)), door))

    def learn(self, door: Door) -> None:
        if self.now < door.cut:
            return
        lag = self.chance.choice((0, 0, 0, 1, 6)) if self.now < self.until else 0
        last, now_us = max(door.learnt, len(self.order) - lag), door.now_us(self.now)
        if last - door.learnt > 20 and last == len(self.order):
            door.sessions.restore(self.sessions.snapshot())
            door.machine.restore(self.truth.snapshot())
            door.learnt = last
            door.side.handle(now_us, Restored(last))
            self.act(door, door.driver.handle(now_us, Restored(last)))
        for entry, outcome in zip(
            self.order[door.learnt : last], self.outcomes[door.learnt : last], strict=True
        ):
            found = (door.sessions if entry.machine == "sessions" else door.machine).apply(entry)
            if found != outcome:
                raise BrokenError(f"another outcome at {entry.position}: {found} for {outcome}")
            door.learnt = entry.position
            door.side.handle(now_us, Applied(entry, outcome))
            self.act(door, door.driver.handle(now_us, Applied(entry, outcome)))

    def renew(self, door: Door) -> None:
        """Open a session, or renew it and say how far it is clear; what is said is heard."""
        if self.now < door.cut:
            return
        true, mine = (
            self.sessions.active_session(door.life.name),
            door.sessions.active_session(door.life.name),
        )
        if true is None or true.instance != door.life:
            if self.chance.random() < 0.5:
                self.append("sessions", encode_session(OpenSession(door.life)), door.life)
                door.given_us = self.now * STEP_US
        elif mine == true:
            clear = door.side.clear
            before = self.said.get(true.fencing_token, 0)
            if clear < before:
                raise BrokenError(f"{door.life} is clear only of {clear}, after {before}")
            self.said[true.fencing_token], door.given_us = clear, self.now * STEP_US
            door.held.fencing_token = true.fencing_token
            door.held.until_us = door.now_us(self.now) + int(TERMS.holder_duration_us * 0.99)

    def end_sessions(self) -> None:
        for name, door in self.doors.items():
            opened = self.sessions.active_session(name)
            given_us = door.given_us if opened and opened.instance == door.life else 0
            if opened and self.now * STEP_US - given_us > int(TERMS.expiry_us * 1.02):
                ended = SessionEnded(opened.instance, opened.fencing_token, 0)
                self.append("sessions", encode_session(ended), door.life)

    def lead(self, door: Door) -> None:
        now_us = door.now_us(self.now)
        waiting, door.waiting = door.waiting, []
        for over in waiting:
            if over.position <= door.learnt:
                self.act(door, door.driver.handle(now_us, over))
            else:
                door.waiting.append(over)
        # At times it knows only what it measured before.
        if self.chance.random() < 0.8 or self.now >= self.until:
            self.act(door, door.driver.handle(now_us, Measured(self.facts())))
        for number in range(4):  # it may have several turns within a step, as for a plan
            if now_us + number * TURN_US >= door.driver.wake_us:
                self.act(door, door.driver.handle(now_us + number * TURN_US, Tick()))

    # --- servers ---

    until = 1 << 30  # the step at which trouble ends

    def facts(self) -> Facts:
        return Facts(
            servers=tuple(
                server(name, ready=each.ready, warmth=each.warmth, load=100)
                for name, each in self.servers.items()
            )
        )

    def serve_servers(self) -> None:
        for name, each in self.servers.items():
            for until, door in list(each.flying):
                # A front door that is stopped hears of the end when it wakes; the server is done with it.
                if until <= self.now and self.now >= door.stopped:
                    each.flying.remove((until, door))
                    door.side.handle(door.now_us(self.now), Ended(name))
            if each.back_at and each.back_at <= self.now:
                each.ready, each.warmth, each.back_at = True, 0, 0
            each.warmth = min(1000, each.warmth + 100) if each.ready else 0

    # --- trouble ---

    def trouble(self) -> None:
        door = self.doors[self.chance.choice(NAMES)]
        match self.chance.randrange(24):
            case 0:
                self.elect(door)
            case 1 | 2:
                door.stopped = self.now + self.chance.randrange(1, 30)
                door.cut = door.stopped + self.chance.choice((0, 0, 10))
            case 3 | 4:
                door.cut = self.now + self.chance.randrange(1, 40)
            case 5:
                self.start(door.life.name)
            case 6:
                self.lose(1)
            case 7 | 8 if any(each.state in LEAVING for each in self.truth.book.records.values()):
                self.lose(3)
            case 10 | 11 | 12 | 13 | 14:
                self.rogue(door)
            case 9:
                ids = [id for id in self.truth.book.records]
                if ids:
                    self.append("upkeep", encode(Move(self.chance.choice(ids), Step.WITHDRAW)), door.life)

    def rogue(self, door: Door) -> None:
        """A driver that is wrong: some step, or a permit by a proof that is true and not full."""
        records = list(self.truth.book.records.values())
        if not records:
            return
        record = self.chance.choice(records)
        if self.chance.random() < 0.3:
            step = self.chance.choice([step for step in Step if step not in (Step.OUT, Step.BACK)])
            self.append("upkeep", encode(Move(record.work.id, step, record.begun)), door.life)
        else:
            words = tuple(
                Word(each.fencing_token, each.evidence, each.position)
                if isinstance(each, EndedSession)
                else Word(
                    each.fencing_token, ClearanceEvidence.REPORTED, self.said.get(each.fencing_token, 0)
                )
                for each in needed(self.sessions, record.begun)
            )
            if record.state is State.DRAINING:
                self.append("upkeep", encode(Move(record.work.id, Step.EMPTY, record.begun)), door.life)
            self.append("upkeep", encode(Out(record.work.id, record.begun, words)), door.life)

    def lose(self, count: int) -> None:
        """Servers that nobody planned to lose."""
        for name in self.chance.sample(SERVERS, count):
            each = self.servers[name]
            if each.ready:
                each.ready, each.back_at = False, self.now + self.chance.randrange(3, 30)

    def calm(self) -> None:
        self.until = self.now
        for door in self.doors.values():
            door.stopped = door.cut = 0
        for each in self.servers.values():
            if not each.ready:
                each.back_at = each.back_at or self.now + 1
        self.elect(self.doors["b"])

    @property
    def finished(self) -> bool:
        """Whether all is over, but for what was lost and never came."""
        return all(
            each.state is State.LOST and not self.servers[each.work.machine].ready
            for each in self.truth.book.records.values()
        )
