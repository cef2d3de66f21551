"""Frames: only the next one of the same session and direction opens; lengths are checked on arrival."""

import pytest

from molereach.coordination.transport import frames
from molereach.coordination.transport.frames import (
    FROM_DIALLER,
    FROM_LISTENER,
    TAG_BYTES,
    FrameError,
    FrameOpener,
    FrameSplitter,
)

KEY, SESSION = b"k" * 32, b"s" * 32
BODIES = [b"one", b"two" * 100, b"\0"]


def sealed_frames() -> bytes:
    sealer = frames.FrameSealer(KEY, SESSION, FROM_DIALLER)
    return b"".join(map(sealer.seal, BODIES))


def open_frames(
    data: bytes,
    chunk_bytes: int = 1 << 20,
    *,
    key: bytes = KEY,
    session: bytes = SESSION,
    direction: bytes = FROM_DIALLER,
) -> list[bytes]:
    """The bodies of a stream that arrives in chunks of `chunk_bytes`."""
    splitter, opener = FrameSplitter(frames.MAX_BODY_BYTES, TAG_BYTES), FrameOpener(key, session, direction)
    bodies = []
    for start in range(0, len(data), chunk_bytes):
        splitter.feed(data[start : start + chunk_bytes])
        while (frame := splitter.next_frame()) is not None:
            bodies.append(opener.open(frame))
    return bodies


@pytest.mark.parametrize("chunk_bytes", [1, 7, 1000])
def test_bodies_are_complete_however_the_stream_is_split(chunk_bytes: int) -> None:
    assert open_frames(sealed_frames(), chunk_bytes) == BODIES


@pytest.mark.parametrize("other", [{"key": b"o" * 32}, {"session": b"o" * 32}, {"direction": FROM_LISTENER}])
def test_frames_of_another_key_session_or_direction_do_not_open(other: dict[str, bytes]) -> None:
    with pytest.raises(FrameError, match="tag"):
        open_frames(sealed_frames(), **other)


def test_a_repeated_omitted_or_reordered_frame_does_not_open() -> None:
    sealer = frames.FrameSealer(KEY, SESSION, FROM_DIALLER)
    first, second = sealer.seal(b"first"), sealer.seal(b"second")
    for data in (first + first, second, second + first):
        with pytest.raises(FrameError, match="tag"):
            open_frames(data)


def test_a_frame_with_any_flipped_bit_does_not_open() -> None:
    frame = frames.FrameSealer(KEY, SESSION, FROM_DIALLER).seal(b"a body")
    for offset in range(len(frame)):
        data = bytearray(frame)
        data[offset] ^= 1
        try:
            assert open_frames(bytes(data)) == []  # a greater length: the frame is incomplete
        except FrameError:
            continue
        assert offset < frames.LENGTH_BYTES


@pytest.mark.parametrize("size", [0, frames.MAX_BODY_BYTES + 1, (1 << 32) - 1])
def test_an_invalid_length_is_rejected_before_the_body_arrives(size: int) -> None:
    splitter = FrameSplitter(frames.MAX_BODY_BYTES, TAG_BYTES)
    splitter.feed(size.to_bytes(frames.LENGTH_BYTES, "big"))
    with pytest.raises(FrameError, match=f"{size} bytes"):
        splitter.next_frame()


@pytest.mark.parametrize("size", [0, frames.MAX_BODY_BYTES + 1])
def test_a_body_of_invalid_size_is_not_sealed(size: int) -> None:
    with pytest.raises(FrameError, match=f"{size} bytes"):
        frames.FrameSealer(KEY, SESSION, FROM_DIALLER).seal(bytes(size))
