"""When a suspect is declared dead: Lifeguard, section IV.B.

A single accuser may itself be the one that fails, so the timeout is long at first. It falls with the
logarithm of the number of others that suspect the same member independently, down to the minimum.
"""

import math

from molereach.coordination.membership.settings import MembershipSettings


def minimum_suspicion_us(settings: MembershipSettings, members: int) -> int:
    """The timeout when enough members accuse; `members` counts this one and the suspect too."""
    scale = max(1.0, math.log10(max(1, members)))
    return round(settings.suspicion_intervals * scale * settings.probe_interval_us)


class Suspicion:
    """One instance under one incarnation, suspected here since `start_us`."""

    __slots__ = ("accusers", "floor_us", "maximum_us", "minimum_us", "needed", "start_us")

    def __init__(self, now_us: int, accuser: str, members: int, settings: MembershipSettings) -> None:
        self.start_us = now_us
        self.accusers = {accuser}
        self.needed = max(0, min(settings.confirmations, members - 2))  # without the first and the suspect
        self.minimum_us = minimum_suspicion_us(settings, members)
        self.maximum_us = self.minimum_us * settings.max_suspicion_multiple
        self.floor_us = 0

    def confirm(self, accuser: str) -> bool:
        """Add an accuser; False if it is known or no more are needed, which bounds their number."""
        if accuser in self.accusers or len(self.accusers) > self.needed:
            return False
        self.accusers.add(accuser)
        return True

    def extend(self, stalled_us: int, not_before_us: int) -> None:
        """Do not count the time in which this process stalled, nor end before waiting messages are read."""
        self.start_us += stalled_us
        self.floor_us = max(self.floor_us, not_before_us)

    @property
    def deadline_us(self) -> int:
        """When the suspect is declared dead."""
        confirmed = math.log(len(self.accusers)) / math.log(self.needed + 1) if self.needed else 1.0
        timeout = self.maximum_us - (self.maximum_us - self.minimum_us) * min(1.0, confirmed)
        return max(self.start_us + round(timeout), self.floor_us)
