"""The log at one node: events in, actions out; hands each event to the part that decides on it."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from molereach.coordination.interface.core import MessageReceived, Tick
from molereach.coordination.interface.disk import DiskFailed, Persisted
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import ConfirmLeadership, Entry, Propose, StateMachine
from molereach.coordination.replicated_log.acceptor import are_consecutive
from molereach.coordination.replicated_log.acceptor_protocol import AcceptorProtocol
from molereach.coordination.replicated_log.catch_up_protocol import CatchUpProtocol
from molereach.coordination.replicated_log.election import Election
from molereach.coordination.replicated_log.leader_protocol import LeaderProtocol
from molereach.coordination.replicated_log.leadership import ProposalQueue
from molereach.coordination.replicated_log.learner import LOG_MACHINE, Learner
from molereach.coordination.replicated_log.messages import (
    Accept,
    Accepted,
    Ballot,
    BallotRejected,
    EntriesReply,
    EntriesRequest,
    Heartbeat,
    HeartbeatReply,
    LeaderHint,
    Message,
    Prepare,
    PreVote,
    PreVoteReply,
    Promise,
    ProposalRequest,
    RunAcknowledged,
    RunConflict,
    RunStarted,
    SnapshotChunk,
    SnapshotChunkRequest,
    Voters,
)
from molereach.coordination.replicated_log.outbox import Outbox
from molereach.coordination.replicated_log.proposals import ProposalTracker
from molereach.coordination.replicated_log.records import Recovered
from molereach.coordination.replicated_log.recovery import Recovery
from molereach.coordination.replicated_log.replica_state import ReplicaState
from molereach.coordination.replicated_log.settings import LogSettings
from molereach.coordination.replicated_log.start_protocol import StartProtocol
from molereach.coordination.replicated_log.voters import voters_error


@dataclass(frozen=True, slots=True)
class EntriesLearned:
    """Event: decided entries that came another way, in order; a gap is ignored."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class CatchUp:
    """Event: request from this node what is missing here."""

    source: str


