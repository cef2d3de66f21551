"""A model checker: all message orders between three voters and two leaders, by breadth-first search.

It runs the production code of the rules (`Acceptor`, `Recovery`, `Leadership`) in a minimal model. Messages
are never consumed: each may be delayed, duplicated or lost. The third voter may be restarted once, with its
disk as it was, rolled back to a copy of the same run, or rolled back to a copy from before that run.
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
VOTERS = tuple(Voter(name, disk) for name, disk in zip(NAMES, DISKS, strict=True))
RUNS = tuple(Run(disk, 1, 1) for disk in DISKS)
BALLOTS = (Ballot(1, "p", 1), Ballot(2, "q", 1))


def entry(position: int, value: str) -> Entry:
    return Entry(position, "sum", value, NodeInstance("p", 1), 1, b"1")


@dataclass(frozen=True, slots=True)
class VoterState:
    promised: Ballot = NOBODY
    accepted_at: Ballot = NOBODY
    accepted: tuple[Entry, ...] = ()
    decided: tuple[Entry, ...] = ()
    run: Run = RUNS[0]
    known_runs: tuple[Run, ...] = ()
    acknowledgements: tuple[tuple[Voter, RunAcknowledged], ...] = ()
    rollback_evidence: Run | None = None

    def acceptor(self) -> Acceptor:
        return Acceptor(self.promised, self.accepted_at, self.accepted)

    def with_acceptor(self, acceptor: Acceptor) -> "VoterState":
        return replace(
            self, promised=acceptor.promised, accepted_at=acceptor.accepted_at, accepted=acceptor.accepted
        )

    def recovery(self, name: str) -> Recovery:
        runs = {run.disk: run for run in self.known_runs}
        recovery = Recovery(
            NodeInstance(name, self.run.instance_number), self.run.disk, self.run.start_count, runs
        )
        recovery.acknowledgements, recovery.rollback_evidence = (
            dict(self.acknowledgements),
            self.rollback_evidence,
        )
        return recovery


@dataclass(frozen=True, slots=True)
class LeaderState:
    """The state of a leader, without its votes: each pair of votes that it may have received is tried."""

    phase: LeadershipPhase = LeadershipPhase.PREPARING
    batch: tuple[Entry, ...] = ()
    inherited: bool = False
    decided: tuple[Entry, ...] = ()


# The numbers of the states of three voters and two leaders, and a bit set of all messages sent so far.
State = tuple[int, int, int, int, int, int]
Step = tuple[int, tuple[int, ...]]  # the numbers of a node's new state and of the messages that it sends


LeaderBatches = tuple[tuple[tuple[Entry, ...], ...], ...]  # the batches of each leader


class Interner:
    """Maps values to numbers, as comparing the values is slow."""

    def __init__(self) -> None:
        self.values: list[Any] = []
        self.numbers: dict[Any, int] = {}

    def number_of(self, value: object) -> int:
        number = self.numbers.setdefault(value, len(self.values))
        if number == len(self.values):
            self.values.append(value)
        return number


class DecidedEntries:
    """The attributes of a learner that `Recovery.adopt_acknowledged` uses."""

    def __init__(self, decided: tuple[Entry, ...]) -> None:
        self.position, self.last = len(decided), decided[-1] if decided else None


class StateSpace:
    """The states reachable with given batches of each leader, with or without a restart of the third voter.

    `restart` says what happens to its disk: "kept", "copy" or "before"; it is empty for no restart.
    """

    def __init__(self, leader_batches: LeaderBatches, restart: str = "") -> None:
        self.leader_batches, self.restart = leader_batches, restart
        self.last_position = max(batch[-1].position for batches in leader_batches for batch in batches)
        self.voters, self.leaders, self.messages = Interner(), Interner(), Interner()
        self.voter_steps: dict[tuple[int, int, int], Step | None] = {}
        self.leader_steps: dict[tuple[int, int, int, int], Step | None] = {}
        self.kind_masks: dict[object, list[int]] = {}  # by kind of message: a bit set, in a list of one
        self.same_kind_mask: dict[int, list[int]] = {}  # by number of a message: that of its kind
        self.recipients_cache: dict[int, tuple[list[tuple[int, int]], list[tuple[int, int, int]]]] = {}

    def initial_voter(self, index: int) -> VoterState:
        """Return the state of a voter after the first start, at which all acknowledged one another."""
        run = RUNS[index]
        acknowledgements = tuple(
            (voter, RunAcknowledged(run, acknowledged_by, 0, NOBODY))
            for voter, acknowledged_by in zip(VOTERS, RUNS, strict=True)
            if acknowledged_by != run
        )
        return VoterState(
            run=run, known_runs=tuple(each for each in RUNS if each != run), acknowledgements=acknowledgements
        )

    def initial_state(self, elected_by: tuple[int, ...]) -> State:
        """Return the state in which both leaders have sent a prepare.

        With `elected_by`, these voters have elected the first leader, and its phase 1 messages are gone.
        """
        voters = [self.voters.number_of(self.initial_voter(index)) for index in range(3)]
        messages = sum(1 << self.messages.number_of(Prepare(ballot, 0)) for ballot in BALLOTS)
        leader = self.leaders.number_of(LeaderState())
        state: State = (voters[0], voters[1], voters[2], leader, leader, messages)
        for index in elected_by:
            step = self.step_voter(index, self.voters.values[state[index]], Prepare(BALLOTS[0], 0))
            state = next_state(state, index, self.intern_step(self.voters, step))
        if elected_by:
            votes = [message for message in self.messages.values if isinstance(message, Promise)]
            state = next_state(
                state, 3, self.intern_step(self.leaders, self.step_leader(0, LeaderState(), *votes))
            )
            phase_1_bits = sum(
                1 << self.messages.number_of(message) for message in (*votes, Prepare(BALLOTS[0], 0))
            )
            state = (*state[:5], state[5] & ~phase_1_bits)
        return state

    def count_states(self, max_states: int, elected_by: tuple[int, ...] = ()) -> int:
        """Count the reachable states, up to `max_states`.

        Raises an AssertionError if two values are decided at one position.
        """
        initial_state = self.initial_state(elected_by)
        seen, queue = {initial_state}, deque([initial_state])
        while queue and len(seen) < max_states:
            for state in self.steps(queue.popleft()):
                if state not in seen:
                    seen.add(state)
                    queue.append(state)
        return len(seen)

    # --- steps ---

    def steps(self, state: State) -> Iterator[State]:
        to_voters, to_leaders = self.recipients(state[5])
        for index, number in to_voters:
            key = (index, state[index], number)
            if key not in self.voter_steps:
                self.voter_steps[key] = self.intern_step(
                    self.voters,
                    self.step_voter(index, self.voters.values[state[index]], self.messages.values[number]),
                )
            if (step := self.voter_steps[key]) and not self.is_repeated(state, step):
                yield next_state(state, index, step)
        for index, first, second in to_leaders:
            pair = (index, state[index], first, second)
            if pair not in self.leader_steps:
                self.leader_steps[pair] = self.intern_step(
                    self.leaders,
                    self.step_leader(
                        index - 3,
                        self.leaders.values[state[index]],
                        self.messages.values[first],
                        self.messages.values[second],
                    ),
                )
            if step := self.leader_steps[pair]:
                self.check(state, index, step)
                yield next_state(state, index, step)
        if self.restart and self.voters.values[state[2]].run.instance_number == 1:
            for voter, message in self.restart_voter(self.voters.values[state[2]]):
                yield next_state(
                    state, 2, (self.voters.number_of(voter), (self.messages.number_of(message),))
                )

    def recipients(self, message_bits: int) -> tuple[list[tuple[int, int]], list[tuple[int, int, int]]]:
        """Return which voters may receive each message, and which leaders each pair of votes."""
        if message_bits in self.recipients_cache:
            return self.recipients_cache[message_bits]
        voters: list[tuple[int, int]] = []
        votes: dict[tuple[type, Ballot], list[int]] = {}
        for number in range(message_bits.bit_length()):
            message = self.messages.values[number] if message_bits >> number & 1 else None
            match message:
                case Promise() | Accepted():
                    votes.setdefault((type(message), message.ballot), []).append(number)
                case RunAcknowledged() | RunConflict():
                    voters.append((2, number))
                case Prepare() | Accept() | EntriesReply() | RunStarted():
                    voters += [(index, number) for index in range(3)]
        leaders = [
            (3 + BALLOTS.index(ballot), first, second)
            for (_, ballot), numbers in votes.items()
            for first, second in combinations(numbers, 2)
        ]
        self.recipients_cache[message_bits] = voters, leaders
        return self.recipients_cache[message_bits]

    def is_repeated(self, state: State, step: Step) -> bool:
        """Whether this run sent a message of this kind before; a repeated vote only makes more votes void."""
        return any(state[5] & self.same_kind_mask[number][0] for number in step[1])

    def intern_step(self, states: Interner, step: tuple[object, list[Message]] | None) -> Step | None:
        if step is None:
            return None
        for message in step[1]:
            number = self.messages.number_of(message)
            if number not in self.same_kind_mask:
                mask = self.kind_masks.setdefault(kind_of(message), [0]) if kind_of(message) else [0]
                self.same_kind_mask[number] = mask
                mask[0] |= 1 << number if kind_of(message) else 0
        return states.number_of(step[0]), tuple(self.messages.number_of(message) for message in step[1])

    def check(self, state: State, index: int, step: Step) -> None:
        """Check that this leader and the other one decided the same value at each position."""
        decided, other = self.leaders.values[step[0]].decided, self.leaders.values[state[7 - index]].decided
        for first, second in zip(decided, other, strict=False):
            assert first == second, f"two values at {first.position}: {first.id} and {second.id}"

    def restart_voter(self, previous: VoterState) -> Iterator[tuple[VoterState, Message]]:
        """Restart a voter with its disk kept, or rolled back to a copy of this run or from before it."""
        restored = previous if self.restart == "kept" else self.initial_voter(2)
        run = Run(DISKS[2], 1 if self.restart == "before" else 2, 2)
        yield replace(restored, run=run, acknowledgements=()), RunStarted(run, len(restored.decided))

    def step_voter(
        self, index: int, voter: VoterState, message: Message
    ) -> tuple[VoterState, list[Message]] | None:
        recovery, acceptor = voter.recovery(NAMES[index]), voter.acceptor()
        may_vote = recovery.may_vote(VOTERS, len(voter.decided))
        match message:
            case Prepare(ballot, after) if may_vote and after == len(voter.decided):
                if acceptor.promise(ballot):
                    return voter.with_acceptor(acceptor), [
                        Promise(
                            ballot,
                            after,
                            recovery.vote_source(VOTERS),
                            acceptor.accepted_at,
                            acceptor.accepted,
                        )
                    ]
            case Accept(ballot, entries) if may_vote and entries[0].position == len(voter.decided) + 1:
                if acceptor.accept(ballot, entries):
                    vote = Accepted(ballot, entries[-1].position, recovery.vote_source(VOTERS))
                    return voter.with_acceptor(acceptor), [vote]
            case EntriesReply(entries) if entries[0].position == len(voter.decided) + 1:
                acceptor.discard_decided(entries[-1])
                decided = voter.decided + entries
                recovery.adopt_acknowledged(acceptor, DecidedEntries(decided))  # type: ignore[arg-type]
                return replace(voter.with_acceptor(acceptor), decided=decided), []
            case RunStarted(run) if run.disk != voter.run.disk:
                if known := recovery.conflicting_run(run):
                    return voter, [RunConflict(run, known)]
                recovery.record_run(run, VOTERS)
                known_runs = tuple(sorted(recovery.runs.values(), key=lambda each: each.disk))
                return replace(voter, known_runs=known_runs), [
                    RunAcknowledged(
                        run, voter.run, len(voter.decided), voter.promised, voter.accepted_at, voter.accepted
                    )
                ]
            case RunAcknowledged(run) if run.disk == voter.run.disk:
                if recovery.record_acknowledgement(
                    NodeInstance(
                        NAMES[DISKS.index(message.acknowledged_by.disk)],
                        message.acknowledged_by.instance_number,
                    ),
                    message,
                    VOTERS,
                ):
                    recovery.adopt_acknowledged(acceptor, DecidedEntries(voter.decided))  # type: ignore[arg-type]
                    acknowledgements = tuple(
                        sorted(recovery.acknowledgements.items(), key=lambda each: each[0])
                    )
                    return replace(voter.with_acceptor(acceptor), acknowledgements=acknowledgements), []
            case RunConflict() if recovery.record_conflict(message):
                return replace(voter, rollback_evidence=recovery.rollback_evidence), []
        return None

    def step_leader(
        self, index: int, state: LeaderState, first: Message, second: Message
    ) -> tuple[LeaderState, list[Message]] | None:
        leadership = Leadership(BALLOTS[index], 0, 0)
        leadership.phase, leadership.batch, leadership.inherited = state.phase, state.batch, state.inherited
        for message in (first, second):
            if not isinstance(message, Promise | Accepted) or message.ballot != BALLOTS[index]:
                return None
            disk = message.source.run.disk
            if isinstance(message, Promise) and leadership.record_promise(disk, message, VOTERS):
                self.propose(leadership, index, 0)
                return LeaderState(leadership.phase, leadership.batch, leadership.inherited), [
                    Accept(leadership.ballot, leadership.batch)
                ]
            if isinstance(message, Accepted) and (
                batch := leadership.record_vote(disk, message.last, message.source, VOTERS)
            ):
                decided = state.decided + batch
                self.propose(leadership, index, len(decided))
                sent: list[Message] = (
                    [Accept(leadership.ballot, leadership.batch)] if leadership.batch else []
                )
                if len(decided) < self.last_position:  # learning the last entry enables no further step
                    sent.append(EntriesReply(batch, len(decided)))
                return LeaderState(leadership.phase, leadership.batch, False, decided), sent
        return None

    def propose(self, leadership: Leadership, index: int, position: int) -> None:
        """Propose the leader's own next batch, unless another must be proposed first."""
        if not leadership.batch:
            own_batch = next(
                (batch for batch in self.leader_batches[index] if batch[0].position == position + 1), ()
            )
            if own_batch:
                leadership.propose(own_batch)


def kind_of(message: Message) -> object:
    """Identify a message that a run needs to send only once; None for messages without such a limit."""
    match message:
        case Promise(ballot, position, voter) | Accepted(ballot, position, voter):
            return type(message), ballot, position, voter.run
        case RunAcknowledged(run, acknowledged_by):
            return RunAcknowledged, run, acknowledged_by
    return None


def next_state(state: State, index: int, step: Step | None) -> State:
    assert step is not None
    messages = state[5]
    for number in step[1]:
        messages |= 1 << number
    return (*state[:index], step[0], *state[index + 1 : 5], messages)  # type: ignore[return-value]


ONE_ENTRY_BATCHES = (((entry(1, "x"),),), ((entry(1, "y"),),))
TWO_ENTRY_BATCH = (((entry(1, "x1"), entry(2, "x2")),), ((entry(1, "y1"),), (entry(2, "y2"),)))
