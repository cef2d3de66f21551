"""Frames between two front doors: cut from a stream of bytes, sealed and opened. A core.

A frame is four bytes of length (big-endian), that many bytes of body, and a tag of 16 bytes: BLAKE2b
(RFC 7693) under the shared key over the session, the direction, the number of the frame and the body. So a
frame of another session, of the other side, doubled, left out or overtaken does not open. Nothing is hidden:
who reads along reads the bodies. What is wrong costs the connection, as nothing after it can be trusted.
"""

import hashlib
import hmac

HEAD_BYTES = 4
TAG_BYTES = 16
NUMBER_BYTES = 8
MOST_BODY_BYTES = 1 << 20
OVERHEAD_BYTES = HEAD_BYTES + TAG_BYTES
PURPOSE = b"molereach-frame"  # the key has other uses: no tag of one may pass for another's
DIALLER, LISTENER = b"d", b"l"  # whose frames they are


class FrameError(ValueError):
    """What came is no frame of this session; one plain line."""


def head(body: bytes) -> bytes:
    return len(body).to_bytes(HEAD_BYTES, "big")


class Cutter:
    """Cuts a stream into frames, each given as its body and tail in one; the bound holds before room is made.

    `most` and `tail` are of the next frame: they change when the handshake is over.
    """

    __slots__ = ("buffer", "most", "tail")

    def __init__(self, most: int, tail: int) -> None:
        self.buffer, self.most, self.tail = bytearray(), most, tail

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def next(self) -> bytes | None:
        """The next whole frame, without its length; None if there is none yet."""
        buffer = self.buffer
        if len(buffer) < HEAD_BYTES:
            return None
        size = int.from_bytes(buffer[:HEAD_BYTES], "big")
        if not 0 < size <= self.most:
            raise FrameError(f"a frame of {size} bytes; 1 to {self.most} are taken")
        end = HEAD_BYTES + size + self.tail
        if len(buffer) < end:
            return None
        frame = bytes(buffer[HEAD_BYTES:end])
        del buffer[:end]
        return frame


class _Tags:
    """The tags of one direction, in order."""

    __slots__ = ("number", "start")

    def __init__(self, key: bytes, session: bytes, direction: bytes) -> None:
        self.start = hashlib.blake2b(session + direction, key=key, digest_size=TAG_BYTES, person=PURPOSE)
        self.number = 0

    def next(self, body: bytes) -> bytes:
        tag = self.start.copy()
        tag.update(self.number.to_bytes(NUMBER_BYTES, "big"))
        tag.update(body)
        self.number += 1
        return tag.digest()


class Sealer(_Tags):
    """Makes frames of bodies."""

    __slots__ = ()

    def seal(self, body: bytes) -> bytes:
        """FrameError for a body that the other side would not take."""
        if not 0 < len(body) <= MOST_BODY_BYTES:
            raise FrameError(f"a body of {len(body)} bytes; 1 to {MOST_BODY_BYTES} are sent")
        return b"".join((head(body), body, self.next(body)))


class Opener(_Tags):
    """Takes bodies out of frames."""

    __slots__ = ()

    def open(self, frame: bytes) -> bytes:
        """The body of what `Cutter` gave; FrameError where the tag is not the next one of the other side."""
        body, tag = frame[:-TAG_BYTES], frame[-TAG_BYTES:]
        if not hmac.compare_digest(tag, self.next(body)):
            raise FrameError(f"frame {self.number}: its tag is wrong")
        return body