class LogCore:
    """One node's part in the log: learner always, acceptor as a voter, leader when elected.

    `wall_ms` gives Unix milliseconds for a `now_us`. ValueError where the disk is not the one named, the
    first voters are invalid, or a machine has the log's own name.
    """

    def __init__(
        self,
        me: NodeInstance,
        disk: str,
        recovered: Recovered,
        voters: Voters,
        machines: Mapping[str, StateMachine],
        settings: LogSettings,
        draw: Callable[[], float],
        wall_ms: Callable[[int], int],
    ) -> None:
        if recovered.disk not in ("", disk):
            raise ValueError("these records are another disk's")
        if error := voters_error(voters):
            raise ValueError(error)
        if LOG_MACHINE in machines:
            raise ValueError(f"the name {LOG_MACHINE!r} is the log's own")
        self.instance = me
        self.settings = settings
        self.random_fraction = draw
        self.now_us = 0
        self.outbox = Outbox(me)
        self.learner = Learner(tuple(sorted(voters)), machines, settings)
        self.recovery = Recovery(me, disk, recovered.start_count + 1, recovered.runs)
        self.state = ReplicaState(settings, self.outbox, self.learner, self.recovery, recovered)
        self.election = Election(settings, draw)
        self.catch_up = CatchUpProtocol(self.state)
        self.acceptor_protocol = AcceptorProtocol(self.state, self.election, self.catch_up)
        self.start_protocol = StartProtocol(self.state, self.election, self.catch_up)
        self.leader_protocol = LeaderProtocol(me, self.state, self.election, ProposalQueue(settings, wall_ms))
        self.proposals = ProposalTracker(me, settings, self.learner)
        self.finished_position = 0  # the position up to which proposals were looked at

    # --- queries ---

    @property
    def position(self) -> int:
        """The position of the last entry applied here; 0 for none."""
        return self.learner.position

    @property
    def voters(self) -> Voters:
        """The voters at the next position."""
        return self.learner.voters

    @property
    def leader(self) -> Ballot | None:
        """The ballot of the leader that is known here, or None."""
        return self.leader_protocol.leader

    def digest(self) -> str:
        """A digest of all entries and state: equal at equal positions, everywhere."""
        return self.learner.digest()

    @property
    def wake_us(self) -> int:
        """When it wants a `Tick`, in microseconds of its clock."""
        due = [self.leader_protocol.wake_us, self.start_protocol.wake_us, self.proposals.wake_us]
        if self.catch_up.source:
            due.append(self.catch_up.retry_at_us)
        return max(min(due), self.now_us + 1) if self.election.leader_contact_us is not None else 0

    # --- events ---

    def handle(self, now_us: int, event: Any) -> Sequence[Any]:  # noqa: ANN401
        """Take one event; what is to be done, in order."""
        self.now_us = now_us
        if self.election.leader_contact_us is None:  # the first event: a leader may be alive
            self.election.record_leader_contact(now_us)
        self._take(now_us, event)
        self._finish_step(now_us)
        while self.outbox.local_messages:
            self._receive(now_us, self.instance, self.outbox.local_messages.popleft())
            self._finish_step(now_us)
        return self.outbox.take_actions()

    def _finish_step(self, now_us: int) -> None:
        """After each step: what follows from it, then what is sent."""
        self.leader_protocol.check_leadership(now_us)
        if self.finished_position != self.position:
            self.finished_position = self.position
            for over in self.proposals.finish_applied():
                self.outbox.emit(over)
        self.start_protocol.tick(now_us, self.settings.retry_interval_us)
        self.leader_protocol.announce_leadership()
        self._send_proposals(now_us)
        self.leader_protocol.propose_next_batch(now_us)
        self.catch_up.tick(now_us, self.settings.retry_interval_us)
        self.outbox.flush()

    def _take(self, now_us: int, event: object) -> None:
        match event:
            case Tick():
                self.leader_protocol.tick(now_us)
                for over in self.proposals.expire(now_us):
                    self.outbox.emit(over)
            case MessageReceived(sender, message):
                if sender.name != self.instance.name:
                    self._receive(now_us, sender, message)
            case Persisted(token):
                self.outbox.persisted(token)
                self.outbox.release()
            case Propose():
                self._propose(now_us, event)
            case ConfirmLeadership(token):
                self.leader_protocol.confirm_leadership(now_us, token)
            case EntriesLearned(entries):
                if entries and are_consecutive(entries, entries[0].position - 1):
                    self.state.apply_decided(entries)
            case CatchUp(source):
                self.catch_up.request_from(source)
            case DiskFailed(reason):
                if self.outbox.fail(reason):
                    self.leader_protocol.step_down(now_us)
            case _:
                raise TypeError(f"no event of the log: {event!r}")

    def _propose(self, now_us: int, event: Propose) -> None:
        if over := self.proposals.propose(now_us, event):
            self.outbox.emit(over)

    def _receive(self, now_us: int, sender: NodeInstance, message: Message) -> None:
        match message:
            case RunStarted():
                self.start_protocol.on_run_started(sender, message)
            case RunAcknowledged():
                self.start_protocol.on_run_acknowledged(sender, message)
            case RunConflict():
                self.start_protocol.on_run_conflict(message)
            case PreVote():
                self.acceptor_protocol.on_pre_vote(now_us, sender, message)
            case Prepare():
                self.acceptor_protocol.on_prepare(now_us, sender, message)
            case Accept():
                self.acceptor_protocol.on_accept(now_us, sender, message)
            case Heartbeat():
                if self.acceptor_protocol.on_heartbeat(now_us, sender, message) and sender != self.instance:
                    self._follow_leader(now_us, message.ballot)
            case PreVoteReply():
                self.leader_protocol.on_pre_vote_reply(now_us, sender, message)
            case Promise():
                self.leader_protocol.on_promise(now_us, sender, message)
            case BallotRejected():
                self.leader_protocol.on_ballot_rejected(now_us, message)
            case Accepted():
                self.leader_protocol.on_accepted(now_us, sender, message)
            case HeartbeatReply():
                self.leader_protocol.on_heartbeat_reply(now_us, sender, message)
            case EntriesRequest(after):
                self.catch_up.send_entries(sender.name, after)
            case EntriesReply():
                if are_consecutive(
                    message.entries, message.entries[0].position - 1 if message.entries else 0
                ):
                    self.catch_up.on_entries(sender.name, message)
            case SnapshotChunkRequest(position, offset):
                self.catch_up.send_chunk(sender.name, position, offset)
            case SnapshotChunk():
                self.catch_up.on_chunk(sender.name, message)
            case ProposalRequest():
                if message.proposer == sender or any(voter.name == sender.name for voter in self.voters):
                    self.leader_protocol.on_proposal_request(sender.name, message)
            case LeaderHint():
                if self.leader_protocol.on_leader_hint(message):
                    self.proposals.retry_now()

    def _follow_leader(self, now_us: int, ballot: Ballot) -> None:
        """Follow a leader whose heartbeat came and that may still lead."""
        lead = self.leader_protocol.leadership
        if lead and ballot > lead.ballot:
            self.leader_protocol.step_down(now_us)
        if self.leader_protocol.leadership is None and ballot != self.leader_protocol.leader:
            self.leader_protocol.set_leader(ballot)
            self.proposals.retry_now()

    def _send_proposals(self, now_us: int) -> None:
        """Send proposals to the leader, or to a voter where it is unknown or does not answer."""
        for request, attempts in self.proposals.due_requests(now_us):
            leader = self.leader_protocol.leader
            if leader is None or attempts % 3 == 2:
                voter = self.voters[min(int(self.random_fraction() * len(self.voters)), len(self.voters) - 1)]
                name = voter.name
            else:
                name = leader.name
            self.outbox.send(name, request)
