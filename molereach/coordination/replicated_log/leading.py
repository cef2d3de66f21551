"""How a seat comes to lead, leads, and stops: the polls, rounds and batches of one front door.

A leader that hears no majority for an election time-out steps down (Ongaro 2014, section 6.2). One whose
log moves by anything but its own decisions while it leads was replaced, and steps down as well.
"""

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import LeaderChanged, LeadershipConfirmed
from molereach.coordination.replicated_log.acceptor import in_order
from molereach.coordination.replicated_log.election import Election
from molereach.coordination.replicated_log.leader import Leadership, Phase, Queue
from molereach.coordination.replicated_log.ledger import Ledger
from molereach.coordination.replicated_log.panel import seat_of
from molereach.coordination.replicated_log.words import (
    Accept,
    Accepted,
    Ask,
    Ballot,
    Beat,
    Follow,
    Leader,
    Outbid,
    Panel,
    Poll,
    Polled,
    Prepare,
    Promise,
    Voter,
)


class Leading:
    """The part of one who leads or would."""

    def __init__(self, me: NodeInstance, ledger: Ledger, election: Election, queue: Queue) -> None:
        self.me, self.ledger, self.election, self.queue = me, ledger, election, queue
        self.outbox, self.settings = ledger.outbox, ledger.settings
        self.leadership: Leadership | None = None
        self.beat_due_us = 0
        self.leader: Ballot | None = None  # of the leader that is known here
        self.mine = False  # that is this front door, and it leads

    # --- who leads ---

    def follow(self, ballot: Ballot | None) -> None:
        """Another leads, or nobody that is known."""
        if self.mine or ballot != self.leader:
            known = ballot or self.leader
            self.leader, self.mine = ballot, False
            self.outbox.act(
                LeaderChanged(ballot.name if ballot else None, known.number if known else 0, False)
            )

    def announce(self) -> None:
        lead = self.leadership
        if lead and lead.leads and not (self.mine and self.leader == lead.ballot):
            self.leader, self.mine = lead.ballot, True
            self.outbox.act(LeaderChanged(self.me.name, lead.ballot.number, True))

    def step_down(self, now_us: int) -> None:
        """Lead no more; what is proposed may still be decided, by whoever leads next."""
        if self.leadership is None:
            return
        self.leadership = None
        self.queue.asks.clear()
        self.election.listen(now_us)
        if self.mine:
            self.follow(None)

    def moved(self, now_us: int) -> None:
        """The log may have moved by what others said, or a higher ballot may have been promised here."""
        lead = self.leadership
        if lead is None:
            return
        if self.ledger.acceptor.promised > lead.ballot or self.ledger.recovery.seat not in self.ledger.panel:
            self.step_down(now_us)
        elif self.ledger.position != lead.after:
            if lead.phase is Phase.LEADING:
                self.step_down(now_us)
            else:
                self.prepare(now_us, lead)

    # --- time ---

    @property
    def wake_us(self) -> int:
        lead = self.leadership
        return min(self.beat_due_us, self.election.due_us) if lead else self.election.due_us

    def tick(self, now_us: int) -> None:
        lead = self.leadership
        if lead and lead.elected:
            if not lead.followed(self.ledger.panel, now_us, self.settings.election_most_us):
                self.step_down(now_us)
            elif now_us >= self.beat_due_us:
                self.beat(now_us, lead)
            elif now_us >= self.election.due_us:
                self.election.listen(now_us)
            return
        if now_us >= self.election.due_us:
            self.leadership = None
            self.poll(now_us)
        elif lead and now_us >= self.beat_due_us:
            self.repeat(now_us, lead)

    def poll(self, now_us: int) -> None:
        self.follow(None)
        if not self.ledger.may_vote:
            self.election.listen(now_us)
            return
        self.election.seen(self.ledger.acceptor.promised)
        ballot = self.election.poll(now_us, self.me.name, self.me.number)
        for seat in self.ledger.panel:
            self.outbox.say(seat.name, Poll(ballot, self.ledger.position))

    # --- promises ---

    def on_polled(self, now_us: int, sender: NodeInstance, word: Polled) -> None:
        seat = seat_of(self.ledger.panel, word.disk)
        if seat and seat.name == sender.name and self.election.polled(word, self.ledger.panel):
            self.leadership = Leadership(word.ballot, self.ledger.position, now_us)
            self.election.listen(now_us)
            self.repeat(now_us, self.leadership)

    def prepare(self, now_us: int, lead: Leadership) -> None:
        """Ask for promises anew, about what follows now."""
        lead.prepare(self.ledger.position, now_us)
        self.repeat(now_us, lead)

    def repeat(self, now_us: int, lead: Leadership) -> None:
        """Say again what was not answered."""
        self.beat_due_us = now_us + self.settings.beat_us
        answered = lead.promises if lead.phase is Phase.PREPARING else lead.votes
        for seat in self.ledger.panel:
            if seat.disk in answered:
                continue
            if lead.phase is Phase.PREPARING:
                self.outbox.say(seat.name, Prepare(lead.ballot, lead.after))
            elif lead.batch:
                self.outbox.say(seat.name, Accept(lead.ballot, lead.batch))

    def _heard(self, now_us: int, sender: NodeInstance, ballot: Ballot, voter: Voter) -> Leadership | None:
        """The leadership that a vote is for, if it is one of this panel's."""
        lead, seat = self.leadership, seat_of(self.ledger.panel, voter.run.disk)
        if lead is None or lead.ballot != ballot or seat is None:
            return None
        if seat.name != sender.name or voter.run.life != sender.number:
            return None
        lead.heard[seat.disk] = now_us
        return lead

    def on_promise(self, now_us: int, sender: NodeInstance, word: Promise) -> None:
        lead = self._heard(now_us, sender, word.ballot, word.voter)
        if lead is None or not in_order(word.accepted, word.after):
            return
        if lead.promised(word.voter.run.disk, word, self.ledger.panel):
            self.beat(now_us, lead)

    def on_outbid(self, now_us: int, word: Outbid) -> None:
        self.election.seen(word.promised)
        lead = self.leadership
        if lead and lead.ballot == word.ballot and word.promised.number >= lead.ballot.number:
            self.step_down(now_us)

    # --- batches ---

    def step(self, now_us: int) -> None:
        """Propose the next batch, if its time has come."""
        lead = self.leadership
        if lead is None or not lead.leads or lead.batch:
            return
        if batch := self.queue.batch(now_us, self.ledger.learner):
            lead.propose(batch)
            for seat in self.ledger.panel:
                self.outbox.say(seat.name, Accept(lead.ballot, batch))

    def on_accepted(self, now_us: int, sender: NodeInstance, word: Accepted) -> None:
        lead = self._heard(now_us, sender, word.ballot, word.voter)
        if lead is None:
            return
        panel = self.ledger.panel
        batch = lead.accepted(word.voter.run.disk, word.last, word.voter, panel)
        if not batch:
            return
        self.ledger.learn(batch)
        lead.after = self.ledger.position
        if self.ledger.panel == panel:
            self.beat(now_us, lead)
        else:
            self.change(now_us, lead, panel)

    def change(self, now_us: int, lead: Leadership, before: Panel) -> None:
        """The panel changed: both are told, and the new one is asked to promise, if this seat is in it."""
        for seat in before:
            if seat not in self.ledger.panel:
                self.outbox.say(seat.name, Beat(lead.ballot, self.ledger.position, lead.rounds.round))
        self.beat(now_us, lead)
        if self.ledger.recovery.seat in self.ledger.panel:
            self.prepare(now_us, lead)
        else:
            self.step_down(now_us)

    # --- rounds ---

    def beat(self, now_us: int, lead: Leadership) -> None:
        number = lead.rounds.begin()
        for seat in self.ledger.panel:
            self.outbox.say(seat.name, Beat(lead.ballot, self.ledger.position, number))
        self.repeat(now_us, lead)

    def on_follow(self, now_us: int, sender: NodeInstance, word: Follow) -> None:
        lead = self._heard(now_us, sender, word.ballot, word.voter)
        if lead is None:
            return
        lead.rounds.follow(word.voter.run.disk, word)
        if not lead.leads:
            return
        tokens = lead.rounds.confirmed(self.ledger.panel)
        for token in tokens:
            self.outbox.act(LeadershipConfirmed(token, lead.ballot.number))
        if tokens and lead.rounds.waiting:
            self.beat(now_us, lead)

    def confirm(self, now_us: int, token: int) -> None:
        lead = self.leadership
        if lead and lead.leads and lead.rounds.ask(token):
            self.beat(now_us, lead)

    # --- proposals ---

    def on_ask(self, sender: str, ask: Ask) -> None:
        if self.leadership and self.leadership.elected:
            self.queue.add(ask, self.ledger.learner)
        elif self.leader:
            self.outbox.say(sender, Leader(self.leader))
            if sender == ask.proposer.name:  # it may not reach the leader itself; passed on once
                self.outbox.say(self.leader.name, ask)

    def on_leader(self, word: Leader) -> bool:
        """Take word of who leads; whether it is new."""
        newer = self.leader is None or word.ballot.number > self.leader.number
        if self.leadership or word.ballot.name == self.me.name or not newer:
            return False
        self.follow(word.ballot)
        return True
