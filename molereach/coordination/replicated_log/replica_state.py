"""The durable state of the log at one node: each change is written before it is sent.

It combines decided entries (`Learner`), the promise and the vote (`Acceptor`) and known runs (`Recovery`), so
that none of them changes without a record on disk.
"""

from collections.abc import Sequence

from molereach.coordination.interface.log import Applied, Entry, Restored
from molereach.coordination.replicated_log.acceptor import Acceptor
from molereach.coordination.replicated_log.learner import Learner
from molereach.coordination.replicated_log.messages import Ballot, Run, Voters, VoteSource
from molereach.coordination.replicated_log.outbox import Outbox
from molereach.coordination.replicated_log.records import (
    BallotPromised,
    Base,
    BatchAccepted,
    DiskStarted,
    EntriesDecided,
    Recovered,
    RunRecorded,
    Snapshot,
    StateAdopted,
)
from molereach.coordination.replicated_log.recovery import Recovery
from molereach.coordination.replicated_log.settings import MAX_BATCH_ENTRIES, LogSettings


class ReplicaState:
    """The state of one node, which writes a record of each change."""

    def __init__(
        self,
        settings: LogSettings,
        outbox: Outbox,
        learner: Learner,
        recovery: Recovery,
        recovered: Recovered,
    ) -> None:
        self.settings = settings
        self.outbox = outbox
        self.learner = learner
        self.recovery = recovery
        self.acceptor: Acceptor = recovered.acceptor
        self.entries_since_base = 0
        self.bytes_since_base = 0
        self._replay(recovered)
        outbox.write(DiskStarted(recovery.run))

    def _replay(self, recovered: Recovered) -> None:
        if recovered.snapshot:
            for failure in self.learner.restore(recovered.snapshot):
                self.outbox.emit(failure)
        for entry in recovered.entries:
            for action in self.learner.apply(entry):
                if not isinstance(action, Applied):
                    self.outbox.emit(action)
            self._count_entry(entry)
        if self.position:
            self.outbox.emit(Restored(self.position))

    @property
    def position(self) -> int:
        """The position of the last entry applied at this node."""
        return self.learner.position

    @property
    def voters(self) -> Voters:
        """The voters at the next position."""
        return self.learner.voters

    @property
    def may_vote(self) -> bool:
        """Whether this run may vote and its disk accepts writes."""
        return self.outbox.can_write and self.recovery.may_vote(self.voters, self.position)

    def vote_source(self) -> VoteSource:
        """Return the source of a vote of this run."""
        return self.recovery.vote_source(self.voters)

    # --- promises and votes: the caller has checked `may_vote` ---

    def promise(self, ballot: Ballot) -> bool:
        """Promise a ballot and write the promise; return whether it was promised."""
        before = self.acceptor.promised
        if not self.acceptor.promise(ballot):
            return False
        if ballot != before:
            self.outbox.write(BallotPromised(ballot))
        return True

    def accept(self, ballot: Ballot, entries: Sequence[Entry]) -> bool:
        """Accept a batch and write the vote; return whether it was accepted."""
        before = (self.acceptor.accepted_at, self.acceptor.accepted)
        if not self.acceptor.accept(ballot, entries):
            return False
        if before != (ballot, self.acceptor.accepted):
            self.outbox.write(BatchAccepted(ballot, self.acceptor.accepted))
        return True

    # --- runs ---

    def record_run(self, run: Run) -> Run | None:
        """Record a run and return None, or return the known run that shows that its disk was rolled back."""
        known = self.recovery.conflicting_run(run)
        if known is None and self.recovery.record_run(run, self.voters):
            self.outbox.write(RunRecorded(run))
        return known

    def adopt_acknowledged(self) -> None:
        """Adopt the promises and votes in the acknowledgements, and write them."""
        if self.recovery.adopt_acknowledged(self.acceptor, self.learner):
            acceptor = self.acceptor
            self.outbox.write(StateAdopted(acceptor.promised, acceptor.accepted_at, acceptor.accepted))

    # --- decided entries ---

    def apply_decided(self, entries: Sequence[Entry]) -> bool:
        """Apply decided entries; return whether any was new. With a gap they are ignored."""
        new = self.learner.unapplied(entries)
        if not new:
            return False
        for entry in new:
            for action in self.learner.apply(entry):
                self.outbox.emit(action)
            self._count_entry(entry)
        self.acceptor.discard_decided(new[-1])
        for start in range(0, len(new), MAX_BATCH_ENTRIES):
            self.outbox.write(EntriesDecided(new[start : start + MAX_BATCH_ENTRIES]))
        self.adopt_acknowledged()
        self._compact()
        return True

    def restore(self, snapshot: Snapshot) -> bool:
        """Restore a snapshot that is newer than this state; return whether it was."""
        if snapshot.position <= self.position or snapshot.last is None:
            return False
        for failure in self.learner.restore(snapshot):
            self.outbox.emit(failure)
        self.acceptor.discard_decided(snapshot.last)
        self.recovery.adopt_acknowledged(self.acceptor, self.learner)
        self.write_base()
        self.outbox.emit(Restored(self.position))
        return True

    # --- the base ---

    def _count_entry(self, entry: Entry) -> None:
        self.entries_since_base += 1
        self.bytes_since_base += len(entry.body)

    def _compact(self) -> None:
        too_many = self.entries_since_base > self.settings.max_tail_entries
        if too_many or self.bytes_since_base > self.settings.max_tail_bytes:
            self.write_base()

    def write_base(self) -> None:
        """Write the whole state as a base, which replaces all records written so far."""
        acceptor = self.acceptor
        recovery = self.recovery
        self.entries_since_base = 0
        self.bytes_since_base = 0
        self.outbox.write_base(
            Base(
                recovery.run.disk,
                recovery.run.start_count,
                tuple(recovery.runs.values()),
                acceptor.promised,
                acceptor.accepted_at,
                acceptor.accepted,
                self.learner.snapshot(),
            )
        )
