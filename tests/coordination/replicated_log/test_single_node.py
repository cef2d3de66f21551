"""One node that receives scripted messages: its answers, and the messages that it must not answer."""

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
from tests.coordination.replicated_log.sum_machine import SumMachine

SECOND_US = 1_000_000
VOTERS = tuple(Voter(f"d{number}", f"{number:032x}") for number in range(3))
INSTANCES = tuple(NodeInstance(f"d{number}", 1) for number in range(3))
RUNS = tuple(Run(voter.disk, 1, 1) for voter in VOTERS)
LOW_BALLOT, HIGH_BALLOT = Ballot(3, "d1", 1), Ballot(5, "d2", 1)


def entry(position: int, id_prefix: str = "p") -> Entry:
    return Entry(position, "sum", f"{id_prefix}{position}", INSTANCES[1], 1, b"1")


class SingleNode:
    """The first of three voters. Its writes are synced at once while `syncs_at_once` is set."""

    def __init__(self, acknowledged: bool = True) -> None:
        self.core = LogCore(
            INSTANCES[0],
            VOTERS[0].disk,
            Recovered(),
            VOTERS,
            {"sum": SumMachine()},
            LogSettings(),
            lambda: 0.5,
            lambda now_us: now_us,
        )
        self.now_us, self.syncs_at_once = SECOND_US, True
        self.all_actions: list[Any] = []
        self.handle(Tick())
        for sender_index in (1, 2):
            if acknowledged:
                self.deliver(sender_index, RunAcknowledged(RUNS[0], RUNS[sender_index], 0, NOBODY))

    def handle(self, event: object) -> list[Any]:
        """Handle an event; return the actions, with those that follow from synced writes."""
        actions: list[Any] = []
        for action in self.core.handle(self.now_us, event):
            if isinstance(action, Persist):
                actions += self.handle(Persisted(action.token)) if self.syncs_at_once else []
            else:
                actions.append(action)
        self.all_actions += actions
        return actions

    def deliver(self, sender_index: int, message: object, instance_number: int = 1) -> list[Any]:
        """Deliver a message; return the messages sent in reply."""
        actions = self.handle(MessageReceived(NodeInstance(f"d{sender_index}", instance_number), message))
        return [action.message for action in actions if isinstance(action, SendMessage)]

    def become_leader(self) -> Ballot:
        self.now_us += 2 * SECOND_US
        self.handle(Tick())
        ballot = Ballot(1, "d0", 1)
        self.deliver(1, PreVoteReply(ballot, VOTERS[1].disk, True, NOBODY))
        self.deliver(1, Promise(ballot, 0, VoteSource(RUNS[1])))
        assert self.core.leader_protocol.leadership_announced
        return ballot


def test_heartbeat_of_a_lower_ballot_is_rejected() -> None:
    node = SingleNode()
    assert [type(message) for message in node.deliver(2, Prepare(HIGH_BALLOT, 0))] == [Promise]
    assert node.deliver(1, Heartbeat(LOW_BALLOT, 0, 1)) == [BallotRejected(LOW_BALLOT, HIGH_BALLOT)]
    assert node.core.leader is None
    assert [type(message) for message in node.deliver(2, Heartbeat(HIGH_BALLOT, 0, 1))] == [HeartbeatReply]
    assert node.core.leader == HIGH_BALLOT


def test_ballot_is_accepted_only_from_its_own_instance() -> None:
    node = SingleNode()
    for message in (Prepare(HIGH_BALLOT, 0), Accept(HIGH_BALLOT, (entry(1),)), Heartbeat(HIGH_BALLOT, 0, 1)):
        assert node.deliver(1, message) == [] and node.deliver(2, message, instance_number=2) == []
    assert node.core.state.acceptor.promised == NOBODY


def test_batch_with_a_gap_is_not_accepted() -> None:
    node = SingleNode()
    assert node.deliver(1, Accept(LOW_BALLOT, (entry(1), entry(3)))) == []


def test_heartbeat_decides_only_entries_accepted_under_its_ballot() -> None:
    node = SingleNode()
    node.deliver(1, Accept(LOW_BALLOT, (entry(1), entry(2))))
    assert EntriesRequest(0) in node.deliver(2, Heartbeat(HIGH_BALLOT, 2, 1)) and node.core.position == 0
    node = SingleNode()
    node.deliver(1, Accept(LOW_BALLOT, (entry(1), entry(2))))
    node.deliver(1, Heartbeat(LOW_BALLOT, 1, 1))
    assert node.core.position == 1 and node.core.state.acceptor.accepted == (entry(2),)


def test_missing_entries_are_sent_or_requested() -> None:
    node = SingleNode()
    assert node.deliver(1, Prepare(LOW_BALLOT, 3)) == [EntriesRequest(0)]
    node.handle(EntriesLearned((entry(1), entry(2))))
    assert node.deliver(1, Prepare(LOW_BALLOT, 0)) == [EntriesReply((entry(1), entry(2)), 2)]
    assert node.deliver(2, Accept(HIGH_BALLOT, (entry(1, "q"),))) == [EntriesReply((entry(1), entry(2)), 2)]
    assert node.deliver(1, PreVote(LOW_BALLOT, 1))[0] == EntriesReply((entry(2),), 2)


