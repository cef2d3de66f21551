"""The timeout after which a suspect is declared dead. Source: Lifeguard, section IV.B.

A single accuser may be faulty itself, so the timeout is long at first. It decreases with the logarithm of the
number of members that suspect the same instance independently, down to the minimum.
"""

import math

from molereach.coordination.membership.settings import MembershipSettings


def minimum_suspicion_us(settings: MembershipSettings, members: int) -> int:
    """The timeout once enough accusers have confirmed; `members` includes this proxy and the suspect."""
    scale = max(1.0, math.log10(max(1, members)))
    return round(settings.suspicion_intervals * scale * settings.probe_interval_us)


class Suspicion:
    """The suspicion of one incarnation of an instance, which this proxy holds since `start_us`."""

    __slots__ = (
        "accusers",
        "earliest_deadline_us",
        "maximum_us",
        "minimum_us",
        "required_confirmations",
        "start_us",
    )

    def __init__(self, now_us: int, accuser: str, members: int, settings: MembershipSettings) -> None:
        self.start_us = now_us
        self.accusers = {accuser}
        # The first accuser and the suspect cannot confirm the suspicion.
        self.required_confirmations = max(0, min(settings.confirmations, members - 2))
        self.minimum_us = minimum_suspicion_us(settings, members)
        self.maximum_us = self.minimum_us * settings.max_suspicion_multiple
        self.earliest_deadline_us = 0

    def confirm(self, accuser: str) -> bool:
        """Add an accuser; False if it is already counted, or if enough are, which bounds their number."""
        if accuser in self.accusers or len(self.accusers) > self.required_confirmations:
            return False
        self.accusers.add(accuser)
        return True

    def extend(self, stalled_us: int, not_before_us: int) -> None:
        """Exclude a stall of this process from the timeout, and leave time to read the delayed messages."""
        self.start_us += stalled_us
        self.earliest_deadline_us = max(self.earliest_deadline_us, not_before_us)

    @property
    def deadline_us(self) -> int:
        """When the suspect is to be declared dead."""
        confirmed = (
            math.log(len(self.accusers)) / math.log(self.required_confirmations + 1)
            if self.required_confirmations
            else 1.0
        )
        timeout = self.maximum_us - (self.maximum_us - self.minimum_us) * min(1.0, confirmed)
        return max(self.start_us + round(timeout), self.earliest_deadline_us)
