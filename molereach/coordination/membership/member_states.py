"""The local view of all members, this proxy included: applies rumours and returns the state changes.

Source: SWIM, section 4.2 (suspicion, incarnations) and Lifeguard, section IV (confirmations, refutation as a
sign of poor local health). A death reported in a full list counts only as a suspicion: after a partition each
side has declared the other's members dead, and live members need time to refute it.
"""

import msgspec

from molereach.coordination.interface.core import NEVER_US
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.membership.events import LocalHealthChanged, MemberStatusChanged, Superseded
from molereach.coordination.membership.gossip import GossipQueue
from molereach.coordination.membership.local_health import LocalHealth
from molereach.coordination.membership.messages import MAX_INCARNATION, MemberStatus, Rumour
from molereach.coordination.membership.settings import MembershipSettings
from molereach.coordination.membership.suspicion import Suspicion
from molereach.coordination.membership.table import MemberTable

StateChange = MemberStatusChanged | Superseded | LocalHealthChanged


class MemberStates:
    """The member table, pending suspicions, queued rumours, and this proxy's own incarnation."""

    __slots__ = ("gossip", "incarnation", "left", "local", "local_health", "settings", "suspicions", "table")

    def __init__(self, local: NodeInstance, settings: MembershipSettings, local_health: LocalHealth) -> None:
        self.local = local
        self.settings = settings
        self.local_health = local_health
        self.table = MemberTable()
        self.gossip = GossipQueue()
        self.suspicions: dict[str, Suspicion] = {}
        self.incarnation = 0
        self.left = False

    @property
    def member_count(self) -> int:
        """The number of live members, this proxy included."""
        return self.table.live_count + 1

    def local_rumour(self) -> Rumour:
        """The rumour about this proxy itself, which its messages carry."""
        status = MemberStatus.LEFT if self.left else MemberStatus.ALIVE
        return Rumour(self.local.name, self.local.number, self.incarnation, status)

    def leading_rumours(self, name: str) -> tuple[Rumour, ...]:
        """The first rumours of a message to `name`: those about the sender and about the recipient.

        The recipient can then refute the rumour about it, or exit if that is about a newer instance
        (Lifeguard's buddy system, section IV.C).
        """
        member = self.table.members.get(name)
        return (self.local_rumour(), member.rumour) if member else (self.local_rumour(),)

    def all_rumours(self) -> list[Rumour]:
        """The current rumour about each member, this proxy first."""
        return [self.local_rumour(), *(member.rumour for member in self.table.members.values())]

    # --- received rumours ---

    def apply_rumour(self, now_us: int, rumour: Rumour) -> list[StateChange]:
        """Apply a gossiped rumour or a local conclusion; returns the resulting state changes."""
        if rumour.name == self.local.name:
            return self._apply_rumour_about_self(rumour)
        if not self.table.wins(rumour):
            self._confirm(rumour)
            return []
        changes = self.table.apply(now_us, rumour)
        self.gossip.enqueue(rumour)
        self.suspicions.pop(rumour.name, None)
        if rumour.status is MemberStatus.SUSPECT:
            accuser = rumour.accuser or ""
            self.suspicions[rumour.name] = Suspicion(now_us, accuser, self.member_count, self.settings)
        return [*changes]

    def apply_listed_rumour(self, now_us: int, rumour: Rumour, sender: str) -> list[StateChange]:
        """Apply a rumour from a full list, which may be outdated."""
        known = self.table.status(rumour.name)
        if rumour.status is MemberStatus.DEAD and known is not None and known.is_live:
            rumour = msgspec.structs.replace(rumour, status=MemberStatus.SUSPECT, accuser=sender)
        return self.apply_rumour(now_us, rumour)

    def observe_sender(self, now_us: int, sender: NodeInstance) -> list[StateChange]:
        """Record the sender of a message as alive if this instance of it is not known yet."""
        member = self.table.members.get(sender.name)
        if member and member.rumour.instance_number >= sender.number:
            return []
        return self.apply_rumour(now_us, Rumour(sender.name, sender.number, 0, MemberStatus.ALIVE))

    def knows_newer_instance(self, sender: NodeInstance) -> bool:
        """Whether a newer instance of the sender is known, in which case the sender must be told to exit."""
        if sender.name == self.local.name:
            return sender.number < self.local.number
        member = self.table.members.get(sender.name)
        return member is not None and member.rumour.instance_number > sender.number

    def _confirm(self, rumour: Rumour) -> None:
        """Count another accuser of a member whose same incarnation is already suspected here."""
        suspicion = self.suspicions.get(rumour.name)
        if suspicion is None or rumour.status is not MemberStatus.SUSPECT or rumour.accuser is None:
            return
        current = self.table.members[rumour.name].rumour
        same_instance = current.instance_number == rumour.instance_number
        if same_instance and current.incarnation == rumour.incarnation and suspicion.confirm(rumour.accuser):
            self.gossip.enqueue(rumour)

    def _apply_rumour_about_self(self, rumour: Rumour) -> list[StateChange]:
        if rumour.instance_number != self.local.number:
            superseded = rumour.instance_number > self.local.number
            return [Superseded(rumour.instance)] if superseded else []
        known = self.local_rumour()
        if (rumour.incarnation, rumour.status) <= (known.incarnation, known.status):
            return []
        # The next messages refute the rumour, as they carry the local one with the higher incarnation.
        self.incarnation = min(MAX_INCARNATION, rumour.incarnation + 1)
        return [LocalHealthChanged(self.local_health.score)] if self.local_health.adjust(1) else []

    # --- local conclusions ---

    def suspect(self, now_us: int, instance: NodeInstance) -> list[StateChange]:
        """Suspect an instance that answered neither a direct nor an indirect ping."""
        member = self.table.members.get(instance.name)
        if member is None or member.instance != instance or not member.status.is_live:
            return []
        accusation = msgspec.structs.replace(
            member.rumour, status=MemberStatus.SUSPECT, accuser=self.local.name
        )
        return self.apply_rumour(now_us, accusation)

    def expire_suspicions(self, now_us: int) -> list[StateChange]:
        """Declare suspects dead whose timeout has expired."""
        changes = list[StateChange]()
        expired = [name for name, suspicion in self.suspicions.items() if suspicion.deadline_us <= now_us]
        for name in expired:
            suspect = self.table.members[name].rumour
            death = msgspec.structs.replace(suspect, status=MemberStatus.DEAD, accuser=self.local.name)
            changes += self.apply_rumour(now_us, death)
        return changes

    def extend_suspicions(self, stalled_us: int, not_before_us: int) -> None:
        """Extend all suspicions after a stall of this process (see `Suspicion.extend`)."""
        for suspicion in self.suspicions.values():
            suspicion.extend(stalled_us, not_before_us)

    def leave(self) -> Rumour:
        """Mark this proxy as having left; returns its rumour, which takes precedence over earlier ones."""
        self.incarnation = min(MAX_INCARNATION, self.incarnation + 1)
        self.left = True
        return self.local_rumour()

    @property
    def wake_us(self) -> int:
        """When the next suspicion expires."""
        return min((suspicion.deadline_us for suspicion in self.suspicions.values()), default=NEVER_US)
