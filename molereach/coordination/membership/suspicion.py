"""When a suspect is taken to be dead: Lifeguard, section IV.B.

One accuser alone may be the one that is ill, so the time is long at first. It falls by the logarithm of the
number of others that say the same of their own, down to the shortest when there are enough of them.
"""

import math

from molereach.coordination.membership.settings import MembershipSettings


def shortest_us(settings: MembershipSettings, members: int) -> int:
    """The time from suspect to dead when enough members accuse; `members` with oneself and the suspect."""
    return round(settings.suspicion_beats * max(1.0, math.log10(max(1, members))) * settings.beat_us)


class Suspicion:
    """One life under one incarnation, suspected here since `start_us`."""

    __slots__ = ("accusers", "floor_us", "most", "needed", "shortest", "start_us")

    def __init__(self, now: int, accuser: str, members: int, settings: MembershipSettings) -> None:
        self.start_us = now
        self.accusers = {accuser}
        self.needed = max(0, min(settings.confirmations, members - 2))  # without the first and the suspect
        self.shortest = shortest_us(settings, members)
        self.most = self.shortest * settings.suspicion_longest
        self.floor_us = 0

    def confirm(self, accuser: str) -> bool:
        """Whether this is the word of one more member, and of use. So their number is bounded."""
        if accuser in self.accusers or len(self.accusers) > self.needed:
            return False
        self.accusers.add(accuser)
        return True

    def extend(self, late: int, until: int) -> None:
        """The time in which this process stood still does not count, and the mail is read first."""
        self.start_us += late
        self.floor_us = max(self.floor_us, until)

    @property
    def dead_us(self) -> int:
        fallen = math.log(len(self.accusers)) / math.log(self.needed + 1) if self.needed else 1.0
        wait = self.most - (self.most - self.shortest) * min(1.0, fallen)
        return max(self.start_us + round(wait), self.floor_us)
