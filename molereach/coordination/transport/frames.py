"""Authenticated frames between two proxies: splitting a byte stream, sealing and opening. Sans-I/O.

A frame consists of a length of four bytes (big-endian), a body of that length and an authentication tag of 16
bytes. The tag is BLAKE2b (RFC 7693), keyed with the shared key, over the session, the direction, the frame
number and the body. So a frame of another session or direction fails verification, as does one that is
repeated, reordered or follows an omitted frame. Bodies are not encrypted. A `FrameError` closes the
connection, as the rest of the stream cannot be trusted.
"""

import hashlib
import hmac

from molereach.coordination.transport.errors import FrameError

LENGTH_BYTES = 4
TAG_BYTES = 16
FRAME_NUMBER_BYTES = 8
MAX_BODY_BYTES = 1 << 20
OVERHEAD_BYTES = LENGTH_BYTES + TAG_BYTES
PERSONALIZATION = b"molereach-frame"  # separates these tags from other uses of the key
FROM_DIALLER = b"d"  # direction of the frames that the dialler sends
FROM_LISTENER = b"l"  # direction of the frames that the listener sends


def length_prefix(body: bytes) -> bytes:
    """The length field of a frame."""
    return len(body).to_bytes(LENGTH_BYTES, "big")


class FrameSplitter:
    """Splits a byte stream into frames. A length is checked before the rest of its frame is buffered.

    `max_body_bytes` and `tag_bytes` apply to the next frame; they change when the handshake is complete.
    """

    __slots__ = ("buffer", "max_body_bytes", "tag_bytes")

    def __init__(self, max_body_bytes: int, tag_bytes: int) -> None:
        self.buffer = bytearray()
        self.max_body_bytes = max_body_bytes
        self.tag_bytes = tag_bytes

    def feed(self, data: bytes) -> None:
        """Append received bytes to the buffer."""
        self.buffer += data

    def next_frame(self) -> bytes | None:
        """The body and tag of the next frame, without its length; None if the frame is incomplete."""
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
    """Computes the tags of the frames of one direction, in order."""

    __slots__ = ("frame_number", "keyed_hash")

    def __init__(self, key: bytes, session: bytes, direction: bytes) -> None:
        self.keyed_hash = hashlib.blake2b(
            session + direction, key=key, digest_size=TAG_BYTES, person=PERSONALIZATION
        )
        self.frame_number = 0

    def next_tag(self, body: bytes) -> bytes:
        """The tag of the next frame, whose body is `body`."""
        tag = self.keyed_hash.copy()
        tag.update(self.frame_number.to_bytes(FRAME_NUMBER_BYTES, "big"))
        tag.update(body)
        self.frame_number += 1
        return tag.digest()


class FrameSealer(_TagSequence):
    """Creates the frames of one direction."""

    __slots__ = ()

    def seal(self, body: bytes) -> bytes:
        """The frame that contains a body; FrameError for a size that the peer would reject."""
        if not 0 < len(body) <= MAX_BODY_BYTES:
            raise FrameError(f"a body of {len(body)} bytes; 1 to {MAX_BODY_BYTES} are sent")
        return b"".join((length_prefix(body), body, self.next_tag(body)))


class FrameOpener(_TagSequence):
    """Verifies the frames of one direction."""

    __slots__ = ()

    def open(self, frame: bytes) -> bytes:
        """The body of a frame from `FrameSplitter`; FrameError if the tag is not that of the next frame."""
        body = frame[:-TAG_BYTES]
        tag = frame[-TAG_BYTES:]
        if not hmac.compare_digest(tag, self.next_tag(body)):
            raise FrameError(f"frame {self.frame_number}: its tag is wrong")
        return body
