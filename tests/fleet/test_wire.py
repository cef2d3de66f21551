"""The control protocol: frames in pieces, bounds, versions, what is no message."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from molereach.fleet import wire
from molereach.fleet.orders import BookState, Decided, Order, Verb
from molereach.fleet.wire import (
    Answer,
    Ask,
    FrameReader,
    WireError,
    frame,
    read_answer,
    read_ask,
)

BOOK = BookState(3, (Decided(3, Order("o1", Verb.DRAIN, "s1", "duty", "replaced", 2)),))


@given(
    st.lists(
        st.sampled_from(
            [
                Ask(2, 7, "state"),
                Ask(2, 8, "quota", customer="0" * 16),
                Ask(2, 9, "put", book=BOOK),
            ]
        ),
        max_size=5,
    ),
    st.integers(1, 40),
)
def test_frames_come_out_whole_however_they_are_cut(asks: list[Ask], size: int) -> None:
    data = b"".join(map(frame, asks))
    reader, found = FrameReader(wire.MOST_ASK_BYTES), []
    for start in range(0, len(data), size):
        reader.feed(data[start : start + size])
        while (body := reader.next()) is not None:
            found.append(read_ask(body))
    assert found == asks and not reader.buffer


def test_length_is_checked_before_anything_is_waited_for() -> None:
    for head in (b"\xff\xff\xff\xff", b"\0\0\0\0", (wire.MOST_ASK_BYTES + 1).to_bytes(4)):
        reader = FrameReader(wire.MOST_ASK_BYTES)
        reader.feed(head)
        with pytest.raises(WireError, match="a frame of"):
            reader.next()


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        (b"", "truncated"),
        (b"\xff", "JSON"),
        (b"[]", "object"),
        (b"{}", "version"),
        (b'{"version":1,"number":1,"what":"fly"}', r"\$\.what"),
        (b'{"version":1,"number":1,"what":"state","more":1}', "more"),
        (b'{"version":1,"number":1,"what":"state"}', "version 1 is not spoken here; 2 is"),
        (b'{"version":2,"number":1,"what":"put","book":{"revision":1,"in_force":[{}]}}', r"in_force"),
    ],
)
def test_what_is_no_ask_is_named(body: bytes, reason: str) -> None:
    with pytest.raises(WireError, match=reason):
        read_ask(body)


def test_answers_are_checked_too_and_bounded() -> None:
    answer = Answer(2, 4, counters={"asks": 2})
    assert read_answer(frame(answer)[4:]) == answer
    for body in (b"{}", b'{"version":9,"number":1}'):
        with pytest.raises(WireError):
            read_answer(body)
    with pytest.raises(WireError, match="at most"):
        frame(Ask(2, 1, "quota", customer="x" * wire.MOST_ASK_BYTES))
