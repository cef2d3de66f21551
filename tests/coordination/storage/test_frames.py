"""Frames: a truncation or a lost sector is a torn end, and any flipped byte is damage."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from molereach.coordination.storage import frames
from molereach.coordination.storage.errors import DamagedTailError
from molereach.coordination.storage.frames import FRAME_OVERHEAD_BYTES, FrameChain, digest, read_records

SEED = digest(b"seed")
WRITES = [[b"one"], [b"two", b""], [b"x" * 700], [b"four" * 9, b"five"]]


def encode_frames(writes: list[list[bytes]] = WRITES, seed: bytes = SEED) -> list[bytes]:
    chain = FrameChain(seed)
    return [chain.frame(records) for records in writes]


def all_records(writes: list[list[bytes]]) -> list[bytes]:
    return [record for records in writes for record in records]


@given(st.lists(st.lists(st.binary(max_size=40), max_size=4), max_size=5), st.integers(0, 30))
def test_written_records_are_read(writes: list[list[bytes]], start: int) -> None:
    assert read_records(bytes(start) + b"".join(encode_frames(writes)), SEED, start) == all_records(writes)


def test_complete_frames_survive_truncation_at_any_byte() -> None:
    encoded = encode_frames()
    data = b"".join(encoded)
    ends = [len(b"".join(encoded[:count])) for count in range(len(encoded) + 1)]
    for length in range(len(data) + 1):
        count = max(index for index, end in enumerate(ends) if end <= length)
        assert read_records(data[:length], SEED) == all_records(WRITES[:count])


def test_last_frame_with_zeroes_from_any_byte_on_is_torn() -> None:
    data = b"".join(encode_frames())
    last = len(data) - len(encode_frames()[-1])
    for length in range(last, len(data)):
        assert read_records(data[:length] + bytes(len(data) - length), SEED) == all_records(WRITES[:-1])


def test_last_frame_without_any_one_sector_is_torn() -> None:
    first, large = encode_frames([[b"one"], [b"y" * 3000]])
    data = first + large
    for start in range(0, len(data), 512):
        begin, end = max(start, len(first)), start + 512
        assert read_records(data[:begin] + bytes(len(data[begin:end])) + data[end:], SEED) == [b"one"]


def test_any_flipped_byte_is_rejected() -> None:
    data = b"".join(encode_frames())
    for index in range(len(data)):
        damaged = bytearray(data)
        damaged[index] ^= 1 + index % 200
        if index == len(data) - 1:
            damaged[index] = 1  # a zero would be an unwritten end marker
        with pytest.raises(DamagedTailError, match=r"damaged at byte|does not follow"):
            read_records(bytes(damaged), SEED)


def test_zeroes_or_a_gap_before_complete_frames_are_damage() -> None:
    encoded = encode_frames()
    for replacement in (bytes(len(encoded[1])), bytes(512), b"", encoded[1][:-9], encoded[1][30:]):
        with pytest.raises(DamagedTailError, match=r"whole frames behind it|does not follow"):
            read_records(encoded[0] + replacement + b"".join(encoded[2:]), SEED)


def test_frames_of_another_history_or_out_of_order_are_damage() -> None:
    encoded, others = encode_frames(), encode_frames([[b"other"], *WRITES[1:]])
    for mixed in (encoded[0] + others[1], encoded[0] + encoded[2], encoded[0] + encoded[0]):
        with pytest.raises(DamagedTailError, match="does not follow"):
            read_records(mixed, SEED)
    for foreign in (b"".join(encoded), encoded[0][:-1]):
        with pytest.raises(DamagedTailError, match="damaged at byte 0"):
            read_records(foreign, digest(b"another seed"))
    chain = FrameChain(SEED)
    chain.sequence = 1
    with pytest.raises(DamagedTailError, match="does not follow"):
        read_records(chain.frame([b"second"]), SEED)
    with pytest.raises(DamagedTailError, match="longer than its frame"):
        frames.decode_records(b"\0\0\0\5four")


def test_frame_inside_a_record_does_not_count_as_a_later_frame() -> None:
    """Guards against a torn write that is rejected as damage because a record in it contains a whole frame.

    Such a frame belongs to another tail, whose marker differs because it follows from the seed.
    """
    inner = b"".join(encode_frames([[b"a"], [b"b"]], digest(b"another tail")))
    first, torn = encode_frames([[b"one"], [inner]])
    assert read_records(first + torn[:-2], SEED) == [b"one"]


def test_too_large_record_or_frame_is_rejected_on_write_and_on_read(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frames, "MAX_RECORD_BYTES", 8)
    with pytest.raises(ValueError, match="a record of 9 bytes; 8 at most"):
        FrameChain(SEED).frame([b"", bytes(9)])
    [large] = encode_frames([[b"12345678"]])
    monkeypatch.setattr(frames, "MAX_FRAME_BYTES", 11)
    with pytest.raises(ValueError, match="12 bytes for one write; 11 at most"):
        FrameChain(SEED).frame([b"12345678"])
    with pytest.raises(DamagedTailError):
        read_records(large, SEED)


def test_frame_overhead_is_45_bytes_and_4_for_each_record() -> None:
    assert FRAME_OVERHEAD_BYTES == 45 and [
        len(frame) for frame in encode_frames([[b"a" * 100], [b"", b""]])
    ] == [149, 53]
