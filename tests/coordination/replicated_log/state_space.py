"""All orders of words between three seats and two leaders, in a small scope, by breadth first search.

The rules are the real ones (`Acceptor`, `Recovery`, `Leadership`, `settled`); around them is the least that
makes them run. Words are never used up: each may come late, again, or not at all. The third seat may be
started anew once, with its disk as it was, set back to a copy of the same run, or to one from before that
run.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from itertools import combinations
from typing import Any

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import Entry
from molereach.coordination.replicated_log.acceptor import Acceptor
from molereach.coordination.replicated_log.leadership import Leadership, LeadershipPhase
from molereach.coordination.replicated_log.messages import (
    NOBODY,
    Accept,
    Accepted,
    Ballot,
    EntriesReply,
    Message,
    Prepare,
    Promise,
    Run,
    RunAcknowledged,
    RunConflict,
    RunStarted,
    Voter,
)
from molereach.coordination.replicated_log.recovery import Recovery

NAMES = ("a", "b", "c")
DISKS = ("0" * 31 + "1", "0" * 31 + "2", "0" * 31 + "3")
PANEL = tuple(Voter(name, disk) for name, disk in zip(NAMES, DISKS, strict=True))
RUNS = tuple(Run(disk, 1, 1) for disk in DISKS)
BALLOTS = (Ballot(1, "p", 1), Ballot(2, "q", 1))


def entry(position: int, value: str) -> Entry:
    return Entry(position, "sum", value, NodeInstance("p", 1), 1, b"1")


@dataclass(frozen=True, slots=True)
class SeatState:
    promised: Ballot = NOBODY
    accepted_at: Ballot = NOBODY
    accepted: tuple[Entry, ...] = ()
    decided: tuple[Entry, ...] = ()
    run: Run = RUNS[0]
    knows: tuple[Run, ...] = ()
    answers: tuple[tuple[Voter, RunAcknowledged], ...] = ()
    set_back: Run | None = None

    def acceptor(self) -> Acceptor:
        return Acceptor(self.promised, self.accepted_at, self.accepted)

    def having(self, acceptor: Acceptor) -> "SeatState":
        return replace(
            self, promised=acceptor.promised, accepted_at=acceptor.accepted_at, accepted=acceptor.accepted
        )

    def recovery(self, name: str) -> Recovery:
        runs = {run.disk: run for run in self.knows}
        recovery = Recovery(
            NodeInstance(name, self.run.instance_number), self.run.disk, self.run.start_count, runs
        )
        recovery.acknowledgements, recovery.rollback_evidence = dict(self.answers), self.set_back
        return recovery


@dataclass(frozen=True, slots=True)
class LeaderState:
    """A leader's votes are not kept: any two that it may have got are tried."""

    phase: LeadershipPhase = LeadershipPhase.PREPARING
    batch: tuple[Entry, ...] = ()
    inherited: bool = False
    decided: tuple[Entry, ...] = ()


State = tuple[int, int, int, int, int, int]  # numbers of three seats' and two leaders' states; words as bits
Step = tuple[int, tuple[int, ...]]  # the new state's number, and words said


Own = tuple[tuple[tuple[Entry, ...], ...], ...]  # batches of each leader


class Numbers:
    """Things by number, as comparing them is slow."""

    def __init__(self) -> None:
        self.things: list[Any] = []
        self.numbers: dict[Any, int] = {}

    def of(self, thing: object) -> int:
        number = self.numbers.setdefault(thing, len(self.things))
        if number == len(self.things):
            self.things.append(thing)
        return number


class Learned:
    """What `raise_to` asks of a learner."""

    def __init__(self, decided: tuple[Entry, ...]) -> None:
        self.position, self.last = len(decided), decided[-1] if decided else None


