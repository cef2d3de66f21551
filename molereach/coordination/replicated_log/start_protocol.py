"""The messages of a start: to the other voters until all have acknowledged it, and answers to theirs.

What they decide is in `recovery`.
"""

from dataclasses import dataclass

from molereach.coordination.interface.core import NEVER_US
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.replicated_log.catch_up_protocol import CatchUpProtocol
from molereach.coordination.replicated_log.election import Election
from molereach.coordination.replicated_log.messages import RunAcknowledged, RunConflict, RunStarted
from molereach.coordination.replicated_log.replica_state import ReplicaState

SLOW_RETRY_FACTOR = 8  # times the retry interval, to voters whose answers are not needed any more


@dataclass(frozen=True, slots=True)
class DiskRollbackDetected:
    """Action: this disk holds an older state than it once did; it votes no more under its identity.

    The voter is to be replaced by one with a new disk identity, in a new folder."""

    start_count: int  # of this run
    known_start_count: int  # that another node has written down


class StartProtocol:
    """Both sides of a start at one node."""

    def __init__(self, state: ReplicaState, election: Election, catching_up: CatchUpProtocol) -> None:
        self.state = state
        self.election = election
        self.catch_up = catching_up
        self.outbox = state.outbox
        self.recovery = state.recovery
        self.retry_at_us = 0

    @property
    def wake_us(self) -> int:
        """When unanswered voters are asked once more."""
        requests = self.outbox.can_write and self.recovery.unanswered_voters(self.state.voters)
        return self.retry_at_us if requests else NEVER_US

    def tick(self, now_us: int, retry_interval_us: int) -> None:
        """Announce this run to the voters that have not acknowledged it."""
        if now_us < self.retry_at_us or not self.outbox.can_write:
            return
        lacking = self.recovery.unanswered_voters(self.state.voters)
        enough = self.recovery.may_vote(self.state.voters, self.state.position)
        self.retry_at_us = now_us + retry_interval_us * (SLOW_RETRY_FACTOR if enough else 1)
        for voter in lacking:
            self.outbox.send_after_sync(voter.name, RunStarted(self.recovery.run, self.state.position))
        self._catch_up()

    def _catch_up(self) -> None:
        """No vote before all is here that those who answered had."""
        for voter, answer in self.recovery.acknowledgements.items():
            if answer.after > self.state.position and voter in self.state.voters:
                self.catch_up.request_from(voter.name)
                return

    def on_run_started(self, sender: NodeInstance, message: RunStarted) -> None:
        """Record another disk's run and acknowledge it, or report a conflict."""
        ours = message.run.disk == self.recovery.run.disk
        if (
            ours
            or message.run.instance_number != sender.number
            or self.recovery.rollback_evidence
            or not self.outbox.can_write
        ):
            return
        if known := self.state.record_run(message.run):
            self.outbox.send(sender.name, RunConflict(message.run, known), sender.number)
            return
        acceptor = self.state.acceptor
        self.outbox.send_after_sync(
            sender.name,
            RunAcknowledged(
                message.run,
                self.recovery.run,
                self.state.position,
                acceptor.promised,
                acceptor.accepted_at,
                acceptor.accepted,
            ),
            sender.number,
        )

    def on_run_acknowledged(self, sender: NodeInstance, message: RunAcknowledged) -> None:
        """Take an acknowledgement, and adopt what its voter promised and accepted."""
        if self.recovery.record_acknowledgement(sender, message, self.state.voters):
            self.election.observe_ballot(message.promised)
            self.state.adopt_acknowledged()
            self._catch_up()

    def on_run_conflict(self, message: RunConflict) -> None:
        """Report, once, that this disk was rolled back."""
        if self.recovery.record_conflict(message):
            self.outbox.emit(DiskRollbackDetected(self.recovery.run.start_count, message.known.start_count))
