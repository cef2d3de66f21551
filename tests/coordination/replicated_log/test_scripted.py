"""One front door against scripted words: what it answers, and what it does not."""

from typing import Any

import pytest

from molereach.coordination.interface.core import MessageReceived, SendMessage, Tick
from molereach.coordination.interface.disk import DiskFailed, Persist, Persisted
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import ConfirmLeadership, Entry, LeaderChanged, LeadershipConfirmed
from molereach.coordination.replicated_log.core import Learn, LogCore
from molereach.coordination.replicated_log.outbox import MOST_UNSYNCED
from molereach.coordination.replicated_log.records import Recovered
from molereach.coordination.replicated_log.settings import Settings
from molereach.coordination.replicated_log.words import (
    NOBODY,
    Accept,
    Accepted,
    Ask,
    Ballot,
    Beat,
    Exists,
    Follow,
    Known,
    Noted,
    Outbid,
    Poll,
    Polled,
    Prepare,
    Promise,
    Run,
    Seat,
    Start,
    Voter,
    Want,
)
from tests.coordination.replicated_log.machine import Sum

S = 1_000_000
PANEL = tuple(Seat(f"d{number}", f"{number:032x}") for number in range(3))
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
            Settings(),
            lambda: 0.5,
            lambda now_us: now_us,
        )
        self.now_us, self.quick = S, True
        self.acted: list[Any] = []
        self.give(Tick())
        for index in (1, 2):
            if answered:
                self.hear(index, Noted(RUNS[0], RUNS[index], 0, NOBODY))

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
        self.hear(1, Polled(ballot, PANEL[1].disk, True, NOBODY))
        self.hear(1, Promise(ballot, 0, Voter(RUNS[1])))
        assert self.core.leading.mine
        return ballot


def test_a_beat_of_a_ballot_that_is_outbid() -> None:
    door = Door()
    assert [type(word) for word in door.hear(2, Prepare(HIGH, 0))] == [Promise]
    assert door.hear(1, Beat(LOW, 0, 1)) == [Outbid(LOW, HIGH)]
    assert door.core.leader is None
    assert [type(word) for word in door.hear(2, Beat(HIGH, 0, 1))] == [Follow]
    assert door.core.leader == HIGH


def test_a_ballot_is_its_own_runs_alone() -> None:
    door = Door()
    for word in (Prepare(HIGH, 0), Accept(HIGH, (entry(1),)), Beat(HIGH, 0, 1)):
        assert door.hear(1, word) == [] and door.hear(2, word, life=2) == []
    assert door.core.ledger.acceptor.promised == NOBODY


def test_entries_out_of_order_are_not_accepted() -> None:
    door = Door()
    assert door.hear(1, Accept(LOW, (entry(1), entry(3)))) == []


def test_a_beat_decides_what_was_accepted_of_its_ballot_alone() -> None:
    door = Door()
    door.hear(1, Accept(LOW, (entry(1), entry(2))))
    assert Want(0) in door.hear(2, Beat(HIGH, 2, 1)) and door.core.position == 0
    door = Door()
    door.hear(1, Accept(LOW, (entry(1), entry(2))))
    door.hear(1, Beat(LOW, 1, 1))
    assert door.core.position == 1 and door.core.ledger.acceptor.accepted == (entry(2),)


def test_who_lacks_entries_gets_or_asks_for_them() -> None:
    door = Door()
    assert door.hear(1, Prepare(LOW, 3)) == [Want(0)]
    door.give(Learn((entry(1), entry(2))))
    assert door.hear(1, Prepare(LOW, 0)) == [Known((entry(1), entry(2)), 2)]
    assert door.hear(2, Accept(HIGH, (entry(1, "q"),))) == [Known((entry(1), entry(2)), 2)]
    assert door.hear(1, Poll(LOW, 1))[0] == Known((entry(2),), 2)


