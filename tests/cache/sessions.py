"""A session that is held as long as it is told."""

from dataclasses import dataclass


@dataclass
class Held:
    """`Session` of the interface."""

    until_us: int = 1 << 60
    fencing_token: int = 1
    applied_position: int = 0

    def holds(self, now_us: int) -> bool:
        return now_us < self.until_us