class Scope:
    """What may happen: each leader's own batches, and whether the third seat may be started anew."""

    def __init__(self, own: Own, restart: str = "") -> None:
        self.own, self.restart = own, restart  # "kept", "copy" or "before", as to the third seat's disk
        self.last = max(batch[-1].position for batches in own for batch in batches)
        self.seats, self.leaders, self.words = Numbers(), Numbers(), Numbers()
        self.seat_steps: dict[tuple[int, int, int], Step | None] = {}
        self.leader_steps: dict[tuple[int, int, int, int], Step | None] = {}
        self.masks: dict[object, list[int]] = {}  # words of one kind, as bits, in a list of one
        self.alike: dict[int, list[int]] = {}  # that of a word, by number
        self.splits: dict[int, tuple[list[tuple[int, int]], list[tuple[int, int, int]]]] = {}

    def first_seat(self, index: int) -> SeatState:
        """All had answered one another at the first start."""
        run = RUNS[index]
        answers = tuple(
            (seat, RunAcknowledged(run, by, 0, NOBODY))
            for seat, by in zip(PANEL, RUNS, strict=True)
            if by != run
        )
        return SeatState(run=run, knows=tuple(each for each in RUNS if each != run), answers=answers)

    def first(self, elected: tuple[int, ...]) -> State:
        """Both ask for promises; or the first leader has those of two seats, and its first words are over."""
        seats = [self.seats.of(self.first_seat(index)) for index in range(3)]
        words = sum(1 << self.words.of(Prepare(ballot, 0)) for ballot in BALLOTS)
        leader = self.leaders.of(LeaderState())
        state: State = (seats[0], seats[1], seats[2], leader, leader, words)
        for index in elected:
            step = self.at_seat(index, self.seats.things[state[index]], Prepare(BALLOTS[0], 0))
            state = after(state, index, self.number(self.seats, step))
        if elected:
            votes = [word for word in self.words.things if isinstance(word, Promise)]
            state = after(state, 3, self.number(self.leaders, self.at_leader(0, LeaderState(), *votes)))
            over = sum(1 << self.words.of(word) for word in (*votes, Prepare(BALLOTS[0], 0)))
            state = (*state[:5], state[5] & ~over)
        return state

    def explore(self, most: int, elected: tuple[int, ...] = ()) -> int:
        """How many states there are, up to `most`; AssertionError where two values are settled at a place."""
        first = self.first(elected)
        seen, todo = {first}, deque([first])
        while todo and len(seen) < most:
            for state in self.steps(todo.popleft()):
                if state not in seen:
                    seen.add(state)
                    todo.append(state)
        return len(seen)

    # --- steps ---

    def steps(self, state: State) -> Iterator[State]:
        to_seats, to_leaders = self.split(state[5])
        for index, number in to_seats:
            key = (index, state[index], number)
            if key not in self.seat_steps:
                self.seat_steps[key] = self.number(
                    self.seats,
                    self.at_seat(index, self.seats.things[state[index]], self.words.things[number]),
                )
            if (step := self.seat_steps[key]) and not self.told(state, step):
                yield after(state, index, step)
        for index, one, other in to_leaders:
            pair = (index, state[index], one, other)
            if pair not in self.leader_steps:
                self.leader_steps[pair] = self.number(
                    self.leaders,
                    self.at_leader(
                        index - 3,
                        self.leaders.things[state[index]],
                        self.words.things[one],
                        self.words.things[other],
                    ),
                )
            if step := self.leader_steps[pair]:
                self.check(state, index, step)
                yield after(state, index, step)
        if self.restart and self.seats.things[state[2]].run.instance_number == 1:
            for seat, word in self.start_anew(self.seats.things[state[2]]):
                yield after(state, 2, (self.seats.of(seat), (self.words.of(word),)))

    def split(self, said: int) -> tuple[list[tuple[int, int]], list[tuple[int, int, int]]]:
        """To which seat each word may come, and which two votes to which leader."""
        if said in self.splits:
            return self.splits[said]
        seats: list[tuple[int, int]] = []
        votes: dict[tuple[type, Ballot], list[int]] = {}
        for number in range(said.bit_length()):
            word = self.words.things[number] if said >> number & 1 else None
            match word:
                case Promise() | Accepted():
                    votes.setdefault((type(word), word.ballot), []).append(number)
                case RunAcknowledged() | RunConflict():
                    seats.append((2, number))
                case Prepare() | Accept() | EntriesReply() | RunStarted():
                    seats += [(index, number) for index in range(3)]
        leaders = [
            (3 + BALLOTS.index(ballot), one, other)
            for (_, ballot), numbers in votes.items()
            for one, other in combinations(numbers, 2)
        ]
        self.splits[said] = seats, leaders
        return self.splits[said]

    def told(self, state: State, step: Step) -> bool:
        """Whether this run has said as much before: a vote told again only makes more votes void."""
        return any(state[5] & self.alike[number][0] for number in step[1])

    def number(self, numbers: Numbers, step: tuple[object, list[Message]] | None) -> Step | None:
        if step is None:
            return None
        for word in step[1]:
            number = self.words.of(word)
            if number not in self.alike:
                mask = self.masks.setdefault(kind(word), [0]) if kind(word) else [0]
                self.alike[number] = mask
                mask[0] |= 1 << number if kind(word) else 0
        return numbers.of(step[0]), tuple(self.words.of(word) for word in step[1])

    def check(self, state: State, index: int, step: Step) -> None:
        """One value at each position: what this leader decided, and the other."""
        mine, other = self.leaders.things[step[0]].decided, self.leaders.things[state[7 - index]].decided
        for one, two in zip(mine, other, strict=False):
            assert one == two, f"two values at {one.position}: {one.id} and {two.id}"

    def start_anew(self, old: SeatState) -> Iterator[tuple[SeatState, Message]]:
        """With its disk as it was, or set back to a copy of this run, or to one from before it."""
        kept = old if self.restart == "kept" else self.first_seat(2)
        run = Run(DISKS[2], 1 if self.restart == "before" else 2, 2)
        yield replace(kept, run=run, answers=()), RunStarted(run, len(kept.decided))

    def at_seat(self, index: int, seat: SeatState, word: Message) -> tuple[SeatState, list[Message]] | None:
        recovery, acceptor = seat.recovery(NAMES[index]), seat.acceptor()
        voting = recovery.may_vote(PANEL, len(seat.decided))
        match word:
            case Prepare(ballot, after) if voting and after == len(seat.decided):
                if acceptor.promise(ballot):
                    return seat.having(acceptor), [
                        Promise(
                            ballot,
                            after,
                            recovery.vote_source(PANEL),
                            acceptor.accepted_at,
                            acceptor.accepted,
                        )
                    ]
            case Accept(ballot, entries) if voting and entries[0].position == len(seat.decided) + 1:
                if acceptor.accept(ballot, entries):
                    vote = Accepted(ballot, entries[-1].position, recovery.vote_source(PANEL))
                    return seat.having(acceptor), [vote]
            case EntriesReply(entries) if entries[0].position == len(seat.decided) + 1:
                acceptor.discard_decided(entries[-1])
                decided = seat.decided + entries
                recovery.adopt_acknowledged(acceptor, Learned(decided))  # type: ignore[arg-type]
                return replace(seat.having(acceptor), decided=decided), []
            case RunStarted(run) if run.disk != seat.run.disk:
                if known := recovery.conflicting_run(run):
                    return seat, [RunConflict(run, known)]
                recovery.record_run(run, PANEL)
                knows = tuple(sorted(recovery.runs.values(), key=lambda each: each.disk))
                return replace(seat, knows=knows), [
                    RunAcknowledged(
                        run, seat.run, len(seat.decided), seat.promised, seat.accepted_at, seat.accepted
                    )
                ]
            case RunAcknowledged(run) if run.disk == seat.run.disk:
                if recovery.record_acknowledgement(
                    NodeInstance(
                        NAMES[DISKS.index(word.acknowledged_by.disk)], word.acknowledged_by.instance_number
                    ),
                    word,
                    PANEL,
                ):
                    recovery.adopt_acknowledged(acceptor, Learned(seat.decided))  # type: ignore[arg-type]
                    answers = tuple(sorted(recovery.acknowledgements.items(), key=lambda each: each[0]))
                    return replace(seat.having(acceptor), answers=answers), []
            case RunConflict() if recovery.record_conflict(word):
                return replace(seat, set_back=recovery.rollback_evidence), []
        return None

    def at_leader(
        self, index: int, now: LeaderState, one: Message, other: Message
    ) -> tuple[LeaderState, list[Message]] | None:
        lead = Leadership(BALLOTS[index], 0, 0)
        lead.phase, lead.batch, lead.inherited = now.phase, now.batch, now.inherited
        for word in (one, other):
            if not isinstance(word, Promise | Accepted) or word.ballot != BALLOTS[index]:
                return None
            disk = word.source.run.disk
            if isinstance(word, Promise) and lead.record_promise(disk, word, PANEL):
                self.propose(lead, index, 0)
                return LeaderState(lead.phase, lead.batch, lead.inherited), [Accept(lead.ballot, lead.batch)]
            if isinstance(word, Accepted) and (
                batch := lead.record_vote(disk, word.last, word.source, PANEL)
            ):
                decided = now.decided + batch
                self.propose(lead, index, len(decided))
                said: list[Message] = [Accept(lead.ballot, lead.batch)] if lead.batch else []
                if len(decided) < self.last:  # of the last position there is nothing to be told
                    said.append(EntriesReply(batch, len(decided)))
                return LeaderState(lead.phase, lead.batch, False, decided), said
        return None

    def propose(self, lead: Leadership, index: int, position: int) -> None:
        """The leader's own next batch, where none is to be proposed first."""
        if not lead.batch:
            own = next((batch for batch in self.own[index] if batch[0].position == position + 1), ())
            if own:
                lead.propose(own)


def kind(word: Message) -> object:
    """What a run says once; None for what is said as often as there is cause."""
    match word:
        case Promise(ballot, place, voter) | Accepted(ballot, place, voter):
            return type(word), ballot, place, voter.run
        case RunAcknowledged(run, by):
            return RunAcknowledged, run, by
    return None


def after(state: State, index: int, step: Step | None) -> State:
    assert step is not None
    words = state[5]
    for word in step[1]:
        words |= 1 << word
    return (*state[:index], step[0], *state[index + 1 : 5], words)  # type: ignore[return-value]


ONE = (((entry(1, "x"),),), ((entry(1, "y"),),))
TWO = (((entry(1, "x1"), entry(2, "x2")),), ((entry(1, "y1"),), (entry(2, "y2"),)))
