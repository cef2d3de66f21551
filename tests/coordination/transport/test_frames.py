"""Frames: only the next one of the same session and side opens, and no length makes room before its time."""

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


def sealed() -> bytes:
    sealer = frames.FrameSealer(KEY, SESSION, FROM_DIALLER)
    return b"".join(map(sealer.seal, BODIES))


def opened(
    data: bytes,
    step: int = 1 << 20,
    *,
    key: bytes = KEY,
    session: bytes = SESSION,
    direction: bytes = FROM_DIALLER,
) -> list[bytes]:
    """What opens of a stream that comes in pieces of `step` bytes."""
    cutter, opener = FrameSplitter(frames.MAX_BODY_BYTES, TAG_BYTES), FrameOpener(key, session, direction)
    found = []
    for start in range(0, len(data), step):
        cutter.feed(data[start : start + step])
        while (frame := cutter.next_frame()) is not None:
            found.append(opener.open(frame))
    return found


@pytest.mark.parametrize("step", [1, 7, 1000])
def test_bodies_are_complete_however_the_stream_is_split(step: int) -> None:
    assert opened(sealed(), step) == BODIES


@pytest.mark.parametrize("other", [{"key": b"o" * 32}, {"session": b"o" * 32}, {"direction": FROM_LISTENER}])
def test_frames_of_another_key_session_or_direction_do_not_open(other: dict[str, bytes]) -> None:
    with pytest.raises(FrameError, match="tag"):
        opened(sealed(), **other)


def test_a_repeated_omitted_or_reordered_frame_does_not_open() -> None:
    sealer = frames.FrameSealer(KEY, SESSION, FROM_DIALLER)
    first, second = sealer.seal(b"first"), sealer.seal(b"second")
    for data in (first + first, second, second + first):
        with pytest.raises(FrameError, match="tag"):
            opened(data)


def test_a_frame_with_any_flipped_bit_does_not_open() -> None:
    whole = frames.FrameSealer(KEY, SESSION, FROM_DIALLER).seal(b"a body")
    for place in range(len(whole)):
        data = bytearray(whole)
        data[place] ^= 1
        try:
            assert opened(bytes(data)) == []  # a longer length: the frame is not whole
        except FrameError:
            continue
        assert place < frames.LENGTH_BYTES


@pytest.mark.parametrize("size", [0, frames.MAX_BODY_BYTES + 1, (1 << 32) - 1])
def test_an_invalid_length_is_rejected_before_the_body_arrives(size: int) -> None:
    cutter = FrameSplitter(frames.MAX_BODY_BYTES, TAG_BYTES)
    cutter.feed(size.to_bytes(frames.LENGTH_BYTES, "big"))
    with pytest.raises(FrameError, match=f"{size} bytes"):
        cutter.next_frame()


@pytest.mark.parametrize("size", [0, frames.MAX_BODY_BYTES + 1])
def test_a_body_of_invalid_size_is_not_sealed(size: int) -> None:
    with pytest.raises(FrameError, match=f"{size} bytes"):
        frames.FrameSealer(KEY, SESSION, FROM_DIALLER).seal(bytes(size))
