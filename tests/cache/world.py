"""A small world of front doors over one toy log, with a server that says when it read what it tells.

The log keeps to what `coordination/interface/log.py` promises and to no more: one true order, entries that
come late, in part or by snapshot, proposals settled late, twice or never. Sessions are counted by clocks at
the bound of their drift, renewed and ended as `coordination/leases` does. Times are true microseconds;
each front door sees its own clock only. `check` functions raise `BrokenError` where a promise is broken.
"""

import random
from collections.abc import Callable, Sequence
from functools import partial

from molereach.cache.door import Told
from molereach.cache.driver import Driver
from molereach.cache.fills.fills import Fate
from molereach.cache.purge.answers import answer
from molereach.cache.purge.bodies import MACHINE, Ask, Done, encode
from molereach.cache.purge.ids import draw_id
from molereach.cache.purge.receipt import Receipt, intact
from molereach.cache.purge.records import Asked, Finished
from molereach.cache.readings.settings import S
from molereach.coordination.interface.core import Tick
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import Applied, Entry, LeaderChanged, Outcome, Propose, Restored
from molereach.coordination.leases import bodies as leases
from molereach.coordination.leases.acknowledgements import AcknowledgementTracker
from molereach.coordination.leases.sessions import SessionRegistry
from tests.cache.players import (
    CLASSES,
    LONG,
    MEMBERS,
    RATES,
    REAL,
    SHORT,
    TERMS,
    BrokenError,
    Cores,
    Lease,
    Said,
    Seat,
)


