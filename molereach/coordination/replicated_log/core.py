"""The core of the log at one node: dispatches events and messages, and returns the resulting actions."""

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
    """Event: decided entries from another channel, in order; with a gap they are ignored."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class CatchUp:
    """Event: request missing entries from the node `source`."""

    source: str


class LogCore:
    """The log at one node: always a learner, an acceptor if it is a voter, and the leader when elected.

    `random_fraction` gives random numbers from 0 to 1, below 1, and `unix_ms` the Unix milliseconds for a
    `now_us`. Raises a ValueError if the records are of another disk, the initial voters are invalid, or a
    state machine has the name `LOG_MACHINE`.
    """

    def __init__(
        self,
        instance: NodeInstance,
        disk: str,
        recovered: Recovered,
        voters: Voters,
        machines: Mapping[str, StateMachine],
        settings: LogSettings,
        random_fraction: Callable[[], float],
        unix_ms: Callable[[int], int],
    ) -> None:
        if recovered.disk not in ("", disk):
            raise ValueError("these records are another disk's")
        if error := voters_error(voters):
            raise ValueError(error)
        if LOG_MACHINE in machines:
            raise ValueError(f"the name {LOG_MACHINE!r} is the log's own")
        self.instance = instance
        self.settings = settings
        self.random_fraction = random_fraction
        self.now_us = 0
        self.outbox = Outbox(instance)
        self.learner = Learner(tuple(sorted(voters)), machines, settings)
        self.recovery = Recovery(instance, disk, recovered.start_count + 1, recovered.runs)
        self.state = ReplicaState(settings, self.outbox, self.learner, self.recovery, recovered)
        self.election = Election(settings, random_fraction)
        self.catch_up = CatchUpProtocol(self.state)
        self.acceptor_protocol = AcceptorProtocol(self.state, self.election, self.catch_up)
        self.start_protocol = StartProtocol(self.state, self.election, self.catch_up)
        self.leader_protocol = LeaderProtocol(
            instance, self.state, self.election, ProposalQueue(settings, unix_ms)
        )
        self.proposals = ProposalTracker(instance, settings, self.learner)
        self.reported_position = 0  # position up to which the results of proposals were reported

    # --- queries ---

    @property
    def position(self) -> int:
        """The position of the last entry applied at this node; 0 for none."""
        return self.learner.position

    @property
    def voters(self) -> Voters:
        """The voters at the next position."""
        return self.learner.voters

    @property
    def leader(self) -> Ballot | None:
        """The ballot of the known leader, or None."""
        return self.leader_protocol.leader

    def digest(self) -> str:
        """Return a digest of all entries and all state, equal at all nodes at the same position."""
        return self.learner.digest()

    @property
    def wake_us(self) -> int:
        """When a `Tick` is due; 0 before the first event."""
        due = [self.leader_protocol.wake_us, self.start_protocol.wake_us, self.proposals.wake_us]
        if self.catch_up.source:
            due.append(self.catch_up.retry_at_us)
        return max(min(due), self.now_us + 1) if self.election.leader_contact_us is not None else 0

    # --- events ---

    def handle(self, now_us: int, event: Any) -> Sequence[Any]:  # noqa: ANN401
        """Handle one event and return the actions to perform, in order."""
        self.now_us = now_us
        if self.election.leader_contact_us is None:  # the first event: assume that a leader is alive
            self.election.record_leader_contact(now_us)
        self._handle_event(now_us, event)
        self._finish_step(now_us)
        while self.outbox.local_messages:
            self._handle_message(now_us, self.instance, self.outbox.local_messages.popleft())
            self._finish_step(now_us)
        return self.outbox.take_actions()

    def _finish_step(self, now_us: int) -> None:
        """Run what may follow from the event or message just handled, then release its messages."""
        self.leader_protocol.check_leadership(now_us)
        if self.reported_position != self.position:
            self.reported_position = self.position
            for finished in self.proposals.finish_applied():
                self.outbox.emit(finished)
        self.start_protocol.tick(now_us, self.settings.retry_interval_us)
        self.leader_protocol.announce_leadership()
        self._send_proposals(now_us)
        self.leader_protocol.propose_next_batch(now_us)
        self.catch_up.tick(now_us, self.settings.retry_interval_us)
        self.outbox.flush()

    def _handle_event(self, now_us: int, event: object) -> None:
        match event:
            case Tick():
                self.leader_protocol.tick(now_us)
                for finished in self.proposals.expire(now_us):
                    self.outbox.emit(finished)
            case MessageReceived(sender, message):
                if sender.name != self.instance.name:
                    self._handle_message(now_us, sender, message)
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
        if finished := self.proposals.propose(now_us, event):
            self.outbox.emit(finished)

    def _handle_message(self, now_us: int, sender: NodeInstance, message: Message) -> None:
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
        """Follow the leader of a ballot whose heartbeat arrived."""
        leadership = self.leader_protocol.leadership
        if leadership and ballot > leadership.ballot:
            self.leader_protocol.step_down(now_us)
        if self.leader_protocol.leadership is None and ballot != self.leader_protocol.leader:
            self.leader_protocol.set_leader(ballot)
            self.proposals.retry_now()

    def _send_proposals(self, now_us: int) -> None:
        """Send due proposals to the leader, or to a random voter if it is unknown or does not answer."""
        for request, attempts in self.proposals.due_requests(now_us):
            leader = self.leader_protocol.leader
            if leader is None or attempts % 3 == 2:
                voter = self.voters[min(int(self.random_fraction() * len(self.voters)), len(self.voters) - 1)]
                name = voter.name
            else:
                name = leader.name
            self.outbox.send(name, request)
