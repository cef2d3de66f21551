"""How a voter answers candidates and the leader.

A prepare or accept for the positions after some position is answered only by a voter that is at exactly that
position. A voter that is ahead sends its entries, and one that is behind requests them. A ballot is accepted
only from the instance to which it belongs.
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


def is_ballot_of(ballot: Ballot, sender: NodeInstance) -> bool:
    """Whether a ballot belongs to the instance that sent it."""
    return ballot.name == sender.name and ballot.instance_number == sender.number


class AcceptorProtocol:
    """Handles the messages to a voter."""

    def __init__(self, state: ReplicaState, election: Election, catch_up: CatchUpProtocol) -> None:
        self.state = state
        self.election = election
        self.catch_up = catch_up
        self.outbox = state.outbox

    def synchronize_with(self, sender: NodeInstance, after: int) -> bool:
        """Whether both nodes have the same decided entries; if not, transfer them to the one behind."""
        if after < self.state.position:
            self.catch_up.send_entries(sender.name, after)
        elif after > self.state.position:
            self.catch_up.request_from(sender.name)
        return after == self.state.position

    def on_pre_vote(self, now_us: int, sender: NodeInstance, message: PreVote) -> None:
        """Answer whether this voter would promise the ballot, without promising it."""
        self.election.observe_ballot(message.ballot)
        self.synchronize_with(sender, message.after)
        if not self.state.may_vote:
            return
        promised = self.state.acceptor.promised
        granted = self.election.grant(now_us, message.ballot, promised)
        disk = self.state.recovery.run.disk
        self.outbox.send(sender.name, PreVoteReply(message.ballot, disk, granted, promised), sender.number)

    def on_prepare(self, now_us: int, sender: NodeInstance, message: Prepare) -> None:
        """Phase 1: promise the ballot, or reject it."""
        self.election.observe_ballot(message.ballot)
        if (
            not is_ballot_of(message.ballot, sender)
            or not self.synchronize_with(sender, message.after)
            or not self.state.may_vote
        ):
            return
        if not self.state.promise(message.ballot):
            self.reject_ballot(sender, message.ballot)
            return
        self.election.restart_timeout(now_us)
        acceptor = self.state.acceptor
        self.outbox.send_after_sync(
            sender.name,
            Promise(
                message.ballot,
                message.after,
                self.state.vote_source(),
                acceptor.accepted_at,
                acceptor.accepted,
            ),
            sender.number,
        )

    def on_accept(self, now_us: int, sender: NodeInstance, message: Accept) -> None:
        """Phase 2: accept the batch, or reject the ballot."""
        after = message.entries[0].position - 1
        if not is_ballot_of(message.ballot, sender) or not are_consecutive(message.entries, after):
            return
        if not self.synchronize_with(sender, after) or not self.state.may_vote:
            return
        if not self.state.accept(message.ballot, message.entries):
            self.reject_ballot(sender, message.ballot)
            return
        self.election.record_leader_contact(now_us)
        last = message.entries[-1].position
        self.outbox.send_after_sync(
            sender.name, Accepted(message.ballot, last, self.state.vote_source()), sender.number
        )

    def on_heartbeat(self, now_us: int, sender: NodeInstance, message: Heartbeat) -> bool:
        """Handle a heartbeat; return whether its sender may still be the leader."""
        acceptor = self.state.acceptor
        self.election.observe_ballot(message.ballot)
        if not is_ballot_of(message.ballot, sender):
            return False
        if message.ballot < acceptor.promised:
            self.reject_ballot(sender, message.ballot)
            return False
        self.election.record_leader_contact(now_us)
        if message.ballot == acceptor.accepted_at:  # a ballot has only one value at each position
            self.state.apply_decided(
                [entry for entry in acceptor.accepted if entry.position <= message.decided]
            )
        if message.decided > self.state.position:
            self.catch_up.request_from(sender.name)
        if self.state.may_vote:
            reply = HeartbeatReply(message.ballot, message.round, self.state.vote_source())
            self.outbox.send(sender.name, reply, sender.number)
        return True

    def reject_ballot(self, sender: NodeInstance, ballot: Ballot) -> None:
        """Reject a ballot and report the one that was promised."""
        self.outbox.send(sender.name, BallotRejected(ballot, self.state.acceptor.promised), sender.number)