class World:
    """All chance is of the seed."""

    def __init__(self, seed: int, cores: Cores = REAL, doors: int = 3) -> None:
        self.chance, self.cores = random.Random(seed), cores
        self.ages = LONG if seed % 3 else SHORT
        self.now, self.at_ms, self.ballot = 0, 10**6, 0
        self.order: list[Entry] = []
        self.mail: list[tuple[int, Callable[[], None]]] = []
        self.sessions = SessionRegistry()  # the truth: all entries applied at once
        self.purges = cores.purges(self.sessions, self.ages.bounds)
        self.outcomes: list[Outcome] = []
        self.asked_us: dict[str, int] = {}  # by id of a purge: when its customer asked first
        self.bodies: list[Ask] = []
        self.receipts: dict[str, Receipt] = {}
        self.open_at: dict[int, tuple[NodeInstance, ...]] = {}
        self.purged: list[tuple[int, Ask, int]] = []  # position, scope, when asked; of all that were taken
        self.written = self.refused = 0
        self.seats = [self.start(f"d{number}", 1) for number in range(doors)]
        self.leader = self.seats[0]
        self.lead(self.leader)

    # --- front doors ---

    def start(self, name: str, number: int) -> Seat:
        sessions, lease = SessionRegistry(), Lease()
        purges = self.cores.purges(sessions, self.ages.bounds)
        door = self.cores.door(self.ages.settings, purges, lease, 3)
        driver = Driver(
            purges, lambda position, since: AcknowledgementTracker(position, sessions, seat, since, True)
        )
        seat = Seat(
            NodeInstance(name, number),
            self.chance.randrange(1 << 30),
            self.chance.choice(RATES),
            sessions,
            purges,
            lease,
            door,
            driver,
        )
        return seat

    def restart(self, index: int) -> None:
        before = self.seats[index]
        self.seats[index] = self.start(before.life.name, before.life.number + 1)
        if before is self.leader:
            self.lead(self.chance.choice(self.seats))

    def awake(self, seat: Seat) -> bool:
        return seat in self.seats and self.now >= seat.stopped_until

    def lead(self, seat: Seat) -> None:
        """Another leads. An earlier one may go on to believe that it does, and propose by what it heard."""
        self.leader, self.ballot = seat, self.ballot + 1
        self.append(leases.MACHINE, leases.encode(leases.BecomeManager(self.ballot)), seat.life)
        now = seat.now(self.now)
        seat.heard = {each.fencing_token: Said(0, 0, None, now) for each in self.sessions.active_sessions()}
        self.propose(seat, seat.driver.handle(now, LeaderChanged(seat.life.name, self.ballot, True)))

    # --- the log ---

    def append(self, machine: str, body: bytes, proposer: NodeInstance, entry_id: str = "") -> None:
        self.at_ms = max(self.at_ms, 10**6 + self.now // 1000 + self.chance.randrange(-50, 50))
        if self.chance.random() < 0.01:  # a front door's clock is wrong by far
            self.at_ms += 5_000
        position = len(self.order) + 1
        entry = Entry(position, machine, entry_id or f"e{position}", proposer, self.at_ms, body)
        before = {each.fencing_token for each in self.sessions.active_sessions()}
        outcome = (self.sessions if machine == leases.MACHINE else self.purges).apply(entry)
        self.order.append(entry)
        self.outcomes.append(outcome)
        if machine == MACHINE:
            self.open_at[position] = tuple(sorted(each.instance for each in self.sessions.active_sessions()))
            self.settled(entry, outcome)
        for (
            each
        ) in self.sessions.active_sessions():  # a leader takes a session as given from when it is opened
            if each.fencing_token not in before:
                self.leader.heard[each.fencing_token] = Said(0, 0, None, self.leader.now(self.now))

    def settled(self, entry: Entry, outcome: Outcome) -> None:
        """What is told of purges by the truth, and that it is never taken back."""
        for body in self.bodies:
            known = self.purges.find(body.id)
            if isinstance(known, Finished):
                receipt = self.purges.receipt(known)
                if self.receipts.setdefault(body.id, receipt) != receipt or not intact(receipt):
                    raise BrokenError(f"another receipt of {body.id}")
                if tuple(each.instance for each in receipt.doors) != self.open_at[receipt.asked]:
                    raise BrokenError("a receipt without a front door")
            elif isinstance(known, Asked):
                if body.id in self.receipts:
                    raise BrokenError(f"pending anew: {body.id}")
                if known.position == entry.position:
                    self.purged.append((entry.position, body, self.asked_us[body.id]))

    def propose(self, seat: Seat, proposals: Sequence[Propose]) -> None:
        for each in proposals:
            for _ in range(self.chance.choice((0, 1, 1, 1, 2))):
                self.send(partial(self.append, MACHINE, each.body, seat.life), 400)

    def rash(self, seat: Seat) -> None:
        """A driver that does not wait for a proof; it says no more than what it has heard."""
        upto = self.chance.randrange(len(self.order)) + 1
        said = tuple(fence for fence, each in self.leader.heard.items() if each.clear_position >= upto)
        self.append(MACHINE, encode(Done(upto, said)), self.leader.life)

    def send(self, act: Callable[[], None], most_ms: int = 300) -> None:
        if self.chance.random() < 0.9:
            self.mail.append((self.now + self.chance.randrange(most_ms) * 1000, act))

    def deliver(self) -> None:
        due = [each for each in self.mail if each[0] <= self.now]
        self.mail = [each for each in self.mail if each[0] > self.now]
        for _, act in sorted(due, key=lambda each: each[0]):
            act()

    def learn(self, seat: Seat, most: int) -> None:
        if self.now < seat.lags_until:
            return
        for entry in self.order[seat.position : seat.position + most]:
            machine = seat.sessions if entry.machine == leases.MACHINE else seat.purges
            outcome = machine.apply(entry)
            if outcome != self.outcomes[entry.position - 1]:
                raise BrokenError("another outcome of the same entry")
            seat.position = entry.position
            now, event = seat.now(self.now), Applied(entry, outcome)
            seat.door.handle(now, event)
            self.propose(seat, seat.driver.handle(now, event))
            seat.lease.follow(seat.sessions, seat.life, entry.id)

    def learn_some(self, seat: Seat) -> None:
        self.learn(seat, self.chance.choice((1, 2, 5)))

    def lag(self, seat: Seat) -> None:
        seat.lags_until = self.now + self.chance.choice((S // 2, 2 * S))

    def hear(self, seat: Seat) -> None:
        """That others have more; whoever says so knows of no more than there is."""
        seat.door.handle(seat.now(self.now), Told(self.chance.randrange(len(self.order) + 1)))

    def restore(self, seat: Seat) -> None:
        """By a snapshot of all that is settled; it replaces what a replica knew."""
        if seat.position == len(self.order):
            return
        if seat.position < self.purges.past.floor:
            seat.anew = len(self.order)
        seat.sessions.restore(self.sessions.snapshot())
        seat.purges.restore(self.purges.snapshot())
        seat.position = len(self.order)
        seat.door.handle(seat.now(self.now), Restored(seat.position))
        seat.driver.handle(seat.now(self.now), Restored(seat.position))
        seat.lease.follow(seat.sessions, seat.life, "")
        if seat.purges.snapshot() != self.purges.snapshot():
            raise BrokenError("a snapshot that is not the same again")

    # --- sessions ---

    def renew(self, seat: Seat) -> None:
        now, lease = seat.now(self.now), seat.lease
        opened = seat.sessions.active_session(seat.life.name)
        if opened and opened.instance == seat.life:
            fence, clear = opened.fencing_token, seat.door.clear
            self.check_clear(seat)
            applied = seat.position
            self.send(lambda: self.asked(seat, now, fence, applied, clear))
        elif not lease.left:
            name = f"open.{seat.life.name}.{seat.life.number}.{self.now}"
            lease.opening = name, now
            body = leases.encode(leases.OpenSession(seat.life))
            self.send(lambda: self.append(leases.MACHINE, body, seat.life, name))

    def asked(self, seat: Seat, made_us: int, fence: int, applied: int, clear: int) -> None:
        """At the leader, which is one as long as it answers."""
        said = self.leader.heard.get(fence)
        opened = self.sessions.active_session(seat.life.name)
        if not self.awake(self.leader) or said is None or opened is None or opened.fencing_token != fence:
            return
        now = self.leader.now(self.now)
        said.since_us, said.received_at_us = now, now
        said.applied_position, said.clear_position = (
            max(said.applied_position, applied),
            max(said.clear_position, clear),
        )
        self.send(lambda: self.granted(seat, made_us, fence))

    def granted(self, seat: Seat, made_us: int, fence: int) -> None:
        if self.awake(seat) and seat.lease.fencing_token == fence and not seat.lease.left:
            seat.lease.until_us = max(seat.lease.until_us, made_us + TERMS.holder_duration_us)

    def end_sessions(self) -> None:
        if not self.awake(self.leader):
            return
        now = self.leader.now(self.now)
        for opened in self.sessions.active_sessions():
            said = self.leader.heard.get(opened.fencing_token)
            if said and now > said.since_us + TERMS.expiry_us:
                body = leases.encode(leases.EndSession(opened.instance, opened.fencing_token, self.ballot))
                self.append(leases.MACHINE, body, self.leader.life)

    def leave(self, seat: Seat) -> None:
        seat.lease.left, seat.lease.until_us = True, 0
        opened = seat.sessions.active_session(seat.life.name)
        if opened and opened.instance == seat.life:
            body = leases.encode(leases.CloseSession(seat.life, opened.fencing_token))
            self.send(lambda: self.append(leases.MACHINE, body, seat.life))

    # --- requests ---

    def fetch(self, seat: Seat) -> None:
        member, class_name = self.chance.choice(MEMBERS), self.chance.choice(CLASSES)
        asked = b"%d" % self.chance.randrange(4)
        ticket = seat.door.begin(seat.now(self.now), member, class_name, asked)
        if ticket and len(seat.fetches) < 6:
            seat.fetches.append((ticket, [self.now] if self.chance.random() < 0.5 else []))

    def server_reads(self, seat: Seat) -> None:
        for _, read in seat.fetches:
            if not read:
                read.append(self.now)

    def answered(self, seat: Seat) -> None:
        """Any of the answers that have left the server comes; one may have been on its way for long."""
        ready = [each for each in seat.fetches if each[1]]
        if not ready:
            return
        ticket, read = self.chance.choice(ready)
        seat.fetches.remove((ticket, read))
        before = seat.door.store.pushed_out
        if seat.door.end(seat.now(self.now), ticket, b"%d" % read[0]) is Fate.KEPT:
            count = seat.counts[ticket.member] = seat.counts.get(ticket.member, 0) + 1
            if seat.door.store.pushed_out > before:  # its own make way, and no other's
                seat.crowded[ticket.member] = count
            seat.kept.append((ticket, count))

    def take(self, seat: Seat) -> None:
        readings = [each for member in MEMBERS for each in seat.door.store.of(member)]
        if not readings or len(seat.hits) > 3:
            return
        wanted = self.chance.choice(readings)
        hit = seat.door.look(seat.now(self.now), wanted.member, wanted.class_name, wanted.asked)
        if hit is None:
            return
        seat.hits.append((hit, wanted.member, wanted.class_name))
        kind = self.chance.random()
        if kind < 0.5:
            self.write(seat)
        elif kind < 0.75:  # stopped right here; it writes the moment it wakes
            self.stop(seat)
            self.mail.append((seat.stopped_until, lambda: self.write(seat)))

    def stop(self, seat: Seat) -> None:
        seat.stopped_until = self.now + self.chance.choice((S // 2, 2 * S, 3 * S))

    def write(self, seat: Seat) -> None:
        if not seat.hits or not self.awake(seat):
            return
        hit, member, class_name = seat.hits.pop()
        if not hit.still(seat.now(self.now)):
            self.refused += 1
            return
        self.written += 1
        read_us = int(hit.value)
        for _, body, asked_us in self.purged:
            covers = body.member == member and body.class_name in ("", class_name)
            if covers and body.id in self.receipts and read_us < asked_us:
                raise BrokenError(f"shown after the receipt: read at {read_us}, purged at {asked_us}")

    # --- customers ---

    def ask(self, seat: Seat) -> None:
        if self.bodies and self.chance.random() < 0.2:
            body = self.chance.choice(self.bodies)  # the same again, however old
        else:
            body = Ask(
                draw_id(seat.position, self.chance.random),
                self.chance.choice(MEMBERS),
                self.chance.choice(("", "", *CLASSES)),
            )
            self.asked_us[body.id] = self.now
            self.bodies.append(body)
        self.send(lambda: self.append(MACHINE, encode(body), seat.life))

    # --- what must hold ---

    def check_clear(self, seat: Seat) -> None:
        """When a front door says `clear`, it keeps nothing of what is forbidden up to there."""
        clear = seat.door.clear
        if clear > seat.position:
            raise BrokenError("clear of what was not applied")
        for position, body, _ in self.purged:
            if position <= clear:
                for reading in seat.door.store.of(body.member):
                    if reading.applied < position and body.class_name in ("", reading.class_name):
                        raise BrokenError("clear, and a purged reading is kept")

    def check(self, seat: Seat) -> None:
        for body in self.bodies:
            known = seat.purges.find(body.id)
            if isinstance(known, Finished):
                told = answer(seat.purges, seat.position, body.id)
                if told != self.receipts.get(body.id):
                    raise BrokenError("a receipt that differs elsewhere")
        if seat.anew or seat.door.applied < seat.position:
            return
        for ticket, count in seat.kept:
            dead = seat.now(self.now) - ticket.sent_us >= self.ages.settings.ages_us[ticket.class_name]
            purged = any(
                position > ticket.applied
                and body.member == ticket.member
                and body.class_name in ("", ticket.class_name)
                for position, body, _ in self.purged
            )
            keys = [reading.key for reading in seat.door.store.of(ticket.member)]
            crowded = seat.crowded.get(ticket.member, 0) > count
            if not (dead or purged or crowded) and (ticket.class_name, ticket.asked) not in keys:
                raise BrokenError("a reading was lost that nobody purged")

    # --- histories ---

    def turn(self, seat: Seat) -> None:
        seat.door.handle(seat.now(self.now), Tick())
        self.propose(seat, seat.driver.handle(seat.now(self.now), Tick()))

    def step(self) -> None:
        """Some time goes by, and something happens at one front door; the others do what they always do."""
        self.now += self.chance.choice((0, 1000, 20_000, 40_000, 80_000))
        self.deliver()
        usual = self.chance.choice(self.seats)
        if self.awake(usual) and self.chance.random() < 0.6:
            self.learn(usual, 99)
            self.renew(usual)
        index = self.chance.randrange(len(self.seats))
        seat = self.seats[index]
        kind = self.chance.random()
        if not self.awake(seat):
            if kind < 0.01:
                self.restart(index)
            return
        for below, act in (
            (0.20, self.fetch),
            (0.25, self.server_reads),
            (0.41, self.answered),
            (0.57, self.take),
            (0.61, self.write),
            (0.67, self.learn_some),
            (0.71, self.restore),
            (0.76, self.turn),
            (0.82, self.renew),
            (0.87, self.ask),
            (0.90, self.stop),
            (0.91, self.leave),
            (0.93, self.lead),
            (0.94, self.hear),
            (0.95, self.rash),
            (0.97, self.lag),
            (0.985, self.check),
        ):
            if kind < below:
                act(seat)
                break
        else:
            self.restart(index)
        self.end_sessions()

    def history(self, steps: int) -> None:
        for _ in range(steps):
            self.step()
        for seat in self.seats:
            self.check(seat)

    def calm(self) -> None:
        """All goes well for a time: what was asked for is done."""
        for index, seat in enumerate(self.seats):
            if seat.lease.left or self.chance.random() < 0.2:
                self.restart(index)
        for seat in self.seats:
            seat.stopped_until = seat.lags_until = 0
        for _ in range(300):
            self.now += 60_000
            self.deliver()
            for seat in self.seats:
                self.learn(seat, 99)
                self.turn(seat)
                self.renew(seat)
            self.end_sessions()
            if not self.purges.oldest(1):
                break
        if self.purges.oldest(1):
            raise BrokenError("a purge that is never done")
        for seat in self.seats:
            self.learn(seat, 99)
            self.check(seat)
            if seat.purges.snapshot() != self.purges.snapshot():
                raise BrokenError("another state at the same position")
