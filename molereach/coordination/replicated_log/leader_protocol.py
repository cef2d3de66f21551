"""The candidate and leader role of one node: elections, heartbeat rounds and batches.

A leader without contact to a majority for an election timeout steps down (Ongaro 2014, section 6.2). A leader
whose log advances by anything but its own decisions has been replaced, and steps down as well.
"""

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import LeaderChanged, LeadershipConfirmed
from molereach.coordination.replicated_log.acceptor import are_consecutive
from molereach.coordination.replicated_log.election import Election
from molereach.coordination.replicated_log.leadership import Leadership, LeadershipPhase, ProposalQueue
from molereach.coordination.replicated_log.messages import (
    Accept,
    Accepted,
    Ballot,
    BallotRejected,
    Heartbeat,
    HeartbeatReply,
    LeaderHint,
    Prepare,
    PreVote,
    PreVoteReply,
    Promise,
    ProposalRequest,
    Voters,
    VoteSource,
)
from molereach.coordination.replicated_log.replica_state import ReplicaState
from molereach.coordination.replicated_log.voters import voter_of_disk


class LeaderProtocol:
    """Runs elections, and the leadership of this node once it is elected.

    A `Leadership` exists from the start of phase 1. In the order in which they become true: `elected` (a
    majority has promised once; stays set while phase 1 is repeated), the phase `LEADING` (a majority has
    promised for the current voters), `leads` (an inherited batch is decided too, so new entries may be
    proposed), `leadership_announced` (reported by `LeaderChanged`).
    """

    def __init__(
        self, instance: NodeInstance, state: ReplicaState, election: Election, queue: ProposalQueue
    ) -> None:
        self.instance = instance
        self.state = state
        self.election = election
        self.queue = queue
        self.outbox = state.outbox
        self.settings = state.settings
        self.leadership: Leadership | None = None
        self.heartbeat_due_us = 0
        self.leader: Ballot | None = None  # ballot of the known leader
        self.leadership_announced = False  # whether the last `LeaderChanged` reported this node as leading

    # --- the current leader ---

    def set_leader(self, ballot: Ballot | None) -> None:
        """Record that another node leads, or that no leader is known, and report a change."""
        if self.leadership_announced or ballot != self.leader:
            known = ballot or self.leader
            self.leader = ballot
            self.leadership_announced = False
            self.outbox.emit(
                LeaderChanged(ballot.name if ballot else None, known.number if known else 0, False)
            )

    def announce_leadership(self) -> None:
        """Report that this node leads, once it knows all earlier decisions."""
        leadership = self.leadership
        if (
            leadership
            and leadership.leads
            and not (self.leadership_announced and self.leader == leadership.ballot)
        ):
            self.leader = leadership.ballot
            self.leadership_announced = True
            self.outbox.emit(LeaderChanged(self.instance.name, leadership.ballot.number, True))

    def step_down(self, now_us: int) -> None:
        """Stop leading, and drop the queued proposals: their proposers resend them.

        The next leader may still decide the batch that was proposed.
        """
        if self.leadership is None:
            return
        self.leadership = None
        self.queue.requests.clear()
        self.election.restart_timeout(now_us)
        if self.leadership_announced:
            self.set_leader(None)

    def check_leadership(self, now_us: int) -> None:
        """End a leadership or candidacy that was superseded.

        It ends if a higher ballot was promised at this node, or the node is no longer a voter. If the log
        advanced by decisions of others, a leader steps down, and a candidate restarts phase 1.
        """
        leadership = self.leadership
        if leadership is None:
            return
        if (
            self.state.acceptor.promised > leadership.ballot
            or self.state.recovery.voter not in self.state.voters
        ):
            self.step_down(now_us)
        elif self.state.position != leadership.decided_position:
            if leadership.phase is LeadershipPhase.LEADING:
                self.step_down(now_us)
            else:
                self.prepare(now_us, leadership)

    # --- time ---

    @property
    def wake_us(self) -> int:
        """When a heartbeat or an election timeout is due."""
        leadership = self.leadership
        return (
            min(self.heartbeat_due_us, self.election.timeout_at_us)
            if leadership
            else self.election.timeout_at_us
        )

    def tick(self, now_us: int) -> None:
        """Send a heartbeat or resend messages, step down without a majority, or begin an election."""
        leadership = self.leadership
        if leadership and leadership.elected:
            if not leadership.has_quorum_contact(
                self.state.voters, now_us, self.settings.max_election_timeout_us
            ):
                self.step_down(now_us)
            elif now_us >= self.heartbeat_due_us:
                self.send_heartbeat(now_us, leadership)
            elif now_us >= self.election.timeout_at_us:  # unused while elected, but `wake_us` must move on
                self.election.restart_timeout(now_us)
            return
        if now_us >= self.election.timeout_at_us:
            self.leadership = None
            self.start_pre_vote(now_us)
        elif leadership and now_us >= self.heartbeat_due_us:
            self.resend(now_us, leadership)

    def start_pre_vote(self, now_us: int) -> None:
        """Ask all voters whether they would promise a new ballot."""
        self.set_leader(None)
        if not self.state.may_vote:
            self.election.restart_timeout(now_us)
            return
        self.election.observe_ballot(self.state.acceptor.promised)
        ballot = self.election.start_pre_vote(now_us, self.instance.name, self.instance.number)
        for voter in self.state.voters:
            self.outbox.send(voter.name, PreVote(ballot, self.state.position))

    # --- promises ---

    def on_pre_vote_reply(self, now_us: int, sender: NodeInstance, message: PreVoteReply) -> None:
        """Begin phase 1 once a majority would promise."""
        voter = voter_of_disk(self.state.voters, message.disk)
        if voter and voter.name == sender.name and self.election.record_reply(message, self.state.voters):
            self.leadership = Leadership(message.ballot, self.state.position, now_us)
            self.election.restart_timeout(now_us)
            self.resend(now_us, self.leadership)

    def prepare(self, now_us: int, leadership: Leadership) -> None:
        """Restart phase 1 for the positions after the current one."""
        leadership.prepare(self.state.position, now_us)
        self.resend(now_us, leadership)

    def resend(self, now_us: int, leadership: Leadership) -> None:
        """Send the message of the current phase to the voters that have not answered it."""
        self.heartbeat_due_us = now_us + self.settings.heartbeat_interval_us
        replied = leadership.promises if leadership.phase is LeadershipPhase.PREPARING else leadership.votes
        for voter in self.state.voters:
            if voter.disk in replied:
                continue
            if leadership.phase is LeadershipPhase.PREPARING:
                self.outbox.send(voter.name, Prepare(leadership.ballot, leadership.decided_position))
            elif leadership.batch:
                self.outbox.send(voter.name, Accept(leadership.ballot, leadership.batch))

    def _leadership_for(
        self, now_us: int, sender: NodeInstance, ballot: Ballot, source: VoteSource
    ) -> Leadership | None:
        """Return the leadership that a promise, vote or reply is for, or None if it is not from a voter."""
        leadership = self.leadership
        # `source.run` is the run of the sender's process: its disk and its instance number.
        voter = voter_of_disk(self.state.voters, source.run.disk)
        if leadership is None or leadership.ballot != ballot or voter is None:
            return None
        if voter.name != sender.name or source.run.instance_number != sender.number:
            return None
        leadership.last_reply_us[voter.disk] = now_us
        return leadership

    def on_promise(self, now_us: int, sender: NodeInstance, message: Promise) -> None:
        """Record a promise; begin to lead once a majority has promised."""
        leadership = self._leadership_for(now_us, sender, message.ballot, message.source)
        if leadership is None or not are_consecutive(message.accepted, message.after):
            return
        if leadership.record_promise(message.source.run.disk, message, self.state.voters):
            self.send_heartbeat(now_us, leadership)

    def on_ballot_rejected(self, now_us: int, message: BallotRejected) -> None:
        """Step down if a ballot with the same or a higher number was promised elsewhere."""
        self.election.observe_ballot(message.promised)
        leadership = self.leadership
        if (
            leadership
            and leadership.ballot == message.ballot
            and message.promised.number >= leadership.ballot.number
        ):
            self.step_down(now_us)

    # --- batches ---

    def propose_next_batch(self, now_us: int) -> None:
        """Propose the next batch of queued entries, unless one is in progress."""
        leadership = self.leadership
        if leadership is None or not leadership.leads or leadership.batch:
            return
        if batch := self.queue.batch(now_us, self.state.learner):
            leadership.propose(batch)
            for voter in self.state.voters:
                self.outbox.send(voter.name, Accept(leadership.ballot, batch))

    def on_accepted(self, now_us: int, sender: NodeInstance, message: Accepted) -> None:
        """Record a vote; apply the batch if the vote decides it."""
        leadership = self._leadership_for(now_us, sender, message.ballot, message.source)
        if leadership is None:
            return
        voters = self.state.voters
        batch = leadership.record_vote(message.source.run.disk, message.last, message.source, voters)
        if not batch:
            return
        self.state.apply_decided(batch)
        leadership.decided_position = self.state.position
        if self.state.voters == voters:
            self.send_heartbeat(now_us, leadership)
        else:
            self.change_voters(now_us, leadership, voters)

    def change_voters(self, now_us: int, leadership: Leadership, before: Voters) -> None:
        """Notify old and new voters, then prepare with the new ones, or step down if not one of them."""
        for voter in before:
            if voter not in self.state.voters:
                self.outbox.send(
                    voter.name, Heartbeat(leadership.ballot, self.state.position, leadership.rounds.number)
                )
        self.send_heartbeat(now_us, leadership)
        if self.state.recovery.voter in self.state.voters:
            self.prepare(now_us, leadership)
        else:
            self.step_down(now_us)

    # --- heartbeat rounds ---

    def send_heartbeat(self, now_us: int, leadership: Leadership) -> None:
        """Begin a heartbeat round, and resend unanswered messages."""
        number = leadership.rounds.begin()
        for voter in self.state.voters:
            self.outbox.send(voter.name, Heartbeat(leadership.ballot, self.state.position, number))
        self.resend(now_us, leadership)

    def on_heartbeat_reply(self, now_us: int, sender: NodeInstance, message: HeartbeatReply) -> None:
        """Record a reply to a heartbeat; report the confirmations that it completes."""
        leadership = self._leadership_for(now_us, sender, message.ballot, message.source)
        if leadership is None:
            return
        leadership.rounds.record_reply(message.source.run.disk, message)
        if not leadership.leads:
            return
        tokens = leadership.rounds.take_confirmed(self.state.voters)
        for token in tokens:
            self.outbox.emit(LeadershipConfirmed(token, leadership.ballot.number))
        if tokens and leadership.rounds.has_unstarted_round:
            self.send_heartbeat(now_us, leadership)

    def confirm_leadership(self, now_us: int, token: int) -> None:
        """Request a confirmation by a heartbeat round that begins after this call."""
        leadership = self.leadership
        if leadership and leadership.leads and leadership.rounds.request_confirmation(token):
            self.send_heartbeat(now_us, leadership)

    # --- proposals ---

    def on_proposal_request(self, sender: str, request: ProposalRequest) -> None:
        """Queue a proposal if this node is elected, or else name the leader and forward it once."""
        if self.leadership and self.leadership.elected:
            self.queue.add(request, self.state.learner)
        elif self.leader:
            self.outbox.send(sender, LeaderHint(self.leader))
            if sender == request.proposer.name:  # the proposer may not be able to reach the leader itself
                self.outbox.send(self.leader.name, request)

    def on_leader_hint(self, message: LeaderHint) -> bool:
        """Record a leader named by another node; return whether it is newer than the known one."""
        newer = self.leader is None or message.ballot.number > self.leader.number
        if self.leadership or message.ballot.name == self.instance.name or not newer:
            return False
        self.set_leader(message.ballot)
        return True
