"""All records sorted by their positions on the hash ring, in buckets of equal arcs. No I/O.

A bucket is a sorted array of positions with a list of their records: some 23 records for 93,000 backends, as
the cost of a change depends only on 1/4,096 of the list. Buckets without a backend that is up are skipped, so
that selecting a subset costs no more if most backends drain. `examined` counts the records that were read,
for tests of the cost.
"""

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterator

from molereach.subsetting.packed_records import is_up, name_of
from molereach.subsetting.placement import RING_BITS

BUCKET_BITS = 12
BUCKET_COUNT = 1 << BUCKET_BITS
BUCKET_SHIFT = RING_BITS - BUCKET_BITS
BUCKETS_PER_RELEASE_STEP = 256


class Bucket:
    """The records of one arc, by position and name; `up` of their backends accept new requests."""

    __slots__ = ("positions", "records", "up")

    def __init__(self) -> None:
        self.positions = array("Q")
        self.records = list[bytes]()
        self.up = 0

    def index(self, position: int, name: bytes) -> tuple[int, bool]:
        """Index at which a name is or would be inserted, and whether it is present.

        Two names may have the same position; they are sorted by name.
        """
        at = bisect_left(self.positions, position)
        while at < len(self.positions) and self.positions[at] == position:
            if (present_name := name_of(self.records[at])) >= name:
                return at, present_name == name
            at += 1
        return at, False


class Ring:
    """The records of a list, one per name; `up` of their backends accept new requests."""

    __slots__ = ("buckets", "count", "examined", "up")

    def __init__(self) -> None:
        self.buckets: list[Bucket | None] = [None] * BUCKET_COUNT
        self.count = 0
        self.up = 0
        self.examined = 0

    def get(self, position: int, name: bytes) -> bytes | None:
        """The record of a name, or None."""
        bucket = self.buckets[position >> BUCKET_SHIFT]
        at, is_present = bucket.index(position, name) if bucket else (0, False)
        self.examined += 1
        return bucket.records[at] if bucket and is_present else None

    def put(self, position: int, record: bytes) -> bytes | None:
        """Add or replace a record; returns the previous one, or None."""
        bucket_number = position >> BUCKET_SHIFT
        bucket = self.buckets[bucket_number]
        if bucket is None:
            bucket = Bucket()
            self.buckets[bucket_number] = bucket
        at = bisect_left(bucket.positions, position)
        is_present = False
        if at < len(bucket.positions) and bucket.positions[at] == position:  # only then are names compared
            at, is_present = bucket.index(position, name_of(record))
        self.examined += 1
        previous = bucket.records[at] if is_present else None
        if is_present:
            bucket.records[at] = record
        else:
            bucket.positions.insert(at, position)
            bucket.records.insert(at, record)
        self.count += not is_present
        up_change = is_up(record) - (previous is not None and is_up(previous))
        bucket.up += up_change
        self.up += up_change
        return previous

    def remove(self, position: int, name: bytes) -> bytes | None:
        """Remove a name; returns its record, or None."""
        bucket = self.buckets[position >> BUCKET_SHIFT]
        at, is_present = bucket.index(position, name) if bucket else (0, False)
        self.examined += 1
        if bucket is None or not is_present:
            return None
        del bucket.positions[at]
        record = bucket.records.pop(at)
        self.count -= 1
        bucket.up -= is_up(record)
        self.up -= is_up(record)
        return record

    def __iter__(self) -> Iterator[bytes]:
        """All records in order of position."""
        for bucket in self.buckets:
            if bucket:
                self.examined += len(bucket.records)
                yield from bucket.records

    def release(self) -> Iterator[None]:
        """Free all records in steps, as freeing 100,000 of them at once would block the event loop."""
        for first in range(0, BUCKET_COUNT, BUCKETS_PER_RELEASE_STEP):
            released = self.buckets[first : first + BUCKETS_PER_RELEASE_STEP]
            self.count -= sum(len(bucket.records) for bucket in released if bucket)
            self.buckets[first : first + BUCKETS_PER_RELEASE_STEP] = [None] * BUCKETS_PER_RELEASE_STEP
            del released
            yield

    def up_at_position(self, position: int) -> Iterator[bytes]:
        """The records of backends at a position that are up; several names may have the same position."""
        bucket = self.buckets[position >> BUCKET_SHIFT]
        at = bisect_left(bucket.positions, position) if bucket else 0
        while bucket and at < len(bucket.positions) and bucket.positions[at] == position:
            self.examined += 1
            if is_up(bucket.records[at]):
                yield bucket.records[at]
            at += 1

    def up_backwards_from(self, start: int) -> Iterator[tuple[int, bytes]]:
        """Positions and records of the backends that are up, backwards from `start` once around the ring."""
        first = start >> BUCKET_SHIFT
        bucket = self.buckets[first]
        split = bisect_right(bucket.positions, start) if bucket else 0
        if bucket and bucket.up:
            yield from self.slice_backwards(bucket, 0, split)
        for step in range(1, BUCKET_COUNT):
            other = self.buckets[(first - step) % BUCKET_COUNT]
            if other and other.up:
                yield from self.slice_backwards(other, 0, len(other.positions))
        if bucket and bucket.up:
            yield from self.slice_backwards(bucket, split, len(bucket.positions))

    def slice_backwards(self, bucket: Bucket, low: int, high: int) -> Iterator[tuple[int, bytes]]:
        """Positions and records of the backends that are up in a part of a bucket, the last first."""
        for at in range(high - 1, low - 1, -1):
            self.examined += 1
            if is_up(bucket.records[at]):
                yield bucket.positions[at], bucket.records[at]
