"""What an operator sets about readings kept in memory, checked as a whole."""

from collections.abc import Mapping
from dataclasses import dataclass

S = 1_000_000  # microseconds in a second
MOST_AGE_US = 60 * S
MOST_CLASSES = 32
MOST_ASKED_BYTES = 512  # of what was asked
MOST_READINGS = 4096  # of one member, so that to list them is a bounded step
MOST_READING_BYTES = 32 << 10  # a hit leaves in one write, so it must fit what a socket takes at once
OVERHEAD_BYTES = 960  # of memory, for one reading beside its value and what was asked, and for its member


@dataclass(frozen=True, slots=True)
class ReadingSettings:
    """ValueError names the key that is wrong. Bytes count the overhead, so they are bytes of memory."""

    ages_us: Mapping[str, int]  # by the name of a class that is safe to repeat; others are never kept
    total_bytes: int
    member_bytes: int  # so much of others' readings one member can push out, at the very most
    reading_bytes: int = MOST_READING_BYTES

    def __post_init__(self) -> None:
        if not 1 <= len(self.ages_us) <= MOST_CLASSES:
            raise ValueError(f"ages: {len(self.ages_us)} classes; 1 to {MOST_CLASSES} can be")
        for name, age_us in self.ages_us.items():
            if not 0 < age_us <= MOST_AGE_US:
                raise ValueError(f"ages: {age_us} us for '{name}'; above 0 and up to {MOST_AGE_US} can be")
        if not 0 < self.reading_bytes <= MOST_READING_BYTES:
            raise ValueError(f"reading_bytes: {self.reading_bytes}; 1 to {MOST_READING_BYTES} can be")
        if self.member_bytes < self.reading_bytes + MOST_ASKED_BYTES + OVERHEAD_BYTES:
            raise ValueError(f"member_bytes: {self.member_bytes} do not hold one reading")
        if self.total_bytes < 2 * self.member_bytes:
            raise ValueError(f"total_bytes: {self.total_bytes}; twice member_bytes at least")

    @property
    def oldest_us(self) -> int:
        """No reading of any class is used when it is older."""
        return max(self.ages_us.values())
