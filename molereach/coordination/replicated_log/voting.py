"""How a seat answers those who would lead, and the leader.

Each word about what follows a position is judged only by a seat that has decided just as much: one that has
more tells it, one that has less asks. A ballot is believed only from its own run.
"""

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.replicated_log.acceptor import in_order
from molereach.coordination.replicated_log.catchup import CatchingUp
from molereach.coordination.replicated_log.election import Election
from molereach.coordination.replicated_log.ledger import Ledger
from molereach.coordination.replicated_log.words import (
    Accept,
    Accepted,
    Ballot,
    Beat,
    Follow,
    Outbid,
    Poll,
    Polled,
    Prepare,
    Promise,
)


def own(ballot: Ballot, sender: NodeInstance) -> bool:
    return ballot.name == sender.name and ballot.life == sender.number


class Voting:
    """The seat's part."""

    def __init__(self, ledger: Ledger, election: Election, catching_up: CatchingUp) -> None:
        self.ledger, self.election, self.catching_up = ledger, election, catching_up
        self.outbox = ledger.outbox

    def level(self, sender: NodeInstance, after: int) -> bool:
        """Whether both have the same decided entries; if not, who lacks some gets or asks for them."""
        if after < self.ledger.position:
            self.catching_up.tell(sender.name, after)
        elif after > self.ledger.position:
            self.catching_up.want(sender.name)
        return after == self.ledger.position

    def on_poll(self, now_us: int, sender: NodeInstance, word: Poll) -> None:
        self.election.seen(word.ballot)
        self.level(sender, word.after)
        if not self.ledger.may_vote:
            return
        promised = self.ledger.acceptor.promised
        granted = self.election.grant(now_us, word.ballot, promised)
        disk = self.ledger.recovery.run.disk
        self.outbox.say(sender.name, Polled(word.ballot, disk, granted, promised), sender.number)

    def on_prepare(self, now_us: int, sender: NodeInstance, word: Prepare) -> None:
        self.election.seen(word.ballot)
        if not own(word.ballot, sender) or not self.level(sender, word.after) or not self.ledger.may_vote:
            return
        if not self.ledger.promise(word.ballot):
            self.outbid(sender, word.ballot)
            return
        self.election.listen(now_us)
        acceptor = self.ledger.acceptor
        self.outbox.vote(
            sender.name,
            Promise(
                word.ballot,
                word.after,
                self.ledger.voter(),
                acceptor.accepted_at,
                acceptor.accepted,
            ),
            sender.number,
        )

    def on_accept(self, now_us: int, sender: NodeInstance, word: Accept) -> None:
        after = word.entries[0].position - 1
        if not own(word.ballot, sender) or not in_order(word.entries, after):
            return
        if not self.level(sender, after) or not self.ledger.may_vote:
            return
        if not self.ledger.accept(word.ballot, word.entries):
            self.outbid(sender, word.ballot)
            return
        self.election.hear(now_us)
        last = word.entries[-1].position
        self.outbox.vote(sender.name, Accepted(word.ballot, last, self.ledger.voter()), sender.number)

    def on_beat(self, now_us: int, sender: NodeInstance, word: Beat) -> bool:
        """Whether it is from a leader that may still lead."""
        acceptor = self.ledger.acceptor
        self.election.seen(word.ballot)
        if not own(word.ballot, sender):
            return False
        if word.ballot < acceptor.promised:
            self.outbid(sender, word.ballot)
            return False
        self.election.hear(now_us)
        if word.ballot == acceptor.accepted_at:  # one value for a ballot at a position
            self.ledger.learn([entry for entry in acceptor.accepted if entry.position <= word.decided])
        if word.decided > self.ledger.position:
            self.catching_up.want(sender.name)
        if self.ledger.may_vote:
            follow = Follow(word.ballot, word.round, self.ledger.voter())
            self.outbox.say(sender.name, follow, sender.number)
        return True

    def outbid(self, sender: NodeInstance, ballot: Ballot) -> None:
        self.outbox.say(sender.name, Outbid(ballot, self.ledger.acceptor.promised), sender.number)