def test_voter_does_not_vote_before_its_start_is_acknowledged() -> None:
    node = SingleNode(acknowledged=False)
    for message in (
        Prepare(LOW_BALLOT, 0),
        Accept(LOW_BALLOT, (entry(1),)),
        Heartbeat(LOW_BALLOT, 0, 1),
        PreVote(HIGH_BALLOT, 0),
    ):
        assert node.deliver(message.ballot.number // 2, message) == []


def test_start_is_acknowledged_after_its_record_is_synced() -> None:
    node = SingleNode()
    node.syncs_at_once = False
    second_run = Run(VOTERS[1].disk, 2, 7)
    assert node.deliver(1, RunStarted(second_run, 0), instance_number=7) == []
    assert (
        node.deliver(1, RunStarted(Run(VOTERS[2].disk, 2, 7), 0), instance_number=8) == []
    )  # the run is not of the sender's instance
    actions = node.handle(Persisted(99))
    assert [action.message.run for action in actions if isinstance(action, SendMessage)] == [second_run]
    assert node.deliver(1, RunStarted(Run(VOTERS[1].disk, 2, 8), 0), instance_number=8) == [
        RunConflict(Run(VOTERS[1].disk, 2, 8), second_run)
    ]
    assert node.core.state.vote_source().known_runs == (second_run,)


def test_node_with_a_rolled_back_disk_acknowledges_no_start() -> None:
    node = SingleNode()
    node.deliver(1, RunConflict(RUNS[0], Run(VOTERS[0].disk, 4, 9)))
    assert node.deliver(2, RunStarted(Run(VOTERS[2].disk, 2, 7), 0), instance_number=7) == []
    assert node.deliver(2, Prepare(HIGH_BALLOT, 0)) == []


def test_acknowledgements_raise_the_promise_and_the_vote() -> None:
    node = SingleNode(acknowledged=False)
    node.deliver(1, RunAcknowledged(RUNS[0], RUNS[1], 0, HIGH_BALLOT, LOW_BALLOT, (entry(1),)))
    node.deliver(2, RunAcknowledged(RUNS[0], RUNS[2], 1, LOW_BALLOT, Ballot(4, "d1", 1), (entry(2, "q"),)))
    assert not node.core.state.may_vote  # it lacks entries that the second voter had decided
    assert node.core.state.acceptor.accepted == (entry(1),)
    node.handle(EntriesLearned((entry(1),)))
    assert node.core.state.may_vote
    assert node.core.state.acceptor.accepted == (entry(2, "q"),)
    assert node.deliver(1, Prepare(LOW_BALLOT, 1)) == [BallotRejected(LOW_BALLOT, HIGH_BALLOT)]


@pytest.mark.parametrize(
    "event",
    [
        MessageReceived(INSTANCES[2], Prepare(HIGH_BALLOT, 0)),
        EntriesLearned((entry(1),)),
        MessageReceived(INSTANCES[2], Heartbeat(HIGH_BALLOT, 0, 1)),
        MessageReceived(INSTANCES[1], BallotRejected(Ballot(1, "d0", 1), HIGH_BALLOT)),
        DiskFailed("no space"),
    ],
)
def test_leader_steps_down(event: object) -> None:
    node = SingleNode()
    node.become_leader()
    node.handle(event)
    assert node.core.leader_protocol.leadership is None and not node.core.leader_protocol.leadership_announced
    assert any(isinstance(action, LeaderChanged) and not action.is_self for action in node.all_actions)


def test_only_votes_of_voters_count() -> None:
    node = SingleNode()
    ballot = node.become_leader()
    node.deliver(
        7, ProposalRequest("sum", "p", INSTANCES[1], 0, b"1")
    )  # neither from its proposer nor from a voter
    assert not node.core.leader_protocol.leadership.batch  # type: ignore[union-attr]
    node.deliver(1, ProposalRequest("sum", "p", INSTANCES[1], 0, b"1"))
    assert node.core.leader_protocol.leadership.batch  # type: ignore[union-attr]
    accepted = Accepted(ballot, 1, VoteSource(RUNS[1]))
    node.deliver(2, accepted)  # the vote is of another node's disk
    node.deliver(1, accepted, instance_number=2)  # the vote is of another instance
    assert node.core.position == 0
    node.deliver(1, accepted)
    assert node.core.position == 1


def test_many_confirmations_need_few_rounds() -> None:
    node = SingleNode()
    ballot = node.become_leader()
    before = node.core.leader_protocol.leadership.rounds.number  # type: ignore[union-attr]
    for token in range(10):
        node.handle(ConfirmLeadership(token))
    for number in (before + 1, before + 2):
        node.deliver(1, HeartbeatReply(ballot, number, VoteSource(RUNS[1])))
    assert [action.token for action in node.all_actions if isinstance(action, LeadershipConfirmed)] == list(
        range(10)
    )
    assert node.core.leader_protocol.leadership.rounds.number == before + 2  # type: ignore[union-attr]


def test_node_with_a_hanging_disk_stops_voting() -> None:
    node = SingleNode()
    node.syncs_at_once = False
    for number in range(MAX_UNSYNCED_WRITES + 10):
        node.deliver(1, Prepare(Ballot(number + 1, "d1", 1), 0))
    assert node.core.state.acceptor.promised.number == MAX_UNSYNCED_WRITES
    actions = node.handle(Persisted(MAX_UNSYNCED_WRITES + 1))
    assert sum(isinstance(action, SendMessage) for action in actions) == MAX_UNSYNCED_WRITES
    assert node.core.state.may_vote
