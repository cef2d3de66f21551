"""Readings by member, evicted least recently used first; no member evicts more of others than its own bound.

A reading is a cached answer of a server; a member is the one whose data it shows, and whose readings a purge
removes together.

The store is a segmented LRU (Karedla, Love and Wherry, "Caching Strategies to Improve Disk System
Performance", Computer 1994): readings that were used once are evicted before those that were used again. A
member at its bound evicts its own readings; one below it evicts any, and so costs others no more than its
bound. The work of a call is bounded: one reading evicts at most `reading_bytes / OVERHEAD_BYTES` readings,
plus two.
"""

from collections import OrderedDict
from collections.abc import Sequence

from molereach.cache.readings.reading import Reading
from molereach.cache.readings.settings import MAX_READINGS_PER_MEMBER, MAX_REQUEST_BYTES, ReadingSettings

PROTECTED_FRACTION = 0.8  # of all bytes, for readings that were used again
RecencyOrder = OrderedDict[Reading, None]  # the most recently used is last


class Share:
    """All readings of one member, and their size, which `member_bytes` bounds."""

    __slots__ = ("readings", "size")

    def __init__(self) -> None:
        self.readings: OrderedDict[tuple[str, bytes], Reading] = OrderedDict()  # most recently used last
        self.size = 0


class Store:
    """Enforces sizes and ages. The caller checks that a reading is not covered by a purge, and that a session
    permits showing it.

    The segmented LRU has two segments: `_fresh` is the probationary one, of readings that were stored and not
    used since, or were demoted; `_proven` is the protected one, of readings that were used again.
    """

    def __init__(self, settings: ReadingSettings) -> None:
        self.settings = settings
        self.size = 0  # bytes, with the overhead
        self.evictions = 0  # readings, since the start
        self._shares: dict[str, Share] = {}
        self._fresh: RecencyOrder = OrderedDict()  # the probationary segment
        self._proven: RecencyOrder = OrderedDict()  # the protected segment
        self._proven_size = 0
        self._max_proven_size = int(PROTECTED_FRACTION * settings.total_bytes)

    def __len__(self) -> int:
        return len(self._fresh) + len(self._proven)

    def member_size(self, member: str) -> int:
        """The bytes of a member's readings, with the overhead."""
        share = self._shares.get(member)
        return share.size if share else 0

    def readings_of(self, member: str) -> Sequence[Reading]:
        """A member's readings, at most `MAX_READINGS_PER_MEMBER`."""
        share = self._shares.get(member)
        return list(share.readings.values()) if share else ()

    # --- use ---

    def is_expired(self, now_us: int, reading: Reading) -> bool:
        """Whether the reading is as old as the settings allow for its class (`ages_us`)."""
        return now_us - reading.sent_us >= self.settings.ages_us[reading.class_name]

    def get(self, now_us: int, member: str, class_name: str, request: bytes) -> Reading | None:
        """The reading, unless it has expired; counts as a use."""
        share = self._shares.get(member)
        reading = share.readings.get((class_name, request)) if share else None
        if share is None or reading is None:
            return None
        if self.is_expired(now_us, reading):
            self.remove(reading)
            return None
        share.readings.move_to_end((class_name, request))
        self._promote(reading)
        return reading

    def _promote(self, reading: Reading) -> None:
        if reading in self._proven:
            self._proven.move_to_end(reading)
            return
        del self._fresh[reading]
        self._proven[reading] = None
        self._proven_size += reading.size
        while self._proven_size > self._max_proven_size:
            oldest, _ = self._proven.popitem(last=False)
            self._proven_size -= oldest.size
            self._fresh[oldest] = None  # its second chance before eviction

    def put(self, now_us: int, reading: Reading) -> bool:
        """Store a reading; False if it is too large, expired, or sent before the one that is stored."""
        settings = self.settings
        if len(reading.value) > settings.reading_bytes or len(reading.request) > MAX_REQUEST_BYTES:
            return False
        if reading.class_name not in settings.ages_us or self.is_expired(now_us, reading):
            return False
        share = self._shares.get(reading.member)
        previous = share.readings.get(reading.key) if share else None
        if previous is not None:
            if previous.sent_us > reading.sent_us:
                return False
            self.remove(previous)
        self._evict_for(reading)
        share = self._shares.setdefault(reading.member, Share())
        share.readings[reading.key] = reading
        share.size += reading.size
        self._fresh[reading] = None
        self.size += reading.size
        return True

    # --- removal ---

    def _evict_for(self, reading: Reading) -> None:
        share = self._shares.get(reading.member)
        max_size = self.settings.member_bytes - reading.size
        while (
            share
            and share.readings
            and (share.size > max_size or len(share.readings) >= MAX_READINGS_PER_MEMBER)
        ):
            self._evict(next(iter(share.readings.values())))
        while self.size + reading.size > self.settings.total_bytes:
            self._evict(next(iter(self._fresh or self._proven)))

    def _evict(self, reading: Reading) -> None:
        self.remove(reading)
        self.evictions += 1

    def remove(self, reading: Reading) -> bool:
        """Remove a reading; False if it is not stored."""
        if reading in self._proven:
            del self._proven[reading]
            self._proven_size -= reading.size
        elif reading in self._fresh:
            del self._fresh[reading]
        else:
            return False
        share = self._shares[reading.member]
        del share.readings[reading.key]
        share.size -= reading.size
        self.size -= reading.size
        if not share.readings:
            del self._shares[reading.member]
        return True

    def remove_expired(self, now_us: int, limit: int) -> int:
        """Remove expired readings, from the least recently used on; returns how many were removed.

        Only the front of each segment is examined, so an expired reading stays until those before it have
        expired too; `get` does not return it. If all classes have one age and the reading is not demoted
        meanwhile, it becomes removable before it is twice as old as that age.
        """
        removed = 0
        for order in (self._fresh, self._proven):
            while removed < limit and order and self.is_expired(now_us, reading := next(iter(order))):
                self.remove(reading)
                removed += 1
        return removed

    def oldest_readings(self, limit: int) -> list[Reading]:
        """Up to `limit` readings of any member, those used once first, the least recently used first."""
        found: list[Reading] = []
        for order in (self._fresh, self._proven):
            for reading in order:
                if len(found) >= limit:
                    return found
                found.append(reading)
        return found
