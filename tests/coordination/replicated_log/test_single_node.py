"""One front door against scripted words: what it answers, and what it does not."""

from typing import Any

import pytest

from molereach.coordination.interface.core import MessageReceived, SendMessage, Tick
from molereach.coordination.interface.disk import DiskFailed, Persist, Persisted
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import ConfirmLeadership, Entry, LeaderChanged, LeadershipConfirmed
from molereach.coordination.replicated_log.core import EntriesLearned, LogCore
from molereach.coordination.replicated_log.messages import (
    NOBODY,
    Accept,
    Accepted,
    Ballot,
    BallotRejected,
    EntriesReply,
    EntriesRequest,
    Heartbeat,
    HeartbeatReply,
    Prepare,
    PreVote,
    PreVoteReply,
    Promise,
    ProposalRequest,
    Run,
    RunAcknowledged,
    RunConflict,
    RunStarted,
    Voter,
    VoteSource,
)
from molereach.coordination.replicated_log.outbox import MAX_UNSYNCED_WRITES
from molereach.coordination.replicated_log.records import Recovered
from molereach.coordination.replicated_log.settings import LogSettings
from tests.coordination.replicated_log.sum_machine import Sum

S = 1_000_000
PANEL = tuple(Voter(f"d{number}", f"{number:032x}") for number in range(3))
LIVES = tuple(NodeInstance(f"d{number}", 1) for number in range(3))
RUNS = tuple(Run(seat.disk, 1, 1) for seat in PANEL)
LOW, HIGH = Ballot(3, "d1", 1), Ballot(5, "d2", 1)


def entry(position: int, value: str = "p") -> Entry:
    return Entry(position, "sum", f"{value}{position}", LIVES[1], 1, b"1")


class Door:
    """The first seat of three; its disk is quick unless told otherwise."""

    def __init__(self, answered: bool = True) -> None:
        self.core = LogCore(
            LIVES[0],
            PANEL[0].disk,
            Recovered(),
            PANEL,
            {"sum": Sum()},
            LogSettings(),
            lambda: 0.5,
            lambda now_us: now_us,
        )
        self.now_us, self.quick = S, True
        self.acted: list[Any] = []
        self.give(Tick())
        for index in (1, 2):
            if answered:
                self.hear(index, RunAcknowledged(RUNS[0], RUNS[index], 0, NOBODY))

    def give(self, event: object) -> list[Any]:
        """What it says and does, with what it says once the disk is done."""
        done: list[Any] = []
        for action in self.core.handle(self.now_us, event):
            if isinstance(action, Persist):
                done += self.give(Persisted(action.token)) if self.quick else []
            else:
                done.append(action)
        self.acted += done
        return done

    def hear(self, index: int, message: object, life: int = 1) -> list[Any]:
        """What it answers."""
        done = self.give(MessageReceived(NodeInstance(f"d{index}", life), message))
        return [action.message for action in done if isinstance(action, SendMessage)]

    def lead(self) -> Ballot:
        self.now_us += 2 * S
        self.give(Tick())
        ballot = Ballot(1, "d0", 1)
        self.hear(1, PreVoteReply(ballot, PANEL[1].disk, True, NOBODY))
        self.hear(1, Promise(ballot, 0, VoteSource(RUNS[1])))
        assert self.core.leader_protocol.is_leader
        return ballot


def test_a_heartbeat_of_a_ballot_that_is_rejected() -> None:
    door = Door()
    assert [type(word) for word in door.hear(2, Prepare(HIGH, 0))] == [Promise]
    assert door.hear(1, Heartbeat(LOW, 0, 1)) == [BallotRejected(LOW, HIGH)]
    assert door.core.leader is None
    assert [type(word) for word in door.hear(2, Heartbeat(HIGH, 0, 1))] == [HeartbeatReply]
    assert door.core.leader == HIGH


def test_a_ballot_is_its_own_runs_alone() -> None:
    door = Door()
    for word in (Prepare(HIGH, 0), Accept(HIGH, (entry(1),)), Heartbeat(HIGH, 0, 1)):
        assert door.hear(1, word) == [] and door.hear(2, word, life=2) == []
    assert door.core.state.acceptor.promised == NOBODY


def test_entries_out_of_order_are_not_accepted() -> None:
    door = Door()
    assert door.hear(1, Accept(LOW, (entry(1), entry(3)))) == []


def test_a_heartbeat_decides_what_was_accepted_of_its_ballot_alone() -> None:
    door = Door()
    door.hear(1, Accept(LOW, (entry(1), entry(2))))
    assert EntriesRequest(0) in door.hear(2, Heartbeat(HIGH, 2, 1)) and door.core.position == 0
    door = Door()
    door.hear(1, Accept(LOW, (entry(1), entry(2))))
    door.hear(1, Heartbeat(LOW, 1, 1))
    assert door.core.position == 1 and door.core.state.acceptor.accepted == (entry(2),)


def test_who_lacks_entries_gets_or_requests_them() -> None:
    door = Door()
    assert door.hear(1, Prepare(LOW, 3)) == [EntriesRequest(0)]
    door.give(EntriesLearned((entry(1), entry(2))))
    assert door.hear(1, Prepare(LOW, 0)) == [EntriesReply((entry(1), entry(2)), 2)]
    assert door.hear(2, Accept(HIGH, (entry(1, "q"),))) == [EntriesReply((entry(1), entry(2)), 2)]
    assert door.hear(1, PreVote(LOW, 1))[0] == EntriesReply((entry(2),), 2)


