"""How often a front door asks, how long it waits, and how slowly it condemns.

Sources: Das et al., "SWIM" (DSN 2002), sections 3 and 4; Dadgar et al., "Lifeguard" (2017), section IV.
"""

from dataclasses import dataclass

from molereach.coordination.interface.identifiers import SECOND_US


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Times in microseconds of the front door's own clock; a beat is longer while it doubts itself."""

    beat_us: int = SECOND_US // 2  # one member is probed in each
    direct_us: int = SECOND_US // 5  # without an answer for so long, others are asked to try
    indirect_asks: int = 3
    suspicion_beats: int = 4  # times log10 of the members: the shortest time from suspect to dead
    suspicion_longest: int = 6  # times the shortest, while one member alone accuses
    confirmations: int = 3  # by so many others the time falls to the shortest
    most_doubt: int = 8
    most_words: int = 24  # rumours in one message
    sync_beats: int = 30  # the whole list is exchanged with one member, in the mean
    retry_beats: int = 10  # a dead member, or a seed that is not known, is tried
    forget_us: int = 600 * SECOND_US  # who is dead or has left for so long
    stall_us: int = SECOND_US // 10  # an own Tick that is later than that: this process stood still

    def __post_init__(self) -> None:
        if not 0 < self.direct_us < self.beat_us:
            raise ValueError("direct_us must be above 0 and below beat_us")
        if min(self.indirect_asks, self.most_doubt, self.confirmations) < 0:
            raise ValueError("indirect_asks, most_doubt and confirmations must not be negative")
        positive = (
            self.suspicion_beats,
            self.suspicion_longest,
            self.most_words,
            self.sync_beats,
            self.retry_beats,
            self.stall_us,
        )
        if min(positive) < 1 or self.forget_us < self.beat_us:
            raise ValueError("times and numbers of beats must be above 0, forget_us a beat at least")
