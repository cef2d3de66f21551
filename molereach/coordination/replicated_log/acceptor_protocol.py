"""How a seat answers those who would lead, and the leader.

Each word about what follows a position is judged only by a seat that has decided just as much: one that has
more tells it, one that has less asks. A ballot is believed only from its own run.
"""

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.replicated_log.acceptor import are_consecutive
from molereach.coordination.replicated_log.catch_up_protocol import CatchUpProtocol
from molereach.coordination.replicated_log.election import Election
from molereach.coordination.replicated_log.messages import (
    Accept,
    Accepted,
    Ballot,
    BallotRejected,
    Heartbeat,
    HeartbeatReply,
    Prepare,
    PreVote,
    PreVoteReply,
    Promise,
)
from molereach.coordination.replicated_log.replica_state import ReplicaState


def is_own_ballot(ballot: Ballot, sender: NodeInstance) -> bool:
    return ballot.name == sender.name and ballot.instance_number == sender.number


class AcceptorProtocol:
    """The seat's part."""

    def __init__(self, ledger: ReplicaState, election: Election, catching_up: CatchUpProtocol) -> None:
        self.state, self.election, self.catch_up = ledger, election, catching_up
        self.outbox = ledger.outbox

    def has_same_entries(self, sender: NodeInstance, after: int) -> bool:
        """Whether both have the same decided entries; if not, who lacks some gets or asks for them."""
        if after < self.state.position:
            self.catch_up.send_entries(sender.name, after)
        elif after > self.state.position:
            self.catch_up.request_from(sender.name)
        return after == self.state.position

    def on_pre_vote(self, now_us: int, sender: NodeInstance, word: PreVote) -> None:
        self.election.observe_ballot(word.ballot)
        self.has_same_entries(sender, word.after)
        if not self.state.may_vote:
            return
        promised = self.state.acceptor.promised
        granted = self.election.grant(now_us, word.ballot, promised)
        disk = self.state.recovery.run.disk
        self.outbox.send(sender.name, PreVoteReply(word.ballot, disk, granted, promised), sender.number)

    def on_prepare(self, now_us: int, sender: NodeInstance, word: Prepare) -> None:
        self.election.observe_ballot(word.ballot)
        if (
            not is_own_ballot(word.ballot, sender)
            or not self.has_same_entries(sender, word.after)
            or not self.state.may_vote
        ):
            return
        if not self.state.promise(word.ballot):
            self.reject_ballot(sender, word.ballot)
            return
        self.election.restart_timeout(now_us)
        acceptor = self.state.acceptor
        self.outbox.send_after_sync(
            sender.name,
            Promise(
                word.ballot,
                word.after,
                self.state.vote_source(),
                acceptor.accepted_at,
                acceptor.accepted,
            ),
            sender.number,
        )

    def on_accept(self, now_us: int, sender: NodeInstance, word: Accept) -> None:
        after = word.entries[0].position - 1
        if not is_own_ballot(word.ballot, sender) or not are_consecutive(word.entries, after):
            return
        if not self.has_same_entries(sender, after) or not self.state.may_vote:
            return
        if not self.state.accept(word.ballot, word.entries):
            self.reject_ballot(sender, word.ballot)
            return
        self.election.record_leader_contact(now_us)
        last = word.entries[-1].position
        self.outbox.send_after_sync(
            sender.name, Accepted(word.ballot, last, self.state.vote_source()), sender.number
        )

    def on_heartbeat(self, now_us: int, sender: NodeInstance, word: Heartbeat) -> bool:
        """Whether it is from a leader that may still lead."""
        acceptor = self.state.acceptor
        self.election.observe_ballot(word.ballot)
        if not is_own_ballot(word.ballot, sender):
            return False
        if word.ballot < acceptor.promised:
            self.reject_ballot(sender, word.ballot)
            return False
        self.election.record_leader_contact(now_us)
        if word.ballot == acceptor.accepted_at:  # one value for a ballot at a position
            self.state.apply_decided([entry for entry in acceptor.accepted if entry.position <= word.decided])
        if word.decided > self.state.position:
            self.catch_up.request_from(sender.name)
        if self.state.may_vote:
            follow = HeartbeatReply(word.ballot, word.round, self.state.vote_source())
            self.outbox.send(sender.name, follow, sender.number)
        return True

    def reject_ballot(self, sender: NodeInstance, ballot: Ballot) -> None:
        self.outbox.send(sender.name, BallotRejected(ballot, self.state.acceptor.promised), sender.number)
