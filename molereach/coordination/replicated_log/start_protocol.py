"""The messages of a start: announcing it to the other voters until all acknowledge it, and answering theirs.

The rules are in `recovery`.
"""

from dataclasses import dataclass

from molereach.coordination.interface.core import NEVER_US
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.replicated_log.catch_up_protocol import CatchUpProtocol
from molereach.coordination.replicated_log.election import Election
from molereach.coordination.replicated_log.messages import RunAcknowledged, RunConflict, RunStarted
from molereach.coordination.replicated_log.replica_state import ReplicaState

SLOW_RETRY_FACTOR = 8  # times the retry interval, once the remaining acknowledgements are not needed to vote


@dataclass(frozen=True, slots=True)
class DiskRollbackDetected:
    """Action: this disk holds an older state than it once did, so it never votes again.

    The voter must be replaced by one with a new disk identity, in a new folder.
    """

    start_count: int  # of this run
    known_start_count: int  # recorded by another node


class StartProtocol:
    """Announces the start of this node, and handles those of other nodes."""

    def __init__(self, state: ReplicaState, election: Election, catch_up: CatchUpProtocol) -> None:
        self.state = state
        self.election = election
        self.catch_up = catch_up
        self.outbox = state.outbox
        self.recovery = state.recovery
        self.retry_at_us = 0

    @property
    def wake_us(self) -> int:
        """When the run is next announced to voters that have not acknowledged it."""
        unanswered = self.outbox.can_write and self.recovery.unanswered_voters(self.state.voters)
        return self.retry_at_us if unanswered else NEVER_US

    def tick(self, now_us: int, retry_interval_us: int) -> None:
        """Announce this run to the voters that have not acknowledged it."""
        if now_us < self.retry_at_us or not self.outbox.can_write:
            return
        unanswered = self.recovery.unanswered_voters(self.state.voters)
        may_vote = self.recovery.may_vote(self.state.voters, self.state.position)
        self.retry_at_us = now_us + retry_interval_us * (SLOW_RETRY_FACTOR if may_vote else 1)
        for voter in unanswered:
            self.outbox.send_after_sync(voter.name, RunStarted(self.recovery.run, self.state.position))
        self._request_missing_entries()

    def _request_missing_entries(self) -> None:
        """Request entries from a voter that is ahead: this node may not vote before it has them."""
        for voter, acknowledgement in self.recovery.acknowledgements.items():
            if acknowledgement.after > self.state.position and voter in self.state.voters:
                self.catch_up.request_from(voter.name)
                return

    def on_run_started(self, sender: NodeInstance, message: RunStarted) -> None:
        """Record the run of another disk and acknowledge it, or report a conflict."""
        is_local_disk = message.run.disk == self.recovery.run.disk
        if (
            is_local_disk
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
        """Record an acknowledgement, and adopt the promise and the vote in it."""
        if self.recovery.record_acknowledgement(sender, message, self.state.voters):
            self.election.observe_ballot(message.promised)
            self.state.adopt_acknowledged()
            self._request_missing_entries()

    def on_run_conflict(self, message: RunConflict) -> None:
        """Report, once, that this disk was rolled back."""
        if self.recovery.record_conflict(message):
            self.outbox.emit(DiskRollbackDetected(self.recovery.run.start_count, message.known.start_count))
