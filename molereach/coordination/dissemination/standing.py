"""Who lives and who leads, as far as is known here. A ballot never goes back, whoever tells of it."""

from molereach.coordination.dissemination.ranks import Ranks
from molereach.coordination.dissemination.words import View
from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance


class Standing:
    """`leads` follows from this front door's own log alone: what others say can only end it."""

    def __init__(self, me: NodeInstance, fan: int) -> None:
        self.me, self.fan = me, fan
        self.alive: dict[str, int] = {}
        self.panel: tuple[str, ...] = ()
        self.leader: str | None = None
        self.ballot = 0
        self.leads = False
        self.ranks = Ranks(me.name, fan=fan)

    def void(self, sender: NodeInstance) -> bool:
        """Whether these are the words of an earlier life, or of this front door's own name."""
        return sender.name == self.me.name or self.alive.get(sender.name, 0) > sender.number

    def view(self, view: View) -> None:
        self.alive = {life.name: life.number for life in view.alive[:MAX_MEMBERS]}
        self.panel = view.panel[:MAX_MEMBERS]
        ballot, leader, leads = self.ballot, self.leader, self.leads
        # The log may not know yet whom others have heard of; but a leader that stepped down is one no more.
        if view.ballot > ballot or (view.ballot == ballot and (leads or view.leader is not None)):
            ballot, leader, leads = view.ballot, view.leader, view.leader == self.me.name
        self.set(ballot, leader, leads)

    def told(self, ballot: int, leader: str) -> bool:
        """Another knows of this leader; whether that is newer than what was known here."""
        if leader == self.me.name or ballot < self.ballot:
            return False
        if ballot == self.ballot and (self.leads or self.leader is not None):
            return False
        self.set(ballot, leader, False)
        return True

    def set(self, ballot: int, leader: str | None, leads: bool) -> None:
        self.ballot, self.leader, self.leads = ballot, leader, leads
        self.ranks = Ranks(self.me.name, self.alive, leader, self.fan)
