"""Frames: every cut and every lost sector is a torn end, and every flipped byte is damage."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from molereach.coordination.storage import frames
from molereach.coordination.storage.errors import DamagedTailError
from molereach.coordination.storage.frames import FRAME_BYTES, FrameChain, digest, read

SEED = digest(b"seed")
WRITES = [[b"one"], [b"two", b""], [b"x" * 700], [b"four" * 9, b"five"]]


def made(writes: list[list[bytes]] = WRITES, seed: bytes = SEED) -> list[bytes]:
    chain = FrameChain(seed)
    return [chain.frame(records) for records in writes]


def records(writes: list[list[bytes]]) -> list[bytes]:
    return [record for records in writes for record in records]


@given(st.lists(st.lists(st.binary(max_size=40), max_size=4), max_size=5), st.integers(0, 30))
def test_what_is_written_is_read(writes: list[list[bytes]], start: int) -> None:
    assert read(bytes(start) + b"".join(made(writes)), SEED, start) == records(writes)


def test_cut_at_every_byte_the_complete_frames_are_there() -> None:
    parts = made()
    data = b"".join(parts)
    ends = [len(b"".join(parts[:count])) for count in range(len(parts) + 1)]
    for cut in range(len(data) + 1):
        count = max(at for at, end in enumerate(ends) if end <= cut)
        assert read(data[:cut], SEED) == records(WRITES[:count])


def test_last_frame_that_is_zeroes_from_any_byte_on_is_torn() -> None:
    data = b"".join(made())
    last = len(data) - len(made()[-1])
    for cut in range(last, len(data)):
        assert read(data[:cut] + bytes(len(data) - cut), SEED) == records(WRITES[:-1])


def test_last_frame_that_lacks_any_one_sector_is_torn() -> None:
    first, large = made([[b"one"], [b"y" * 3000]])
    data = first + large
    for start in range(0, len(data), 512):
        begin, end = max(start, len(first)), start + 512
        assert read(data[:begin] + bytes(len(data[begin:end])) + data[end:], SEED) == [b"one"]


def test_flipped_byte_anywhere_is_refused() -> None:
    data = b"".join(made())
    for at in range(len(data)):
        damaged = bytearray(data)
        damaged[at] ^= 1 + at % 200
        if at == len(data) - 1:
            damaged[at] = 1  # zero is an end that was not written
        with pytest.raises(DamagedTailError, match=r"damaged at byte|does not follow"):
            read(bytes(damaged), SEED)


def test_zeroes_or_a_gap_before_complete_frames_are_damage() -> None:
    parts = made()
    for gone in (bytes(len(parts[1])), bytes(512), b"", parts[1][:-9], parts[1][30:]):
        with pytest.raises(DamagedTailError, match=r"whole frames behind it|does not follow"):
            read(parts[0] + gone + b"".join(parts[2:]), SEED)


def test_frames_of_another_history_or_out_of_order_are_damage() -> None:
    parts, others = made(), made([[b"other"], *WRITES[1:]])
    for mixed in (parts[0] + others[1], parts[0] + parts[2], parts[0] + parts[0]):
        with pytest.raises(DamagedTailError, match="does not follow"):
            read(mixed, SEED)
    for foreign in (b"".join(parts), parts[0][:-1]):
        with pytest.raises(DamagedTailError, match="damaged at byte 0"):
            read(foreign, digest(b"another seed"))
    chain = FrameChain(SEED)
    chain.sequence = 1
    with pytest.raises(DamagedTailError, match="does not follow"):
        read(chain.frame([b"second"]), SEED)
    with pytest.raises(DamagedTailError, match="longer than its frame"):
        frames.decode_records(b"\0\0\0\5four")


def test_complete_frame_within_a_record_is_not_taken_for_one_behind_it() -> None:
    """A record may hold what looks like a frame: of another tail, as the marker follows from the seed."""
    inner = b"".join(made([[b"a"], [b"b"]], digest(b"another tail")))
    first, torn = made([[b"one"], [inner]])
    assert read(first + torn[:-2], SEED) == [b"one"]


def test_too_large_is_refused_when_written_and_never_believed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frames, "MAX_RECORD_BYTES", 8)
    with pytest.raises(ValueError, match="a record of 9 bytes; 8 at most"):
        FrameChain(SEED).frame([b"", bytes(9)])
    [large] = made([[b"12345678"]])
    monkeypatch.setattr(frames, "MAX_FRAME_BYTES", 11)
    with pytest.raises(ValueError, match="12 bytes for one write; 11 at most"):
        FrameChain(SEED).frame([b"12345678"])
    with pytest.raises(DamagedTailError):
        read(large, SEED)


def test_a_frame_takes_45_bytes_and_4_for_each_record() -> None:
    assert FRAME_BYTES == 45 and [len(part) for part in made([[b"a" * 100], [b"", b""]])] == [149, 53]
