"""The words of a start: this disk's to the other seats until all have answered, and answers to theirs.

What is decided by them is in `recovery`.
"""

from dataclasses import dataclass

from molereach.coordination.interface.core import NEVER_US
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.replicated_log.catchup import CatchingUp
from molereach.coordination.replicated_log.election import Election
from molereach.coordination.replicated_log.ledger import Ledger
from molereach.coordination.replicated_log.words import Exists, Noted, Start

SLOWER = 8  # times `again_us` between words to seats whose answers are not needed any more


@dataclass(frozen=True, slots=True)
class SetBack:
    """Action: this disk holds an older state than it once did; it votes no more under its identity.

    The seat is to be replaced by one with a new disk identity, in a new folder."""

    starts: int  # of this run
    known: int  # that another front door has written down


class Starts:
    """Both sides of it at one front door."""

    def __init__(self, ledger: Ledger, election: Election, catching_up: CatchingUp) -> None:
        self.ledger, self.election, self.catching_up = ledger, election, catching_up
        self.outbox, self.recovery = ledger.outbox, ledger.recovery
        self.due_us = 0

    @property
    def wake_us(self) -> int:
        asks = self.outbox.able and self.recovery.lacking(self.ledger.panel)
        return self.due_us if asks else NEVER_US

    def tick(self, now_us: int, again_us: int) -> None:
        if now_us < self.due_us or not self.outbox.able:
            return
        lacking = self.recovery.lacking(self.ledger.panel)
        enough = self.recovery.may_vote(self.ledger.panel, self.ledger.position)
        self.due_us = now_us + again_us * (SLOWER if enough else 1)
        for seat in lacking:
            self.outbox.vote(seat.name, Start(self.recovery.run, self.ledger.position))
        self._catch_up()

    def _catch_up(self) -> None:
        """No vote before all is here that those who answered had."""
        for seat, answer in self.recovery.answers.items():
            if answer.after > self.ledger.position and seat in self.ledger.panel:
                self.catching_up.want(seat.name)
                return

    def on_start(self, sender: NodeInstance, word: Start) -> None:
        ours = word.run.disk == self.recovery.run.disk
        if ours or word.run.life != sender.number or self.recovery.set_back or not self.outbox.able:
            return
        if known := self.ledger.note(word.run):
            self.outbox.say(sender.name, Exists(word.run, known), sender.number)
            return
        acceptor = self.ledger.acceptor
        self.outbox.vote(
            sender.name,
            Noted(
                word.run,
                self.recovery.run,
                self.ledger.position,
                acceptor.promised,
                acceptor.accepted_at,
                acceptor.accepted,
            ),
            sender.number,
        )

    def on_noted(self, sender: NodeInstance, word: Noted) -> None:
        if self.recovery.answered(sender, word, self.ledger.panel):
            self.election.seen(word.promised)
            self.ledger.raise_to_others()
            self._catch_up()

    def on_exists(self, word: Exists) -> None:
        if self.recovery.refused(word):
            self.outbox.act(SetBack(self.recovery.run.starts, word.known.starts))
