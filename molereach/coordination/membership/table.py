"""The current rumour about each member, and the precedence of rumours.

Source: SWIM, section 4.2, with two changes: the instance number is compared before the incarnation, and a
dead instance becomes alive again when it refutes its death with a higher incarnation. Rumours are ordered by
these fields, so members that have received the same rumours agree, whatever the order of arrival:

    instance number   a newer instance replaces an older one, and rumours about the older one are ignored
    incarnation       raised only by the instance itself, to refute a suspicion or death
    status            ALIVE < SUSPECT < DEAD < LEFT

Members that are dead or have left are removed after a while. A rumour that an unknown member is dead is
ignored; otherwise two members would keep restoring the entry to each other's table for ever.
"""

from dataclasses import dataclass
from typing import NamedTuple

from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance
from molereach.coordination.membership.events import MemberStatusChanged
from molereach.coordination.membership.messages import MemberStatus, Rumour


@dataclass(slots=True)
class Member:
    """The current rumour about a name, and the time it was applied."""

    rumour: Rumour
    since_us: int

    @property
    def status(self) -> MemberStatus:
        """The status reported by the rumour."""
        return self.rumour.status

    @property
    def instance(self) -> NodeInstance:
        """The instance that the rumour is about."""
        return self.rumour.instance


class Precedence(NamedTuple):
    """The sort key of rumours about one name; the highest takes precedence."""

    instance_number: int
    incarnation: int
    status: MemberStatus


def precedence(rumour: Rumour) -> Precedence:
    """The precedence of a rumour."""
    return Precedence(rumour.instance_number, rumour.incarnation, rumour.status)


class MemberTable:
    """All known members except this proxy: at most MAX_MEMBERS - 1."""

    __slots__ = ("live_count", "members")

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.live_count = 0  # members that are alive or suspect

    def status(self, name: str) -> MemberStatus | None:
        """The status of a member; None if it is unknown."""
        member = self.members.get(name)
        return member.status if member else None

    def live_names(self) -> list[str]:
        """The names of the members that are alive or suspect."""
        return [name for name, member in self.members.items() if member.status.is_live]

    def dead_names(self) -> list[str]:
        """The names of the dead members, without those that left gracefully."""
        return [name for name, member in self.members.items() if member.status is MemberStatus.DEAD]

    def wins(self, rumour: Rumour) -> bool:
        """Whether a rumour takes precedence; for an unknown name, whether it is live and there is room."""
        member = self.members.get(rumour.name)
        if member is None:
            return rumour.status.is_live and self._has_capacity()
        return precedence(rumour) > precedence(member.rumour)

    def _has_capacity(self) -> bool:
        return len(self.members) < MAX_MEMBERS - 1 or self._oldest_removable() != ""

    def apply(self, now_us: int, rumour: Rumour) -> list[MemberStatusChanged]:
        """Store a rumour that takes precedence; returns the resulting status changes."""
        existing = self.members.get(rumour.name)
        if existing is None and len(self.members) >= MAX_MEMBERS - 1:
            del self.members[self._oldest_removable()]
        previous_status = existing.status if existing else None
        self.live_count += rumour.status.is_live - bool(existing and existing.status.is_live)
        self.members[rumour.name] = Member(rumour, now_us)
        if existing and existing.instance != rumour.instance:
            return _replacement_changes(existing, rumour)
        return (
            [MemberStatusChanged(rumour.instance, rumour.status, previous_status)]
            if previous_status != rumour.status
            else []
        )

    def _oldest_removable(self) -> str:
        """The member to evict for a new one: the longest dead or gone; "" if all are live."""
        removable = [
            (member.since_us, name) for name, member in self.members.items() if not member.status.is_live
        ]
        return min(removable)[1] if removable else ""

    def remove_expired(self, cutoff_us: int) -> None:
        """Remove members that died or left at or before `cutoff_us`."""
        for name, member in list(self.members.items()):
            if not member.status.is_live and member.since_us <= cutoff_us:
                del self.members[name]


def _replacement_changes(replaced: Member, rumour: Rumour) -> list[MemberStatusChanged]:
    """The status changes when a newer instance replaces an older one, reported dead if it was live."""
    addition = MemberStatusChanged(rumour.instance, rumour.status, None)
    if not replaced.status.is_live:
        return [addition]
    return [MemberStatusChanged(replaced.instance, MemberStatus.DEAD, replaced.status), addition]
