"""What one front door has of the log, and its disk: each change of it is written before it is told.

It joins what is decided (`Learner`), what was promised and accepted (`Acceptor`) and whose runs are known
(`Recovery`), so that none changes without the record of it.
"""

from collections.abc import Sequence

from molereach.coordination.interface.log import Applied, Entry, Restored
from molereach.coordination.replicated_log.acceptor import Acceptor
from molereach.coordination.replicated_log.learner import Learner
from molereach.coordination.replicated_log.outbox import Outbox
from molereach.coordination.replicated_log.records import (
    Base,
    Decided,
    Promised,
    Raised,
    Recovered,
    Snapshot,
    Started,
    Voted,
    Wrote,
)
from molereach.coordination.replicated_log.recovery import Recovery
from molereach.coordination.replicated_log.settings import MOST_BATCH, Settings
from molereach.coordination.replicated_log.words import Ballot, Panel, Run, Voter


class Ledger:
    """State and disk of one front door."""

    def __init__(
        self, settings: Settings, outbox: Outbox, learner: Learner, recovery: Recovery, recovered: Recovered
    ) -> None:
        self.settings, self.outbox = settings, outbox
        self.learner, self.recovery = learner, recovery
        self.acceptor: Acceptor = recovered.acceptor
        self.entries_since_base, self.bytes_since_base = 0, 0
        self._replay(recovered)
        outbox.write(Started(recovery.run))

    def _replay(self, recovered: Recovered) -> None:
        if recovered.snapshot:
            for failure in self.learner.restore(recovered.snapshot):
                self.outbox.act(failure)
        for entry in recovered.entries:
            for action in self.learner.apply(entry):
                if not isinstance(action, Applied):
                    self.outbox.act(action)
            self._count(entry)
        if self.position:
            self.outbox.act(Restored(self.position))

    @property
    def position(self) -> int:
        return self.learner.position

    @property
    def panel(self) -> Panel:
        return self.learner.panel

    @property
    def may_vote(self) -> bool:
        return self.outbox.able and self.recovery.may_vote(self.panel, self.position)

    def voter(self) -> Voter:
        return self.recovery.voter(self.panel)

    # --- votes: the caller has asked `may_vote` ---

    def promise(self, ballot: Ballot) -> bool:
        before = self.acceptor.promised
        if not self.acceptor.promise(ballot):
            return False
        if ballot != before:
            self.outbox.write(Promised(ballot))
        return True

    def accept(self, ballot: Ballot, entries: Sequence[Entry]) -> bool:
        had = (self.acceptor.accepted_at, self.acceptor.accepted)
        if not self.acceptor.accept(ballot, entries):
            return False
        if had != (ballot, self.acceptor.accepted):
            self.outbox.write(Voted(ballot, self.acceptor.accepted))
        return True

    # --- runs ---

    def note(self, run: Run) -> Run | None:
        """Write a run down, or what shows that its disk was set back."""
        known = self.recovery.note(run)
        if known is None and self.recovery.write(run, self.panel):
            self.outbox.write(Wrote(run))
        return known

    def raise_to_others(self) -> None:
        if self.recovery.raise_to(self.acceptor, self.learner):
            acceptor = self.acceptor
            self.outbox.write(Raised(acceptor.promised, acceptor.accepted_at, acceptor.accepted))

    # --- what is decided ---

    def learn(self, entries: Sequence[Entry]) -> bool:
        """Take decided entries; whether any was new. A gap is passed over."""
        new = self.learner.new(entries)
        if not new:
            return False
        for entry in new:
            for action in self.learner.apply(entry):
                self.outbox.act(action)
            self._count(entry)
        self.acceptor.decided(new[-1])
        for begin in range(0, len(new), MOST_BATCH):
            self.outbox.write(Decided(new[begin : begin + MOST_BATCH]))
        self.raise_to_others()
        self._compact()
        return True

    def restore(self, snapshot: Snapshot) -> bool:
        """Take a snapshot; whether it was of any use."""
        if snapshot.position <= self.position or snapshot.last is None:
            return False
        for failure in self.learner.restore(snapshot):
            self.outbox.act(failure)
        self.acceptor.decided(snapshot.last)
        self.recovery.raise_to(self.acceptor, self.learner)
        self.rebase()
        self.outbox.act(Restored(self.position))
        return True

    # --- the base ---

    def _count(self, entry: Entry) -> None:
        self.entries_since_base += 1
        self.bytes_since_base += len(entry.body)

    def _compact(self) -> None:
        many = self.entries_since_base > self.settings.most_tail
        if many or self.bytes_since_base > self.settings.most_tail_bytes:
            self.rebase()

    def rebase(self) -> None:
        acceptor, recovery = self.acceptor, self.recovery
        self.entries_since_base, self.bytes_since_base = 0, 0
        self.outbox.rebase(
            Base(
                recovery.run.disk,
                recovery.run.starts,
                tuple(recovery.runs.values()),
                acceptor.promised,
                acceptor.accepted_at,
                acceptor.accepted,
                self.learner.snapshot(),
            )
        )
