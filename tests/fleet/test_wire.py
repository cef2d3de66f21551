"""The control protocol: frames split by the stream, length limits, versions, invalid messages."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from molereach.fleet import wire
from molereach.fleet.orders import Decided, Order, OrderStateRecord, Verb
from molereach.fleet.wire import (
    FrameReader,
    Request,
    Response,
    WireError,
    decode_request,
    decode_response,
    frame,
)

RECORD = OrderStateRecord(3, (Decided(3, Order("o1", Verb.DRAIN, "s1", "duty", "replaced", 2)),))


@given(
    st.lists(
        st.sampled_from(
            [
                Request(2, 7, "state"),
                Request(2, 8, "quota", customer="0" * 16),
                Request(2, 9, "put", order_state=RECORD),
            ]
        ),
        max_size=5,
    ),
    st.integers(1, 40),
)
def test_frames_are_complete_however_the_stream_is_split(requests: list[Request], chunk_bytes: int) -> None:
    data = b"".join(map(frame, requests))
    reader, decoded = FrameReader(wire.MAX_REQUEST_BYTES), []
    for start in range(0, len(data), chunk_bytes):
        reader.feed(data[start : start + chunk_bytes])
        while (body := reader.next()) is not None:
            decoded.append(decode_request(body))
    assert decoded == requests and not reader.buffer


def test_length_is_checked_before_the_body_arrives() -> None:
    for head in (b"\xff\xff\xff\xff", b"\0\0\0\0", (wire.MAX_REQUEST_BYTES + 1).to_bytes(4)):
        reader = FrameReader(wire.MAX_REQUEST_BYTES)
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
def test_error_names_what_is_invalid_in_a_request(body: bytes, reason: str) -> None:
    with pytest.raises(WireError, match=reason):
        decode_request(body)


def test_invalid_response_and_too_long_request_are_rejected() -> None:
    response = Response(2, 4, counters={"asks": 2})
    assert decode_response(frame(response)[4:]) == response
    for body in (b"{}", b'{"version":9,"number":1}'):
        with pytest.raises(WireError):
            decode_response(body)
    with pytest.raises(WireError, match="at most"):
        frame(Request(2, 1, "quota", customer="x" * wire.MAX_REQUEST_BYTES))
