"""How a voter comes to lead, leads, and stops: the elections, rounds and batches of one node.

A leader without contact to a majority for an election timeout steps down (Ongaro 2014, section 6.2). One
whose log moves by anything but its own decisions while it leads was replaced, and steps down as well.
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
    """The part of a leader or candidate."""

    def __init__(
        self, me: NodeInstance, state: ReplicaState, election: Election, queue: ProposalQueue
    ) -> None:
        self.instance = me
        self.state = state
        self.election = election
        self.queue = queue
        self.outbox = state.outbox
        self.settings = state.settings
        self.leadership: Leadership | None = None
        self.heartbeat_due_us = 0
        self.leader: Ballot | None = None  # of the leader that is known here
        self.is_leader = False  # this node leads

    # --- who leads ---

    def set_leader(self, ballot: Ballot | None) -> None:
        """Another leads, or nobody that is known."""
        if self.is_leader or ballot != self.leader:
            known = ballot or self.leader
            self.leader = ballot
            self.is_leader = False
            self.outbox.emit(
                LeaderChanged(ballot.name if ballot else None, known.number if known else 0, False)
            )

    def announce_leadership(self) -> None:
        """Report that this node leads, once it has all earlier decisions."""
        lead = self.leadership
        if lead and lead.leads and not (self.is_leader and self.leader == lead.ballot):
            self.leader = lead.ballot
            self.is_leader = True
            self.outbox.emit(LeaderChanged(self.instance.name, lead.ballot.number, True))

    def step_down(self, now_us: int) -> None:
        """Lead no more; what is proposed may still be decided, by whoever leads next."""
        if self.leadership is None:
            return
        self.leadership = None
        self.queue.requests.clear()
        self.election.restart_timeout(now_us)
        if self.is_leader:
            self.set_leader(None)

    def check_leadership(self, now_us: int) -> None:
        """Step down if others moved the log, or a higher ballot was promised here."""
        lead = self.leadership
        if lead is None:
            return
        if self.state.acceptor.promised > lead.ballot or self.state.recovery.voter not in self.state.voters:
            self.step_down(now_us)
        elif self.state.position != lead.after:
            if lead.phase is LeadershipPhase.LEADING:
                self.step_down(now_us)
            else:
                self.prepare(now_us, lead)

    # --- time ---

    @property
    def wake_us(self) -> int:
        """When it wants a `Tick`, in microseconds of its clock."""
        lead = self.leadership
        return (
            min(self.heartbeat_due_us, self.election.timeout_at_us) if lead else self.election.timeout_at_us
        )

    def tick(self, now_us: int) -> None:
        """Send what is due, step down without a majority, or begin an election."""
        lead = self.leadership
        if lead and lead.elected:
            if not lead.has_quorum_contact(self.state.voters, now_us, self.settings.max_election_timeout_us):
                self.step_down(now_us)
            elif now_us >= self.heartbeat_due_us:
                self.send_heartbeat(now_us, lead)
            elif now_us >= self.election.timeout_at_us:
                self.election.restart_timeout(now_us)
            return
        if now_us >= self.election.timeout_at_us:
            self.leadership = None
            self.start_pre_vote(now_us)
        elif lead and now_us >= self.heartbeat_due_us:
            self.resend(now_us, lead)

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

    def prepare(self, now_us: int, lead: Leadership) -> None:
        """Run phase 1 anew, about what follows now."""
        lead.prepare(self.state.position, now_us)
        self.resend(now_us, lead)

    def resend(self, now_us: int, lead: Leadership) -> None:
        """Resend what was not answered."""
        self.heartbeat_due_us = now_us + self.settings.heartbeat_interval_us
        answered = lead.promises if lead.phase is LeadershipPhase.PREPARING else lead.votes
        for voter in self.state.voters:
            if voter.disk in answered:
                continue
            if lead.phase is LeadershipPhase.PREPARING:
                self.outbox.send(voter.name, Prepare(lead.ballot, lead.after))
            elif lead.batch:
                self.outbox.send(voter.name, Accept(lead.ballot, lead.batch))

    def _leadership_for(
        self, now_us: int, sender: NodeInstance, ballot: Ballot, source: VoteSource
    ) -> Leadership | None:
        """The leadership that a vote is for, if it came from a voter."""
        lead = self.leadership
        voter = voter_of_disk(self.state.voters, source.run.disk)
        if lead is None or lead.ballot != ballot or voter is None:
            return None
        if voter.name != sender.name or source.run.instance_number != sender.number:
            return None
        lead.contact_us[voter.disk] = now_us
        return lead

    def on_promise(self, now_us: int, sender: NodeInstance, message: Promise) -> None:
        """Record a promise; lead once a majority has promised."""
        lead = self._leadership_for(now_us, sender, message.ballot, message.source)
        if lead is None or not are_consecutive(message.accepted, message.after):
            return
        if lead.record_promise(message.source.run.disk, message, self.state.voters):
            self.send_heartbeat(now_us, lead)

    def on_ballot_rejected(self, now_us: int, message: BallotRejected) -> None:
        """Step down where a higher ballot was promised."""
        self.election.observe_ballot(message.promised)
        lead = self.leadership
        if lead and lead.ballot == message.ballot and message.promised.number >= lead.ballot.number:
            self.step_down(now_us)

    # --- batches ---

    def propose_next_batch(self, now_us: int) -> None:
        """Propose the next batch, if its time has come."""
        lead = self.leadership
        if lead is None or not lead.leads or lead.batch:
            return
        if batch := self.queue.batch(now_us, self.state.learner):
            lead.propose(batch)
            for voter in self.state.voters:
                self.outbox.send(voter.name, Accept(lead.ballot, batch))

    def on_accepted(self, now_us: int, sender: NodeInstance, message: Accepted) -> None:
        """Record a vote; apply the batch once it is decided."""
        lead = self._leadership_for(now_us, sender, message.ballot, message.source)
        if lead is None:
            return
        voters = self.state.voters
        batch = lead.record_vote(message.source.run.disk, message.last, message.source, voters)
        if not batch:
            return
        self.state.apply_decided(batch)
        lead.after = self.state.position
        if self.state.voters == voters:
            self.send_heartbeat(now_us, lead)
        else:
            self.change_voters(now_us, lead, voters)

    def change_voters(self, now_us: int, lead: Leadership, before: Voters) -> None:
        """Notify old and new voters, and prepare anew with the new ones, or step down if not among them."""
        for voter in before:
            if voter not in self.state.voters:
                self.outbox.send(voter.name, Heartbeat(lead.ballot, self.state.position, lead.rounds.number))
        self.send_heartbeat(now_us, lead)
        if self.state.recovery.voter in self.state.voters:
            self.prepare(now_us, lead)
        else:
            self.step_down(now_us)

    # --- rounds ---

    def send_heartbeat(self, now_us: int, lead: Leadership) -> None:
        """Begin a heartbeat round, and resend what was not answered."""
        number = lead.rounds.begin()
        for voter in self.state.voters:
            self.outbox.send(voter.name, Heartbeat(lead.ballot, self.state.position, number))
        self.resend(now_us, lead)

    def on_heartbeat_reply(self, now_us: int, sender: NodeInstance, message: HeartbeatReply) -> None:
        """Record a reply; report the confirmations that it completes."""
        lead = self._leadership_for(now_us, sender, message.ballot, message.source)
        if lead is None:
            return
        lead.rounds.record_reply(message.source.run.disk, message)
        if not lead.leads:
            return
        tokens = lead.rounds.take_confirmed(self.state.voters)
        for token in tokens:
            self.outbox.emit(LeadershipConfirmed(token, lead.ballot.number))
        if tokens and lead.rounds.has_unsent_question:
            self.send_heartbeat(now_us, lead)

    def confirm_leadership(self, now_us: int, token: int) -> None:
        """Wait for a heartbeat round that begins after this call."""
        lead = self.leadership
        if lead and lead.leads and lead.rounds.add_question(token):
            self.send_heartbeat(now_us, lead)

    # --- proposals ---

    def on_proposal_request(self, sender: str, request: ProposalRequest) -> None:
        """Queue a proposal, or name the leader and forward it once."""
        if self.leadership and self.leadership.elected:
            self.queue.add(request, self.state.learner)
        elif self.leader:
            self.outbox.send(sender, LeaderHint(self.leader))
            if sender == request.proposer.name:  # it may not reach the leader itself; forwarded once
                self.outbox.send(self.leader.name, request)

    def on_leader_hint(self, message: LeaderHint) -> bool:
        """Record who leads; whether that is new."""
        newer = self.leader is None or message.ballot.number > self.leader.number
        if self.leadership or message.ballot.name == self.instance.name or not newer:
            return False
        self.set_leader(message.ballot)
        return True
