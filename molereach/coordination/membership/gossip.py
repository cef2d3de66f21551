"""The queue of rumours to piggyback on the next messages of this proxy, the least sent first.

Source: SWIM, section 4.1: a rumour that each member sends 3 log2(n + 1) times reaches all members with high
probability, and is then removed from the queue. `Sync` delivers the rumours that a member missed.
"""

import math
from collections.abc import Iterable

from molereach.coordination.membership.messages import MemberStatus, Rumour, fitting_rumours

TRANSMISSION_FACTOR = 3


def max_transmissions(members: int) -> int:
    """How many times a member sends a rumour in a group of `members`."""
    return TRANSMISSION_FACTOR * math.ceil(math.log2(members + 1))


def _are_separate_accusations(first: Rumour, second: Rumour) -> bool:
    """Whether both suspect the same incarnation, so that each is a confirmation of its own."""
    both_suspect = first.status is second.status is MemberStatus.SUSPECT
    return both_suspect and (first.instance_number, first.incarnation) == (
        second.instance_number,
        second.incarnation,
    )


class GossipQueue:
    """Holds one rumour per name, or one per counted accuser of a suspect."""

    __slots__ = ("transmissions",)

    def __init__(self) -> None:
        self.transmissions: dict[Rumour, int] = {}

    def enqueue(self, rumour: Rumour) -> None:
        """Add a rumour that changed the local state; removes the queued rumours that it replaces."""
        for other in [other for other in self.transmissions if other.name == rumour.name]:
            if not _are_separate_accusations(other, rumour):
                del self.transmissions[other]
        self.transmissions[rumour] = 0

    def next_rumours(
        self, members: int, limit: int, leading_rumours: Iterable[Rumour] = ()
    ) -> tuple[Rumour, ...]:
        """The rumours for the next message, at most `limit`: `leading_rumours` first, then the least sent."""
        leading = tuple(leading_rumours)
        if not self.transmissions:
            return leading
        waiting = sorted(self.transmissions, key=self.transmissions.__getitem__)
        others = (rumour for rumour in waiting if rumour not in leading)
        chosen = tuple(fitting_rumours((*leading, *others), limit))
        transmission_limit = max_transmissions(members)
        for rumour in chosen:
            self._count_transmission(rumour, transmission_limit)
        return chosen

    def _count_transmission(self, rumour: Rumour, transmission_limit: int) -> None:
        if rumour not in self.transmissions:
            return
        self.transmissions[rumour] += 1
        if self.transmissions[rumour] >= transmission_limit:
            del self.transmissions[rumour]
