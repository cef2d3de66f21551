"""Limits the incoming connections that are not authenticated yet, in total and per source. Sans-I/O."""

from collections import Counter


class ConnectionSlots:
    """Slots for unauthenticated incoming connections."""

    def __init__(self, max_slots: int, max_slots_per_source: int) -> None:
        self.max_slots = max_slots
        self.max_slots_per_source = max_slots_per_source
        self.used: Counter[str] = Counter()
        self.rejected = 0

    def acquire(self, source: str) -> bool:
        """Acquire a slot for a connection from `source`; False if none is free (counted as rejected)."""
        is_full = self.used.total() >= self.max_slots
        if is_full or self.used[source] >= self.max_slots_per_source:
            self.rejected += 1
            return False
        self.used[source] += 1
        return True

    def release(self, source: str) -> None:
        """Release the slot of a connection that has authenticated or closed."""
        self.used[source] -= 1
        if not self.used[source]:
            del self.used[source]
