"""The operator's settings for cached readings, checked as a whole."""

from collections.abc import Mapping
from dataclasses import dataclass

SECOND_US = 1_000_000
MAX_AGE_US = 60 * SECOND_US
MAX_CLASSES = 32
MAX_REQUEST_BYTES = 512
MAX_READINGS_PER_MEMBER = 4096  # bounds the step that lists them
MAX_READING_BYTES = 32 << 10  # a hit is sent in one write, so it must fit what a socket takes at once
OVERHEAD_BYTES = 960  # of memory per reading beside its value and request; covers the `Share` of its member


@dataclass(frozen=True, slots=True)
class ReadingSettings:
    """A ValueError names the key that is wrong. Sizes include the overhead, so they are bytes of memory."""

    ages_us: Mapping[str, int]  # by the name of a class that is safe to repeat; others are never cached
    total_bytes: int
    member_bytes: int  # also bounds how much of other members' readings one member can evict
    reading_bytes: int = MAX_READING_BYTES

    def __post_init__(self) -> None:
        if not 1 <= len(self.ages_us) <= MAX_CLASSES:
            raise ValueError(f"ages: {len(self.ages_us)} classes; must be 1 to {MAX_CLASSES}")
        for name, age_us in self.ages_us.items():
            if not 0 < age_us <= MAX_AGE_US:
                raise ValueError(f"ages: {age_us} us for '{name}'; must be above 0 and at most {MAX_AGE_US}")
        if not 0 < self.reading_bytes <= MAX_READING_BYTES:
            raise ValueError(f"reading_bytes: {self.reading_bytes}; must be 1 to {MAX_READING_BYTES}")
        if self.member_bytes < self.reading_bytes + MAX_REQUEST_BYTES + OVERHEAD_BYTES:
            raise ValueError(f"member_bytes: {self.member_bytes} is too small for one reading")
        if self.total_bytes < 2 * self.member_bytes:
            raise ValueError(f"total_bytes: {self.total_bytes}; must be at least twice member_bytes")

    @property
    def max_age_us(self) -> int:
        """The longest age of any class: no older reading is used."""
        return max(self.ages_us.values())
