"""The last rumour of each member, and which rumour wins.

Source: SWIM, section 4.2, with two changes: the number of an instance precedes its incarnation, and a dead
instance is alive again when it says so itself with a higher incarnation. So rumours are ordered by triples,
and members that have received the same rumours agree, in whatever order these came:

    instance number   a newer instance of a name replaces the older one; rumours of the older one are void
    incarnation       raised by the instance itself alone, to refute what is said of it
    status            ALIVE < SUSPECT < DEAD < LEFT

A member that is dead or has left is forgotten after a time. A death of an unknown name is ignored, or two
members would remind each other of it for ever.
"""

from dataclasses import dataclass
from typing import NamedTuple

from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance
from molereach.coordination.membership.events import MemberStatusChanged
from molereach.coordination.membership.messages import MemberStatus, Rumour


@dataclass(slots=True)
class Member:
    """The rumour that holds for a name, and since when."""

    rumour: Rumour
    since_us: int

    @property
    def status(self) -> MemberStatus:
        """The status that the rumour gives."""
        return self.rumour.status

    @property
    def instance(self) -> NodeInstance:
        """The instance that the rumour is of."""
        return self.rumour.instance


class Precedence(NamedTuple):
    """The order of rumours of one name; the highest wins."""

    instance_number: int
    incarnation: int
    status: MemberStatus


def precedence(rumour: Rumour) -> Precedence:
    """Where a rumour stands in the order."""
    return Precedence(rumour.instance_number, rumour.incarnation, rumour.status)


class MemberTable:
    """All known members but this proxy itself: at most MAX_MEMBERS - 1."""

    __slots__ = ("live_count", "members")

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.live_count = 0  # of the members, those that are alive or suspect

    def status(self, name: str) -> MemberStatus | None:
        """The status of a name; None if it is not known."""
        member = self.members.get(name)
        return member.status if member else None

    def live_names(self) -> list[str]:
        """Names of members that are alive or suspect."""
        return [name for name, member in self.members.items() if member.status.is_live]

    def dead_names(self) -> list[str]:
        """Names of members that are dead, without those that have left."""
        return [name for name, member in self.members.items() if member.status is MemberStatus.DEAD]

    def wins(self, rumour: Rumour) -> bool:
        """Whether a rumour replaces what is known of its name."""
        member = self.members.get(rumour.name)
        if member is None:
            return rumour.status.is_live and self._has_capacity()
        return precedence(rumour) > precedence(member.rumour)

    def _has_capacity(self) -> bool:
        return len(self.members) < MAX_MEMBERS - 1 or self._oldest_removable() != ""

    def apply(self, now_us: int, rumour: Rumour) -> list[MemberStatusChanged]:
        """Store a rumour that wins; the changes of status that it makes."""
        before = self.members.get(rumour.name)
        if before is None and len(self.members) >= MAX_MEMBERS - 1:
            del self.members[self._oldest_removable()]
        previous = before.status if before else None
        self.live_count += rumour.status.is_live - bool(before and before.status.is_live)
        self.members[rumour.name] = Member(rumour, now_us)
        if before and before.instance != rumour.instance:
            return _replacement_changes(before, rumour)
        return (
            [MemberStatusChanged(rumour.instance, rumour.status, previous)]
            if previous != rumour.status
            else []
        )

    def _oldest_removable(self) -> str:
        """The name that is forgotten for a new one; "" if all members are live."""
        removable = [
            (member.since_us, name) for name, member in self.members.items() if not member.status.is_live
        ]
        return min(removable)[1] if removable else ""

    def forget(self, before_us: int) -> None:
        """Remove members that have been dead or gone since `before_us` or longer."""
        for name, member in list(self.members.items()):
            if not member.status.is_live and member.since_us <= before_us:
                del self.members[name]


def _replacement_changes(before: Member, rumour: Rumour) -> list[MemberStatusChanged]:
    """The changes when a newer instance replaces an older one, which is over whatever the newer one does."""
    arrived = MemberStatusChanged(rumour.instance, rumour.status, None)
    if not before.status.is_live:
        return [arrived]
    return [MemberStatusChanged(before.instance, MemberStatus.DEAD, before.status), arrived]