def test_without_answers_to_its_start_it_says_nothing_that_counts() -> None:
    door = Door(answered=False)
    for word in (Prepare(LOW, 0), Accept(LOW, (entry(1),)), Heartbeat(LOW, 0, 1), PreVote(HIGH, 0)):
        assert door.hear(word.ballot.number // 2, word) == []


def test_a_start_is_answered_once_it_is_written() -> None:
    door = Door()
    door.quick = False
    again = Run(PANEL[1].disk, 2, 7)
    assert door.hear(1, RunStarted(again, 0), life=7) == []
    assert door.hear(1, RunStarted(Run(PANEL[2].disk, 2, 7), 0), life=8) == []  # another life's
    said = door.give(Persisted(99))
    assert [action.message.run for action in said if isinstance(action, SendMessage)] == [again]
    assert door.hear(1, RunStarted(Run(PANEL[1].disk, 2, 8), 0), life=8) == [
        RunConflict(Run(PANEL[1].disk, 2, 8), again)
    ]
    assert door.core.state.vote_source().known_runs == (again,)


def test_a_disk_that_was_rolled_back_vouches_for_nobody() -> None:
    door = Door()
    door.hear(1, RunConflict(RUNS[0], Run(PANEL[0].disk, 4, 9)))
    assert door.hear(2, RunStarted(Run(PANEL[2].disk, 2, 7), 0), life=7) == []
    assert door.hear(2, Prepare(HIGH, 0)) == []


def test_answers_raise_what_was_promised_and_accepted() -> None:
    door = Door(answered=False)
    door.hear(1, RunAcknowledged(RUNS[0], RUNS[1], 0, HIGH, LOW, (entry(1),)))
    door.hear(2, RunAcknowledged(RUNS[0], RUNS[2], 1, LOW, Ballot(4, "d1", 1), (entry(2, "q"),)))
    assert not door.core.state.may_vote  # it lacks what the last had decided
    assert door.core.state.acceptor.accepted == (entry(1),)
    door.give(EntriesLearned((entry(1),)))
    assert door.core.state.may_vote
    assert door.core.state.acceptor.accepted == (entry(2, "q"),)
    assert door.hear(1, Prepare(LOW, 1)) == [BallotRejected(LOW, HIGH)]


@pytest.mark.parametrize(
    "event",
    [
        MessageReceived(LIVES[2], Prepare(HIGH, 0)),
        EntriesLearned((entry(1),)),
        MessageReceived(LIVES[2], Heartbeat(HIGH, 0, 1)),
        MessageReceived(LIVES[1], BallotRejected(Ballot(1, "d0", 1), HIGH)),
        DiskFailed("no space"),
    ],
)
def test_what_ends_a_leadership(event: object) -> None:
    door = Door()
    door.lead()
    door.give(event)
    assert door.core.leader_protocol.leadership is None and not door.core.leader_protocol.is_leader
    assert any(isinstance(action, LeaderChanged) and not action.is_self for action in door.acted)


def test_votes_for_a_leader_are_those_of_voters() -> None:
    door = Door()
    ballot = door.lead()
    door.hear(7, ProposalRequest("sum", "p", LIVES[1], 0, b"1"))  # neither its own nor passed on by a seat
    assert not door.core.leader_protocol.leadership.batch  # type: ignore[union-attr]
    door.hear(1, ProposalRequest("sum", "p", LIVES[1], 0, b"1"))
    assert door.core.leader_protocol.leadership.batch  # type: ignore[union-attr]
    vote = Accepted(ballot, 1, VoteSource(RUNS[1]))
    door.hear(2, vote)  # another's disk
    door.hear(1, vote, life=2)  # another run's
    assert door.core.position == 0
    door.hear(1, vote)
    assert door.core.position == 1


def test_many_questions_take_few_rounds() -> None:
    door = Door()
    ballot = door.lead()
    before = door.core.leader_protocol.leadership.rounds.number  # type: ignore[union-attr]
    for token in range(10):
        door.give(ConfirmLeadership(token))
    for number in (before + 1, before + 2):
        door.hear(1, HeartbeatReply(ballot, number, VoteSource(RUNS[1])))
    assert [action.token for action in door.acted if isinstance(action, LeadershipConfirmed)] == list(
        range(10)
    )
    assert door.core.leader_protocol.leadership.rounds.number == before + 2  # type: ignore[union-attr]


def test_a_disk_that_hangs_is_given_no_more_votes() -> None:
    door = Door()
    door.quick = False
    for number in range(MAX_UNSYNCED_WRITES + 10):
        door.hear(1, Prepare(Ballot(number + 1, "d1", 1), 0))
    assert door.core.state.acceptor.promised.number == MAX_UNSYNCED_WRITES
    said = door.give(Persisted(MAX_UNSYNCED_WRITES + 1))
    assert sum(isinstance(action, SendMessage) for action in said) == MAX_UNSYNCED_WRITES
    assert door.core.state.may_vote
