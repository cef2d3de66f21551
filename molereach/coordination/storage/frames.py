"""The frames of a tail: one frame for each write, which makes the write atomic.

A frame is written only after the previous one is known to be on the disk. A crash can therefore tear only the
last frame, and a complete frame after an incomplete one proves that synced data was damaged. A torn frame is
truncated, or one of its disk sectors was never written and reads as zeroes. Anything else is damage and is
rejected, because a crash and corruption must be told apart (Alagappan, "Protocol-Aware Recovery for
Consensus-Based Storage", 2018).

Layout of a frame, with sizes in bytes:

    marker 4 | body length 4 | sequence number 8 | link 8 | CRC-32 of these 4 | digest 16 | body | end 1

The link is the first half of the previous frame's digest and is covered by the digest, so frames of different
histories cannot be mixed. The digest of a frame depends on no other frame, so a frame after a gap can be
recognized as complete. The body holds records, each preceded by its length (4). The marker is the start of
the seed, which is unique to the tail.
"""

import hashlib
import struct
from collections.abc import Sequence
from typing import NamedTuple
from zlib import crc32

from molereach.coordination.storage.errors import DamagedTailError

HEADER = struct.Struct(">4sIQ8sI16s")
CHECKED_HEADER = struct.Struct(">4sIQ8s")  # the fields covered by the header's checksum
RECORD_LENGTH = struct.Struct(">I")
END_MARKER = b"\xa5"  # not zero, so that an unwritten one is detected
FRAME_OVERHEAD_BYTES = HEADER.size + len(END_MARKER)  # of a frame in addition to its body
RECORD_OVERHEAD_BYTES = RECORD_LENGTH.size  # in addition to the record
DIGEST_BYTES = 16
LINK_BYTES = 8
SECTOR_BYTES = 512  # written by the disk as a whole or not at all
MAX_RECORD_BYTES = 4 << 20
MAX_FRAME_BYTES = 16 << 20  # of one frame's body
MAX_TAIL_BYTES = MAX_FRAME_BYTES  # of all frames after one base, so that they can be copied into one frame


class FrameHeader(NamedTuple):
    """The header of a frame; `end` is the file position after the frame."""

    end: int
    sequence: int
    link: bytes
    digest: bytes


def digest(*chunks: bytes) -> bytes:
    """The BLAKE2b digest of the chunks in order."""
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for chunk in chunks:
        state.update(chunk)
    return state.digest()


def body_size(records: Sequence[bytes]) -> int:
    """The size of a frame's body in bytes."""
    return sum(map(len, records)) + RECORD_OVERHEAD_BYTES * len(records)


class FrameChain:
    """Encodes the frames of one tail, each linked to the previous one."""

    def __init__(self, seed: bytes) -> None:
        self.seed = seed
        self.sequence = 0
        self.link = seed[:LINK_BYTES]

    def frame(self, records: Sequence[bytes]) -> bytes:
        """Encode the next frame; raises a ValueError if a record or the body is too large."""
        if any(len(record) > MAX_RECORD_BYTES for record in records):
            raise ValueError(f"a record of {max(map(len, records))} bytes; {MAX_RECORD_BYTES} at most")
        body = b"".join(RECORD_LENGTH.pack(len(record)) + record for record in records)
        if len(body) > MAX_FRAME_BYTES:
            raise ValueError(f"{len(body)} bytes for one write; {MAX_FRAME_BYTES} at most")
        self.sequence += 1
        header = CHECKED_HEADER.pack(self.seed[:4], len(body), self.sequence, self.link)
        frame_digest = digest(self.seed, header, body)
        self.link = frame_digest[:LINK_BYTES]
        return header + crc32(header).to_bytes(4) + frame_digest + body + END_MARKER


def frame_header_at(data: bytes, start: int, seed: bytes) -> FrameHeader | None:
    """The header of the frame at `start`, or None if it is invalid."""
    if len(data) - start < HEADER.size:
        return None
    marker, length, sequence, link, check, frame_digest = HEADER.unpack_from(data, start)
    is_valid = marker == seed[:4] and length <= MAX_FRAME_BYTES
    if not is_valid or crc32(data[start : start + CHECKED_HEADER.size]) != check:
        return None
    return FrameHeader(start + FRAME_OVERHEAD_BYTES + length, sequence, link, frame_digest)


def complete_frame_at(data: bytes, start: int, seed: bytes) -> FrameHeader | None:
    """The header of the frame at `start` if the frame is complete and undamaged, else None."""
    header = frame_header_at(data, start, seed)
    if header is None or header.end > len(data) or data[header.end - 1 : header.end] != END_MARKER:
        return None
    body = data[start + HEADER.size : header.end - 1]
    return header if digest(seed, data[start : start + CHECKED_HEADER.size], body) == header.digest else None


def decode_records(body: bytes) -> list[bytes]:
    """Decode the records of a body; raises `DamagedTailError` if a record exceeds the body."""
    records: list[bytes] = []
    position = 0
    while position < len(body):
        start = position + RECORD_OVERHEAD_BYTES
        position = start + int.from_bytes(body[position:start])
        if position > len(body):
            raise DamagedTailError("holds a record that is longer than its frame")
        records.append(body[start:position])
    return records


def read_records(data: bytes, seed: bytes, start: int = 0) -> list[bytes]:
    """The records of a tail from `start` on; a torn last frame is ignored.

    Raises `DamagedTailError` with the position of the damage.
    """
    records: list[bytes] = []
    sequence = 0
    link = seed[:LINK_BYTES]
    while start < len(data):
        header = complete_frame_at(data, start, seed)
        if header is None:
            check_torn_end(data, start, seed)
            break
        if header.sequence != sequence + 1 or header.link != link:
            raise DamagedTailError(f"has a frame at byte {start} that does not follow the one before")
        records += decode_records(data[start + HEADER.size : header.end - 1])
        start = header.end
        sequence = header.sequence
        link = header.digest[:LINK_BYTES]
    return records


def check_torn_end(data: bytes, start: int, seed: bytes) -> None:
    """Raise `DamagedTailError` unless everything from `start` on is a torn write that was never synced."""
    position = data.find(seed[:4], start + 1)
    while position >= 0:
        if complete_frame_at(data, position, seed):
            raise DamagedTailError(f"is damaged at byte {start}, with whole frames behind it")
        position = data.find(seed[:4], position + 1)
    header = frame_header_at(data, start, seed)
    is_truncated = header.end > len(data) if header else len(data) - start < HEADER.size
    if not is_truncated and not has_unwritten_sector(data, start):
        raise DamagedTailError(f"is damaged at byte {start}, in its last frame")


def has_unwritten_sector(data: bytes, start: int) -> bool:
    """Whether the last byte is zero, or a sector from `start` on consists of zeroes only."""
    if not data[-1]:
        return True
    while start < len(data):
        end = (start // SECTOR_BYTES + 1) * SECTOR_BYTES
        if not any(data[start:end]):
            return True
        start = end
    return False
