"""All records by their places on the ring, in buckets of equal arcs. A core.

A bucket is a sorted array of places and a list of records: with 93,000 backends some 23 of them, so that what
a change touches grows by the 4,096th part of the list alone. Buckets with none that is up are passed over, so
that a view costs no more where most of a list drains. `touched` counts the records looked at.
"""

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterator

from molereach.subsetting.packed_records import is_up, name_of
from molereach.subsetting.placement import BITS

BUCKET_BITS = 12
BUCKETS = 1 << BUCKET_BITS
SHIFT = BITS - BUCKET_BITS
RELEASED = 256  # buckets that are let go of in one step


class Bucket:
    """The records of one arc, by place and name; `up` of them may be sent new work."""

    __slots__ = ("places", "records", "up")

    def __init__(self) -> None:
        self.places, self.records, self.up = array("Q"), list[bytes](), 0

    def index(self, place: int, name: bytes) -> tuple[int, bool]:
        """Where a name stands or belongs, and whether it is there; places of two names may be the same."""
        at = bisect_left(self.places, place)
        while at < len(self.places) and self.places[at] == place:
            if (there := name_of(self.records[at])) >= name:
                return at, there == name
            at += 1
        return at, False


class Ring:
    """Each name once; `up` of them may be sent new work."""

    __slots__ = ("buckets", "count", "touched", "up")

    def __init__(self) -> None:
        self.buckets: list[Bucket | None] = [None] * BUCKETS
        self.count = self.up = self.touched = 0

    def get(self, place: int, name: bytes) -> bytes | None:
        bucket = self.buckets[place >> SHIFT]
        at, there = bucket.index(place, name) if bucket else (0, False)
        self.touched += 1
        return bucket.records[at] if bucket and there else None

    def put(self, place: int, record: bytes) -> bytes | None:
        """Add or replace a record; the one before, if any."""
        number = place >> SHIFT
        bucket = self.buckets[number]
        if bucket is None:
            bucket = self.buckets[number] = Bucket()
        at, there = bisect_left(bucket.places, place), False
        if at < len(bucket.places) and bucket.places[at] == place:  # seldom: it is read for its name
            at, there = bucket.index(place, name_of(record))
        self.touched += 1
        before = bucket.records[at] if there else None
        if there:
            bucket.records[at] = record
        else:
            bucket.places.insert(at, place)
            bucket.records.insert(at, record)
        self.count += not there
        more_up = is_up(record) - (before is not None and is_up(before))
        bucket.up += more_up
        self.up += more_up
        return before

    def remove(self, place: int, name: bytes) -> bytes | None:
        """Take a name away; its record, if it was there."""
        bucket = self.buckets[place >> SHIFT]
        at, there = bucket.index(place, name) if bucket else (0, False)
        self.touched += 1
        if bucket is None or not there:
            return None
        del bucket.places[at]
        record = bucket.records.pop(at)
        self.count -= 1
        bucket.up -= is_up(record)
        self.up -= is_up(record)
        return record

    def __iter__(self) -> Iterator[bytes]:
        """All records."""
        for bucket in self.buckets:
            if bucket:
                self.touched += len(bucket.records)
                yield from bucket.records

    def release(self) -> Iterator[None]:
        """Let go of all, in steps: to free 100,000 records at once would take a turn of its own."""
        for number in range(0, BUCKETS, RELEASED):
            some = self.buckets[number : number + RELEASED]
            self.count -= sum(len(bucket.records) for bucket in some if bucket)
            self.buckets[number : number + RELEASED] = [None] * RELEASED
            del some
            yield

    def up_at(self, place: int) -> Iterator[bytes]:
        """Those up at a place: two names may share it."""
        bucket = self.buckets[place >> SHIFT]
        at = bisect_left(bucket.places, place) if bucket else 0
        while bucket and at < len(bucket.places) and bucket.places[at] == place:
            self.touched += 1
            if is_up(bucket.records[at]):
                yield bucket.records[at]
            at += 1

    def up_back_from(self, start: int) -> Iterator[tuple[int, bytes]]:
        """Those up from a place backwards, once round: first what stands there, last what is next to it."""
        first = start >> SHIFT
        bucket = self.buckets[first]
        split = bisect_right(bucket.places, start) if bucket else 0
        if bucket and bucket.up:
            yield from self.slice_back(bucket, 0, split)
        for step in range(1, BUCKETS):
            other = self.buckets[(first - step) % BUCKETS]
            if other and other.up:
                yield from self.slice_back(other, 0, len(other.places))
        if bucket and bucket.up:
            yield from self.slice_back(bucket, split, len(bucket.places))

    def slice_back(self, bucket: Bucket, low: int, high: int) -> Iterator[tuple[int, bytes]]:
        for at in range(high - 1, low - 1, -1):
            self.touched += 1
            if is_up(bucket.records[at]):
                yield bucket.places[at], bucket.records[at]
