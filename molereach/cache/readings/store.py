"""Readings by member, the least useful pushed out first, and no member by another beyond its own part.

Two segments (Karedla, Love and Wherry, "Caching Strategies to Improve Disk System Performance", Computer
1994): what was used once is pushed out before what was used again. A member that is at its own bound pushes
out its own; one below it takes from all, and so costs others no more than its bound. The work of a call is
bounded: at most `reading_bytes / OVERHEAD_BYTES` readings, and two, make way for one.
"""

from collections import OrderedDict
from collections.abc import Sequence

from molereach.cache.readings.reading import Reading
from molereach.cache.readings.settings import MOST_ASKED_BYTES, MOST_READINGS, ReadingSettings

PROVEN_PART = 0.8  # of all bytes, for readings that were used again
Order = OrderedDict[Reading, None]  # the one used last at the end


class Share:
    """What one member has here."""

    __slots__ = ("readings", "size")

    def __init__(self) -> None:
        self.readings: OrderedDict[tuple[str, bytes], Reading] = OrderedDict()  # the one used last at the end
        self.size = 0


class Store:
    """Knows of bytes and ages; whether a reading may be used is asked elsewhere."""

    def __init__(self, settings: ReadingSettings) -> None:
        self.settings = settings
        self.size = 0  # bytes, with the overhead
        self.pushed_out = 0  # readings, since the start
        self._shares: dict[str, Share] = {}
        self._fresh: Order = OrderedDict()
        self._proven: Order = OrderedDict()
        self._proven_size = 0
        self._most_proven = int(PROVEN_PART * settings.total_bytes)

    def __len__(self) -> int:
        return len(self._fresh) + len(self._proven)

    def size_of(self, member: str) -> int:
        share = self._shares.get(member)
        return share.size if share else 0

    def of(self, member: str) -> Sequence[Reading]:
        """At most `MOST_READINGS`."""
        share = self._shares.get(member)
        return list(share.readings.values()) if share else ()

    # --- use ---

    def dead(self, now_us: int, reading: Reading) -> bool:
        return now_us - reading.sent_us >= self.settings.ages_us[reading.class_name]

    def get(self, now_us: int, member: str, class_name: str, asked: bytes) -> Reading | None:
        """The reading, if it is young enough; it counts as used."""
        share = self._shares.get(member)
        reading = share.readings.get((class_name, asked)) if share else None
        if share is None or reading is None:
            return None
        if self.dead(now_us, reading):
            self.drop(reading)
            return None
        share.readings.move_to_end((class_name, asked))
        self._used(reading)
        return reading

    def _used(self, reading: Reading) -> None:
        if reading in self._proven:
            self._proven.move_to_end(reading)
            return
        del self._fresh[reading]
        self._proven[reading] = None
        self._proven_size += reading.size
        while self._proven_size > self._most_proven:
            oldest, _ = self._proven.popitem(last=False)
            self._proven_size -= oldest.size
            self._fresh[oldest] = None  # it has its second chance there

    def put(self, now_us: int, reading: Reading) -> bool:
        """Keep a reading; not one that is too large or dead, or sent before the one that is here."""
        settings = self.settings
        if len(reading.value) > settings.reading_bytes or len(reading.asked) > MOST_ASKED_BYTES:
            return False
        if reading.class_name not in settings.ages_us or self.dead(now_us, reading):
            return False
        share = self._shares.get(reading.member)
        before = share.readings.get(reading.key) if share else None
        if before is not None:
            if before.sent_us > reading.sent_us:
                return False
            self.drop(before)
        self._make_room(reading)
        share = self._shares.setdefault(reading.member, Share())
        share.readings[reading.key] = reading
        share.size += reading.size
        self._fresh[reading] = None
        self.size += reading.size
        return True

    # --- ends ---

    def _make_room(self, reading: Reading) -> None:
        share = self._shares.get(reading.member)
        most = self.settings.member_bytes - reading.size
        while share and share.readings and (share.size > most or len(share.readings) >= MOST_READINGS):
            self._push_out(next(iter(share.readings.values())))
        while self.size + reading.size > self.settings.total_bytes:
            self._push_out(next(iter(self._fresh or self._proven)))

    def _push_out(self, reading: Reading) -> None:
        self.drop(reading)
        self.pushed_out += 1

    def drop(self, reading: Reading) -> bool:
        """Keep it no more; False if it is not here."""
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

    def expire(self, now_us: int, most: int) -> int:
        """Drop what is dead among what was used longest ago; how many. So nothing stays for twice its age."""
        gone = 0
        for order in (self._fresh, self._proven):
            while gone < most and order and self.dead(now_us, reading := next(iter(order))):
                self.drop(reading)
                gone += 1
        return gone

    def some(self, most: int) -> list[Reading]:
        """Any readings, those used longest ago first, for who drops all of them by and by."""
        found: list[Reading] = []
        for order in (self._fresh, self._proven):
            for reading in order:
                if len(found) >= most:
                    return found
                found.append(reading)
        return found
