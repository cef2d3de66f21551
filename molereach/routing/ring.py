"""All records by their places on the ring, in buckets of equal arcs. A core.

A bucket is a sorted array of places and a list of records: with 93,000 backends some 23 of them, so that what
a change touches grows by the 4,096th part of the list alone. `touched` counts the records looked at.
"""

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterator

from molereach.routing.places import BITS
from molereach.routing.records import is_up, name_of

BUCKET_BITS = 12
BUCKETS = 1 << BUCKET_BITS
SHIFT = BITS - BUCKET_BITS


class Bucket:
    """The records of one arc, by place."""

    __slots__ = ("places", "records")

    def __init__(self) -> None:
        self.places, self.records = array("Q"), list[bytes]()

    def index(self, place: int, name: bytes) -> tuple[int, bool]:
        """Where a name stands or belongs, and whether it is there; places of two names may be the same."""
        at = bisect_left(self.places, place)
        while at < len(self.places) and self.places[at] == place:
            if name_of(self.records[at]) == name:
                return at, True
            at += 1
        return at, False


class Ring:
    """Each name once; `up` of them may be sent new work."""

    __slots__ = ("buckets", "count", "touched", "up")

    def __init__(self) -> None:
        self.buckets: list[Bucket | None] = [None] * BUCKETS
        self.count = self.up = self.touched = 0

    def put(self, place: int, record: bytes) -> bytes | None:
        """Add or replace a record; the one before, if any."""
        number = place >> SHIFT
        bucket = self.buckets[number]
        if bucket is None:
            bucket = self.buckets[number] = Bucket()
        at, there = bucket.index(place, name_of(record))
        self.touched += 1
        before = bucket.records[at] if there else None
        if there:
            bucket.records[at] = record
        else:
            bucket.places.insert(at, place)
            bucket.records.insert(at, record)
        self.count += not there
        self.up += is_up(record) - (before is not None and is_up(before))
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
        self.up -= is_up(record)
        return record

    def at(self, place: int) -> bytes | None:
        """The record at a place; the first, where two names share it."""
        self.touched += 1
        bucket = self.buckets[place >> SHIFT]
        if bucket is None:
            return None
        at = bisect_left(bucket.places, place)
        return bucket.records[at] if at < len(bucket.places) and bucket.places[at] == place else None

    def back_from(self, start: int) -> Iterator[tuple[int, bytes]]:
        """All from a place backwards, once round: first what stands there, last what stands next after it."""
        first = start >> SHIFT
        bucket = self.buckets[first]
        split = bisect_right(bucket.places, start) if bucket else 0
        if bucket:
            yield from self.slice_back(bucket, 0, split)
        for step in range(1, BUCKETS):
            if other := self.buckets[(first - step) % BUCKETS]:
                yield from self.slice_back(other, 0, len(other.places))
        if bucket:
            yield from self.slice_back(bucket, split, len(bucket.places))

    def slice_back(self, bucket: Bucket, low: int, high: int) -> Iterator[tuple[int, bytes]]:
        for at in range(high - 1, low - 1, -1):
            self.touched += 1
            yield bucket.places[at], bucket.records[at]
