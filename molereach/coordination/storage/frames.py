"""The frames of a tail: one frame for each write, so that a write is durable as a whole or not at all.

A frame is written only after the one before is known to be on the disk. So a crash can tear the last frame
alone, and a complete frame behind one that is not proves that synced data was damaged. What tells a torn
frame from a damaged one: it is truncated, or a sector of it (by its place in the file) was never written and
reads as zeroes. Everything else is damage and is refused (after Alagappan, "Protocol-Aware Recovery for
Consensus-Based Storage", 2018: a crash and corruption must not be taken for each other).

    marker 4 | length of the body 4 | sequence number 8 | link 8 | check of these 4 | digest 16 | body | end 1

The link is the first half of the digest before, which the digest covers: frames of two histories cannot be
mixed. The digest of a frame needs no other frame, so one behind a gap can be recognized as complete. The body
is records, each with its length (4) before it. The marker follows from the seed, which is the tail's alone.
"""

import hashlib
import struct
from collections.abc import Sequence
from typing import NamedTuple
from zlib import crc32

from molereach.coordination.storage.errors import DamagedTailError

HEAD = struct.Struct(">4sIQ8sI16s")
CHECKED = struct.Struct(">4sIQ8s")  # what the head's checksum covers
LENGTH = struct.Struct(">I")
END = b"\xa5"  # not zero, so that its loss is seen
FRAME_BYTES = HEAD.size + len(END)  # more than the body
RECORD_BYTES = LENGTH.size  # more than the record itself
DIGEST_BYTES = 16
LINK_BYTES = 8
SECTOR_BYTES = 512  # what a disk writes whole or not at all
MAX_RECORD_BYTES = 4 << 20
MAX_FRAME_BYTES = 16 << 20  # of one body
MAX_TAIL_BYTES = MAX_FRAME_BYTES  # of all frames behind one base: a copy of them is one frame


class FrameHead(NamedTuple):
    """What a frame's head says; `end` is the position in the file behind the frame."""

    end: int
    sequence: int
    link: bytes
    digest: bytes


def digest(*chunks: bytes) -> bytes:
    """The BLAKE2b digest of the chunks in order."""
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for data in chunks:
        state.update(data)
    return state.digest()


def body_size(records: Sequence[bytes]) -> int:
    """Bytes of a frame's body."""
    return sum(map(len, records)) + RECORD_BYTES * len(records)


class FrameChain:
    """Makes the frames of one tail, each linked to the one before."""

    def __init__(self, seed: bytes) -> None:
        self.seed = seed
        self.sequence = 0
        self.link = seed[:LINK_BYTES]

    def frame(self, records: Sequence[bytes]) -> bytes:
        """The next frame; raises a ValueError for what is too large."""
        if any(len(record) > MAX_RECORD_BYTES for record in records):
            raise ValueError(f"a record of {max(map(len, records))} bytes; {MAX_RECORD_BYTES} at most")
        body = b"".join(LENGTH.pack(len(record)) + record for record in records)
        if len(body) > MAX_FRAME_BYTES:
            raise ValueError(f"{len(body)} bytes for one write; {MAX_FRAME_BYTES} at most")
        self.sequence += 1
        head = CHECKED.pack(self.seed[:4], len(body), self.sequence, self.link)
        frame_digest = digest(self.seed, head, body)
        self.link = frame_digest[:LINK_BYTES]
        return head + crc32(head).to_bytes(4) + frame_digest + body + END


def frame_head_at(data: bytes, start: int, seed: bytes) -> FrameHead | None:
    """The head of the frame at `start`; None where there is no valid one."""
    if len(data) - start < HEAD.size:
        return None
    marker, length, sequence, link, check, frame_digest = HEAD.unpack_from(data, start)
    is_valid = marker == seed[:4] and length <= MAX_FRAME_BYTES
    if not is_valid or crc32(data[start : start + CHECKED.size]) != check:
        return None
    return FrameHead(start + FRAME_BYTES + length, sequence, link, frame_digest)


def complete_frame_at(data: bytes, start: int, seed: bytes) -> FrameHead | None:
    """The head of the frame at `start` if the frame is complete and undamaged, else None."""
    head = frame_head_at(data, start, seed)
    if head is None or head.end > len(data) or data[head.end - 1 : head.end] != END:
        return None
    body = data[start + HEAD.size : head.end - 1]
    return head if digest(seed, data[start : start + CHECKED.size], body) == head.digest else None


def decode_records(body: bytes) -> list[bytes]:
    """The records in a frame's body; raises `DamagedTailError` where their lengths do not fit."""
    found: list[bytes] = []
    position = 0
    while position < len(body):
        start = position + RECORD_BYTES
        position = start + int.from_bytes(body[position:start])
        if position > len(body):
            raise DamagedTailError("holds a record that is longer than its frame")
        found.append(body[start:position])
    return found


def read(data: bytes, seed: bytes, start: int = 0) -> list[bytes]:
    """The records in a tail from `start` on, without a torn last frame.

    Raises `DamagedTailError`, which says at which byte.
    """
    records: list[bytes] = []
    sequence = 0
    link = seed[:LINK_BYTES]
    while start < len(data):
        head = complete_frame_at(data, start, seed)
        if head is None:
            check_end(data, start, seed)
            break
        if head.sequence != sequence + 1 or head.link != link:
            raise DamagedTailError(f"has a frame at byte {start} that does not follow the one before")
        records += decode_records(data[start + HEAD.size : head.end - 1])
        start = head.end
        sequence = head.sequence
        link = head.digest[:LINK_BYTES]
    return records


def check_end(data: bytes, start: int, seed: bytes) -> None:
    """Raise `DamagedTailError` unless everything from `start` on is a torn write that was never synced."""
    position = data.find(seed[:4], start + 1)
    while position >= 0:
        if complete_frame_at(data, position, seed):
            raise DamagedTailError(f"is damaged at byte {start}, with whole frames behind it")
        position = data.find(seed[:4], position + 1)
    head = frame_head_at(data, start, seed)
    is_truncated = head.end > len(data) if head else len(data) - start < HEAD.size
    if not is_truncated and not lacks_sector(data, start):
        raise DamagedTailError(f"is damaged at byte {start}, in its last frame")


def lacks_sector(data: bytes, start: int) -> bool:
    """Whether a sector, or the part of one behind `start`, is all zeroes, or the last byte is."""
    if not data[-1]:
        return True
    while start < len(data):
        end = (start // SECTOR_BYTES + 1) * SECTOR_BYTES
        if not any(data[start:end]):
            return True
        start = end
    return False
