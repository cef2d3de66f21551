"""What one node has of the log, and its disk: each change is written before it is sent.

It joins what is decided (`Learner`), what was promised and accepted (`Acceptor`) and whose runs are known
(`Recovery`), so that none changes without the record of it.
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
    """State and disk of one node."""

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
            self._count(entry)
        if self.position:
            self.outbox.emit(Restored(self.position))

    @property
    def position(self) -> int:
        """The position of the last entry applied here."""
        return self.learner.position

    @property
    def voters(self) -> Voters:
        """The voters at the next position."""
        return self.learner.voters

    @property
    def may_vote(self) -> bool:
        """Whether this run may vote, and its disk takes writes."""
        return self.outbox.can_write and self.recovery.may_vote(self.voters, self.position)

    def vote_source(self) -> VoteSource:
        """Who casts a vote of this run."""
        return self.recovery.vote_source(self.voters)

    # --- votes: the caller has checked `may_vote` ---

    def promise(self, ballot: Ballot) -> bool:
        """Promise a ballot and write it; whether it was promised."""
        before = self.acceptor.promised
        if not self.acceptor.promise(ballot):
            return False
        if ballot != before:
            self.outbox.write(BallotPromised(ballot))
        return True

    def accept(self, ballot: Ballot, entries: Sequence[Entry]) -> bool:
        """Accept a batch and write it; whether it was accepted."""
        had = (self.acceptor.accepted_at, self.acceptor.accepted)
        if not self.acceptor.accept(ballot, entries):
            return False
        if had != (ballot, self.acceptor.accepted):
            self.outbox.write(BatchAccepted(ballot, self.acceptor.accepted))
        return True

    # --- runs ---

    def record_run(self, run: Run) -> Run | None:
        """Record a run and return None, or return the run that shows that its disk was rolled back."""
        known = self.recovery.conflicting_run(run)
        if known is None and self.recovery.record_run(run, self.voters):
            self.outbox.write(RunRecorded(run))
        return known

    def adopt_acknowledged(self) -> None:
        """Adopt what other voters acknowledged, and write it."""
        if self.recovery.adopt_acknowledged(self.acceptor, self.learner):
            acceptor = self.acceptor
            self.outbox.write(StateAdopted(acceptor.promised, acceptor.accepted_at, acceptor.accepted))

    # --- what is decided ---

    def apply_decided(self, entries: Sequence[Entry]) -> bool:
        """Take decided entries; whether any was new. A gap is ignored."""
        new = self.learner.unapplied(entries)
        if not new:
            return False
        for entry in new:
            for action in self.learner.apply(entry):
                self.outbox.emit(action)
            self._count(entry)
        self.acceptor.discard_decided(new[-1])
        for begin in range(0, len(new), MAX_BATCH_ENTRIES):
            self.outbox.write(EntriesDecided(new[begin : begin + MAX_BATCH_ENTRIES]))
        self.adopt_acknowledged()
        self._compact()
        return True

    def restore(self, snapshot: Snapshot) -> bool:
        """Take a snapshot; whether it was of any use."""
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

    def _count(self, entry: Entry) -> None:
        self.entries_since_base += 1
        self.bytes_since_base += len(entry.body)

    def _compact(self) -> None:
        many = self.entries_since_base > self.settings.max_tail_entries
        if many or self.bytes_since_base > self.settings.max_tail_bytes:
            self.write_base()

    def write_base(self) -> None:
        """Write the whole state, in place of all records so far."""
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
