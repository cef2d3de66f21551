"""What is believed of each front door, and which rumour wins.

Source: SWIM, section 4.2, with two changes: a life's number goes before its incarnation, and a dead life is
alive again when it says so itself with a higher incarnation. So the order is one of triples, and members that
have heard the same rumours believe the same, in whatever order these came:

    number        a higher life of a name replaces the lower one; words on the lower one are void
    incarnation   raised by the life itself alone, to refute what is said of it
    status        ALIVE < SUSPECT < DEAD < LEFT

Who is dead or has left is forgotten after a time. Of a name that is not known, a death is no news, or two
members would remind each other of it for ever.
"""

from dataclasses import dataclass

from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance
from molereach.coordination.membership.events import Changed
from molereach.coordination.membership.words import Rumour, Status


@dataclass(slots=True)
class Member:
    """The rumour that stands, and since when."""

    rumour: Rumour
    since_us: int

    @property
    def status(self) -> Status:
        return self.rumour.status

    @property
    def life(self) -> NodeInstance:
        return self.rumour.life


def rank(rumour: Rumour) -> tuple[int, int, int]:
    return rumour.number, rumour.incarnation, rumour.status


class Table:
    """All that are known beside oneself: at most MAX_MEMBERS - 1."""

    __slots__ = ("living", "members")

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.living = 0  # of the members, those that are alive or suspect

    def status(self, name: str) -> Status | None:
        member = self.members.get(name)
        return member.status if member else None

    def living_names(self) -> list[str]:
        return [name for name, member in self.members.items() if member.status.living]

    def dead_names(self) -> list[str]:
        return [name for name, member in self.members.items() if member.status is Status.DEAD]

    def wins(self, rumour: Rumour) -> bool:
        member = self.members.get(rumour.name)
        if member is None:
            return rumour.status.living and (len(self.members) < MAX_MEMBERS - 1 or self._oldest_gone() != "")
        return rank(rumour) > rank(member.rumour)

    def put(self, now: int, rumour: Rumour) -> list[Changed]:
        """Believe a rumour that wins; what is new by it."""
        before = self.members.get(rumour.name)
        if before is None and len(self.members) >= MAX_MEMBERS - 1:
            del self.members[self._oldest_gone()]
        was = before.status if before else None
        self.living += rumour.status.living - bool(before and before.status.living)
        self.members[rumour.name] = Member(rumour, now)
        if before and before.life != rumour.life:  # the earlier run is over, whatever the later one does
            ended = [Changed(before.life, Status.DEAD, was)] if was is not None and was.living else []
            return [*ended, Changed(rumour.life, rumour.status, None)]
        return [Changed(rumour.life, rumour.status, was)] if was != rumour.status else []

    def _oldest_gone(self) -> str:
        """Who makes room for a new name; "" for nobody."""
        gone = [(member.since_us, name) for name, member in self.members.items() if not member.status.living]
        return min(gone)[1] if gone else ""

    def forget(self, before_us: int) -> None:
        """Drop who is gone since then or longer."""
        for name, member in list(self.members.items()):
            if not member.status.living and member.since_us <= before_us:
                del self.members[name]
