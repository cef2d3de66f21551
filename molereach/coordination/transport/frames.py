"""Authenticated frames between two proxies: split from a byte stream, sealed and opened. Sans-I/O.

A frame is four bytes of length (big-endian), a body of that length, and a tag of 16 bytes: BLAKE2b (RFC 7693)
under the shared key over the session, the direction, the frame's number and the body. So a frame of another
session or direction, or one that is repeated, omitted or reordered, does not open. Bodies are not encrypted.
A `FrameError` ends the connection, as nothing after it can be trusted.
"""

import hashlib
import hmac

from molereach.coordination.transport.errors import FrameError

LENGTH_BYTES = 4
TAG_BYTES = 16
NUMBER_BYTES = 8
MAX_BODY_BYTES = 1 << 20
OVERHEAD_BYTES = LENGTH_BYTES + TAG_BYTES
PURPOSE = b"molereach-frame"  # separates these tags from other uses of the key
DIALLER = b"d"  # the direction of frames that the dialler sends
LISTENER = b"l"


def length_prefix(body: bytes) -> bytes:
    """The encoded length of a body."""
    return len(body).to_bytes(LENGTH_BYTES, "big")


class FrameSplitter:
    """Splits a byte stream into frames. A length is checked before its bytes are buffered.

    `max_body_bytes` and `tag_bytes` hold for the next frame; they change when the handshake is complete.
    """

    __slots__ = ("buffer", "max_body_bytes", "tag_bytes")

    def __init__(self, max_body_bytes: int, tag_bytes: int) -> None:
        self.buffer = bytearray()
        self.max_body_bytes = max_body_bytes
        self.tag_bytes = tag_bytes

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self.buffer += data

    def next_frame(self) -> bytes | None:
        """The next complete frame as body and tag, without its length; None if it is incomplete."""
        buffer = self.buffer
        if len(buffer) < LENGTH_BYTES:
            return None
        size = int.from_bytes(buffer[:LENGTH_BYTES], "big")
        if not 0 < size <= self.max_body_bytes:
            raise FrameError(f"a frame of {size} bytes; 1 to {self.max_body_bytes} are taken")
        end = LENGTH_BYTES + size + self.tag_bytes
        if len(buffer) < end:
            return None
        frame = bytes(buffer[LENGTH_BYTES:end])
        del buffer[:end]
        return frame


class _TagSequence:
    """The tags of the frames of one direction, in order."""

    __slots__ = ("frame_number", "keyed_hash")

    def __init__(self, key: bytes, session: bytes, direction: bytes) -> None:
        self.keyed_hash = hashlib.blake2b(session + direction, key=key, digest_size=TAG_BYTES, person=PURPOSE)
        self.frame_number = 0

    def next_tag(self, body: bytes) -> bytes:
        """The tag of the next frame, which has this body."""
        tag = self.keyed_hash.copy()
        tag.update(self.frame_number.to_bytes(NUMBER_BYTES, "big"))
        tag.update(body)
        self.frame_number += 1
        return tag.digest()


class FrameSealer(_TagSequence):
    """Makes the frames of one direction."""

    __slots__ = ()

    def seal(self, body: bytes) -> bytes:
        """The frame of a body; FrameError for a size that the peer would reject."""
        if not 0 < len(body) <= MAX_BODY_BYTES:
            raise FrameError(f"a body of {len(body)} bytes; 1 to {MAX_BODY_BYTES} are sent")
        return b"".join((length_prefix(body), body, self.next_tag(body)))


class FrameOpener(_TagSequence):
    """Verifies the frames of one direction."""

    __slots__ = ()

    def open(self, frame: bytes) -> bytes:
        """The body of a frame from `FrameSplitter`; FrameError if its tag is not the next one."""
        body = frame[:-TAG_BYTES]
        tag = frame[-TAG_BYTES:]
        if not hmac.compare_digest(tag, self.next_tag(body)):
            raise FrameError(f"frame {self.frame_number}: its tag is wrong")
        return body