def test_without_answers_to_its_start_it_says_nothing_that_counts() -> None:
    door = Door(answered=False)
    for word in (Prepare(LOW, 0), Accept(LOW, (entry(1),)), Beat(LOW, 0, 1), Poll(HIGH, 0)):
        assert door.hear(word.ballot.number // 2, word) == []


def test_a_start_is_answered_once_it_is_written() -> None:
    door = Door()
    door.quick = False
    again = Run(PANEL[1].disk, 2, 7)
    assert door.hear(1, Start(again, 0), life=7) == []
    assert door.hear(1, Start(Run(PANEL[2].disk, 2, 7), 0), life=8) == []  # another life's
    said = door.give(Persisted(99))
    assert [action.message.run for action in said if isinstance(action, SendMessage)] == [again]
    assert door.hear(1, Start(Run(PANEL[1].disk, 2, 8), 0), life=8) == [
        Exists(Run(PANEL[1].disk, 2, 8), again)
    ]
    assert door.core.ledger.voter().knows == (again,)


def test_a_disk_that_was_set_back_vouches_for_nobody() -> None:
    door = Door()
    door.hear(1, Exists(RUNS[0], Run(PANEL[0].disk, 4, 9)))
    assert door.hear(2, Start(Run(PANEL[2].disk, 2, 7), 0), life=7) == []
    assert door.hear(2, Prepare(HIGH, 0)) == []


def test_answers_raise_what_was_promised_and_accepted() -> None:
    door = Door(answered=False)
    door.hear(1, Noted(RUNS[0], RUNS[1], 0, HIGH, LOW, (entry(1),)))
    door.hear(2, Noted(RUNS[0], RUNS[2], 1, LOW, Ballot(4, "d1", 1), (entry(2, "q"),)))
    assert not door.core.ledger.may_vote  # it lacks what the last had decided
    assert door.core.ledger.acceptor.accepted == (entry(1),)
    door.give(Learn((entry(1),)))
    assert door.core.ledger.may_vote
    assert door.core.ledger.acceptor.accepted == (entry(2, "q"),)
    assert door.hear(1, Prepare(LOW, 1)) == [Outbid(LOW, HIGH)]


@pytest.mark.parametrize(
    "event",
    [
        MessageReceived(LIVES[2], Prepare(HIGH, 0)),
        Learn((entry(1),)),
        MessageReceived(LIVES[2], Beat(HIGH, 0, 1)),
        MessageReceived(LIVES[1], Outbid(Ballot(1, "d0", 1), HIGH)),
        DiskFailed("no space"),
    ],
)
def test_what_ends_a_leadership(event: object) -> None:
    door = Door()
    door.lead()
    door.give(event)
    assert door.core.leading.leadership is None and not door.core.leading.mine
    assert any(isinstance(action, LeaderChanged) and not action.is_self for action in door.acted)


def test_votes_for_a_leader_are_those_of_seats() -> None:
    door = Door()
    ballot = door.lead()
    door.hear(7, Ask("sum", "p", LIVES[1], 0, b"1"))  # neither its own nor passed on by a seat
    assert not door.core.leading.leadership.batch  # type: ignore[union-attr]
    door.hear(1, Ask("sum", "p", LIVES[1], 0, b"1"))
    assert door.core.leading.leadership.batch  # type: ignore[union-attr]
    vote = Accepted(ballot, 1, Voter(RUNS[1]))
    door.hear(2, vote)  # another's disk
    door.hear(1, vote, life=2)  # another run's
    assert door.core.position == 0
    door.hear(1, vote)
    assert door.core.position == 1


def test_many_questions_take_few_rounds() -> None:
    door = Door()
    ballot = door.lead()
    before = door.core.leading.leadership.rounds.round  # type: ignore[union-attr]
    for token in range(10):
        door.give(ConfirmLeadership(token))
    for number in (before + 1, before + 2):
        door.hear(1, Follow(ballot, number, Voter(RUNS[1])))
    assert [action.token for action in door.acted if isinstance(action, LeadershipConfirmed)] == list(
        range(10)
    )
    assert door.core.leading.leadership.rounds.round == before + 2  # type: ignore[union-attr]


def test_a_disk_that_hangs_is_given_no_more_votes() -> None:
    door = Door()
    door.quick = False
    for number in range(MOST_UNSYNCED + 10):
        door.hear(1, Prepare(Ballot(number + 1, "d1", 1), 0))
    assert door.core.ledger.acceptor.promised.number == MOST_UNSYNCED
    said = door.give(Persisted(MOST_UNSYNCED + 1))
    assert sum(isinstance(action, SendMessage) for action in said) == MOST_UNSYNCED
    assert door.core.ledger.may_vote
