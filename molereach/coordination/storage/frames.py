"""The frames of a tail: one frame for each write, so that a frame is promised whole or not at all.

A frame is written only after the one before is known to be on the disk. So a crash can tear the last frame
alone, and a whole frame behind one that is not proves that something promised was damaged. What tells a torn
frame from a damaged one: it is cut off, or a sector of it (by its place in the file) was never written and
reads as zeroes. All else is damage and is refused (after Alagappan, "Protocol-Aware Recovery for
Consensus-Based Storage", 2018: a crash and corruption must not be taken for each other).

    marker 4 | length of the body 4 | sequence number 8 | link 8 | check of these 4 | digest 16 | body | end 1

The link is the first half of the digest before, which the digest covers: frames of two histories cannot be
mixed. The digest of a frame needs no other frame, so one behind a gap can be told to be whole. The body is
records, each with its length (4) before it. The marker follows from the seed, which is the tail's alone.
"""

import hashlib
import struct
from collections.abc import Sequence
from zlib import crc32

HEAD = struct.Struct(">4sIQ8sI16s")
CHECKED = struct.Struct(">4sIQ8s")  # what the head's check is over
LENGTH = struct.Struct(">I")
END = b"\xa5"  # not zero: its loss shows
FRAME_BYTES = HEAD.size + len(END)  # more than the body
RECORD_BYTES = LENGTH.size  # more than the record itself
DIGEST_BYTES = 16
LINK_BYTES = 8
SECTOR_BYTES = 512  # what a disk writes whole or not at all
MOST_RECORD_BYTES = 4 << 20
MOST_FRAME_BYTES = 16 << 20  # of one body
MOST_TAIL_BYTES = MOST_FRAME_BYTES  # of all frames behind one base: a copy of them is one frame


class DamageError(ValueError):
    """What was promised is not there any more; the text says where."""


def digest(*parts: bytes) -> bytes:
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        state.update(part)
    return state.digest()


def size(records: Sequence[bytes]) -> int:
    """Bytes of a frame's body."""
    return sum(map(len, records)) + RECORD_BYTES * len(records)


class Chain:
    """Makes the frames of one tail, each linked to the one before."""

    def __init__(self, seed: bytes) -> None:
        self.seed, self.sequence, self.link = seed, 0, seed[:LINK_BYTES]

    def frame(self, records: Sequence[bytes]) -> bytes:
        """The next frame; ValueError for what is too large."""
        if any(len(record) > MOST_RECORD_BYTES for record in records):
            raise ValueError(f"a record of {max(map(len, records))} bytes; {MOST_RECORD_BYTES} at most")
        body = b"".join(part for record in records for part in (LENGTH.pack(len(record)), record))
        if len(body) > MOST_FRAME_BYTES:
            raise ValueError(f"{len(body)} bytes for one write; {MOST_FRAME_BYTES} at most")
        head = CHECKED.pack(self.seed[:4], len(body), self.sequence + 1, self.link)
        whole = digest(self.seed, head, body)
        self.sequence, self.link = self.sequence + 1, whole[:LINK_BYTES]
        return head + crc32(head).to_bytes(4) + whole + body + END


def head_at(data: bytes, start: int, seed: bytes) -> tuple[int, int, bytes, bytes] | None:
    """The end of the frame, its sequence number, link and digest; None where there is no sound head."""
    if len(data) - start < HEAD.size:
        return None
    marker, length, sequence, link, check, whole = HEAD.unpack_from(data, start)
    sound = marker == seed[:4] and length <= MOST_FRAME_BYTES
    if not sound or crc32(data[start : start + CHECKED.size]) != check:
        return None
    return start + FRAME_BYTES + length, sequence, link, whole


def whole_at(data: bytes, start: int, seed: bytes) -> tuple[int, int, bytes, bytes] | None:
    """The same for a frame that is there whole and unhurt."""
    head = head_at(data, start, seed)
    if head is None or head[0] > len(data) or data[head[0] - 1 : head[0]] != END:
        return None
    body = data[start + HEAD.size : head[0] - 1]
    return head if digest(seed, data[start : start + CHECKED.size], body) == head[3] else None


def records_of(body: bytes) -> list[bytes]:
    found, at = [], 0
    while at < len(body):
        start = at + RECORD_BYTES
        at = start + int.from_bytes(body[at:start])
        if at > len(body):
            raise DamageError("holds a record that is longer than its frame")
        found.append(body[start:at])
    return found


def read(data: bytes, seed: bytes, start: int = 0) -> list[bytes]:
    """The records in a tail from `start` on, less a torn last frame; `DamageError` says at which byte."""
    records: list[bytes] = []
    sequence, link = 0, seed[:LINK_BYTES]
    while start < len(data):
        head = whole_at(data, start, seed)
        if head is None:
            judge_end(data, start, seed)
            break
        end, number, before, whole = head
        if number != sequence + 1 or before != link:
            raise DamageError(f"has a frame at byte {start} that does not follow the one before")
        records += records_of(data[start + HEAD.size : end - 1])
        start, sequence, link = end, number, whole[:LINK_BYTES]
    return records


def judge_end(data: bytes, start: int, seed: bytes) -> None:
    """`DamageError` unless all from `start` on is what a crash leaves of one write, never promised."""
    at = data.find(seed[:4], start + 1)
    while at >= 0:
        if whole_at(data, at, seed):
            raise DamageError(f"is damaged at byte {start}, with whole frames behind it")
        at = data.find(seed[:4], at + 1)
    head = head_at(data, start, seed)
    cut_off = head[0] > len(data) if head else len(data) - start < HEAD.size
    if not cut_off and not lacks_sector(data, start):
        raise DamageError(f"is damaged at byte {start}, in its last frame")


def lacks_sector(data: bytes, start: int) -> bool:
    """Whether a sector, or the part of one behind `start`, is all zeroes, or the very end is."""
    if not data[-1]:
        return True
    while start < len(data):
        end = (start // SECTOR_BYTES + 1) * SECTOR_BYTES
        if not any(data[start:end]):
            return True
        start = end
    return False
