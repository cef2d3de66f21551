"""A session whose expiry the test sets."""

from dataclasses import dataclass


@dataclass
class FakeSession:
    """Implements `Session` of the coordination interface."""

    valid_until_us: int = 1 << 60
    fencing_token: int = 1
    applied_position: int = 0

    def holds(self, now_us: int) -> bool:
        return now_us < self.valid_until_us
