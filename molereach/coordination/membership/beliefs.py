"""What one front door believes of all, itself with them: rumours in, changes out.

Source: SWIM, sections 4.2 (suspicion, incarnations) and Lifeguard, section IV (confirmations, refutation as a
sign against oneself). A death that comes with a whole list is taken as a suspicion only: after a cut both
sides hold the other's members for dead, and whoever lives must have the time to say so.
"""

import msgspec

from molereach.coordination.interface.core import NEVER_US
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.membership.doubt import Doubt
from molereach.coordination.membership.events import Changed, Displaced, Doubts
from molereach.coordination.membership.gossip import Gossip
from molereach.coordination.membership.settings import MembershipSettings
from molereach.coordination.membership.suspicion import Suspicion
from molereach.coordination.membership.table import Table
from molereach.coordination.membership.words import MOST_INCARNATION, Rumour, Status

News = Changed | Displaced | Doubts


class Beliefs:
    """The table, the suspicions that run, the rumours on their way, and the own incarnation."""

    __slots__ = ("doubt", "gossip", "incarnation", "left", "me", "settings", "suspicions", "table")

    def __init__(self, me: NodeInstance, settings: MembershipSettings, doubt: Doubt) -> None:
        self.me, self.settings, self.doubt = me, settings, doubt
        self.table, self.gossip = Table(), Gossip()
        self.suspicions: dict[str, Suspicion] = {}
        self.incarnation, self.left = 0, False

    @property
    def members(self) -> int:
        """All that are held to live, oneself with them."""
        return self.table.living + 1

    def own(self) -> Rumour:
        """The word on oneself, which goes with each message."""
        status = Status.LEFT if self.left else Status.ALIVE
        return Rumour(self.me.name, self.me.number, self.incarnation, status)

    def words_for(self, name: str) -> tuple[Rumour, ...]:
        """What a message to that one says first: who speaks, and what is believed of who hears (the buddy
        system), so that it can refute it, or end where that is a later run."""
        member = self.table.members.get(name)
        return (self.own(), member.rumour) if member else (self.own(),)

    def everything(self) -> list[Rumour]:
        return [self.own(), *(member.rumour for member in self.table.members.values())]

    # --- what is heard ---

    def hear(self, now: int, rumour: Rumour) -> list[News]:
        if rumour.name == self.me.name:
            return self._of_me(rumour)
        if not self.table.wins(rumour):
            self._confirm(rumour)
            return []
        changes = self.table.put(now, rumour)
        self.gossip.spread(rumour)
        self.suspicions.pop(rumour.name, None)
        if rumour.status is Status.SUSPECT:
            self.suspicions[rumour.name] = Suspicion(now, rumour.accuser or "", self.members, self.settings)
        return [*changes]

    def hear_listed(self, now: int, rumour: Rumour, teller: str) -> list[News]:
        """A rumour out of a whole list, which may be old."""
        known = self.table.status(rumour.name)
        if rumour.status is Status.DEAD and known is not None and known.living:
            rumour = msgspec.structs.replace(rumour, status=Status.SUSPECT, accuser=teller)
        return self.hear(now, rumour)

    def meet(self, now: int, sender: NodeInstance) -> list[News]:
        """Somebody speaks who is not known, or a later run of somebody who is."""
        member = self.table.members.get(sender.name)
        if member and member.rumour.number >= sender.number:
            return []
        return self.hear(now, Rumour(sender.name, sender.number, 0, Status.ALIVE))

    def newer(self, sender: NodeInstance) -> bool:
        """Whether a later run than the one that speaks is known; that one must hear of it and end."""
        if sender.name == self.me.name:
            return sender.number < self.me.number
        member = self.table.members.get(sender.name)
        return member is not None and member.rumour.number > sender.number

    def _confirm(self, rumour: Rumour) -> None:
        """One more accuser of one that is suspected here under the same incarnation."""
        suspicion = self.suspicions.get(rumour.name)
        if suspicion is None or rumour.status is not Status.SUSPECT or rumour.accuser is None:
            return
        at = self.table.members[rumour.name].rumour
        same = (at.number, at.incarnation) == (rumour.number, rumour.incarnation)
        if same and suspicion.confirm(rumour.accuser):
            self.gossip.spread(rumour)

    def _of_me(self, rumour: Rumour) -> list[News]:
        if rumour.number != self.me.number:
            return [Displaced(rumour.life)] if rumour.number > self.me.number else []
        mine = self.own()
        if (rumour.incarnation, rumour.status) <= (mine.incarnation, mine.status):
            return []
        self.incarnation = min(MOST_INCARNATION, rumour.incarnation + 1)  # told with each message from now on
        return [Doubts(self.doubt.level)] if self.doubt.change(1) else []

    # --- what is concluded ---

    def accuse(self, now: int, life: NodeInstance) -> list[News]:
        """That run did not answer, neither to this front door nor to those that it asked."""
        member = self.table.members.get(life.name)
        if member is None or member.life != life or not member.status.living:
            return []
        accused = msgspec.structs.replace(member.rumour, status=Status.SUSPECT, accuser=self.me.name)
        return self.hear(now, accused)

    def expire(self, now: int) -> list[News]:
        """Those whose suspicion has run out are dead."""
        out = list[News]()
        for name in [name for name, suspicion in self.suspicions.items() if suspicion.dead_us <= now]:
            suspect = self.table.members[name].rumour
            out += self.hear(now, msgspec.structs.replace(suspect, status=Status.DEAD, accuser=self.me.name))
        return out

    def extend(self, late: int, until: int) -> None:
        for suspicion in self.suspicions.values():
            suspicion.extend(late, until)

    def leave(self) -> Rumour:
        self.incarnation, self.left = min(MOST_INCARNATION, self.incarnation + 1), True
        return self.own()

    @property
    def wake_us(self) -> int:
        return min((suspicion.dead_us for suspicion in self.suspicions.values()), default=NEVER_US)
