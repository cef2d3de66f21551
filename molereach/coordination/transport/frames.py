"""Frames between two front doors: cut from a stream of bytes, sealed and opened. A core.

A frame is four bytes of length (big-endian), that many bytes of body, and a tag of 16 bytes: BLAKE2b
(RFC 7693) under the shared key over the session, the direction, the number of the frame and the body. So a
frame of another session, of the other side, doubled, left out or overtaken does not open. Nothing is hidden:
who reads along reads the bodies. What is wrong costs the connection, as nothing after it can be trusted.
"""

import hashlib
import hmac

LENGTH_BYTES = 4
TAG_BYTES = 16
NUMBER_BYTES = 8
MAX_BODY_BYTES = 1 << 20
OVERHEAD_BYTES = LENGTH_BYTES + TAG_BYTES
PURPOSE = b"molereach-frame"  # the key has other uses: no tag of one may pass for another's
DIALLER, LISTENER = b"d", b"l"  # whose frames they are


class FrameError(ValueError):
    """What came is no frame of this session; one plain line."""


def length_prefix(body: bytes) -> bytes:
    return len(body).to_bytes(LENGTH_BYTES, "big")


class FrameSplitter:
    """Cuts a stream into frames, each given as its body and tail in one; the bound holds before room is made.

    `most` and `tail` are of the next frame: they change when the handshake is over.
    """

    __slots__ = ("buffer", "max_body_bytes", "tag_bytes")

    def __init__(self, most: int, tail: int) -> None:
        self.buffer, self.max_body_bytes, self.tag_bytes = bytearray(), most, tail

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def next_frame(self) -> bytes | None:
        """The next whole frame, without its length; None if there is none yet."""
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
    """The tags of one direction, in order."""

    __slots__ = ("frame_number", "keyed_hash")

    def __init__(self, key: bytes, session: bytes, direction: bytes) -> None:
        self.keyed_hash = hashlib.blake2b(session + direction, key=key, digest_size=TAG_BYTES, person=PURPOSE)
        self.frame_number = 0

    def next_tag(self, body: bytes) -> bytes:
        tag = self.keyed_hash.copy()
        tag.update(self.frame_number.to_bytes(NUMBER_BYTES, "big"))
        tag.update(body)
        self.frame_number += 1
        return tag.digest()


class FrameSealer(_TagSequence):
    """Makes frames of bodies."""

    __slots__ = ()

    def seal(self, body: bytes) -> bytes:
        """FrameError for a body that the other side would not take."""
        if not 0 < len(body) <= MAX_BODY_BYTES:
            raise FrameError(f"a body of {len(body)} bytes; 1 to {MAX_BODY_BYTES} are sent")
        return b"".join((length_prefix(body), body, self.next_tag(body)))


class FrameOpener(_TagSequence):
    """Takes bodies out of frames."""

    __slots__ = ()

    def open(self, frame: bytes) -> bytes:
        """The body of what `Cutter` gave; FrameError where the tag is not the next one of the other side."""
        body, tag = frame[:-TAG_BYTES], frame[-TAG_BYTES:]
        if not hmac.compare_digest(tag, self.next_tag(body)):
            raise FrameError(f"frame {self.frame_number}: its tag is wrong")
        return body
