"""Gossip on limits: round trips, datagrams within 256 bytes, authentication, layouts and malformed input."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from molereach.limits.gossip_codec import LimitGossipCodec
from molereach.policy.interface.events import GossipReceived
from molereach.policy.interface.messages import (
    GossipMessage,
    Join,
    JoinAcknowledged,
    Leave,
    LimitMessage,
    LoanGrant,
    LoanRequest,
    SpendingTotal,
)
from molereach.protocol.gossip_codec import RECORD, pack_messages, unpack_messages

KEYS = st.tuples(st.integers(0, 2**32 - 1), st.integers(0, 255), st.integers(0, 65535), st.integers(0, 65535))
NUMBERS = st.integers(0, 2**32 - 1)
LOAN_SHARES = st.integers(0, 10_000)
UNITS = st.integers(0, 10**7).map(lambda number: number / 50)
MESSAGES = st.one_of(
    st.builds(LoanRequest, KEYS, NUMBERS, NUMBERS, LOAN_SHARES, LOAN_SHARES, UNITS),
    st.builds(LoanGrant, KEYS, NUMBERS, LOAN_SHARES, UNITS),
    st.sampled_from([Join(), Leave()]),
    st.builds(JoinAcknowledged, st.integers(0, 65535), st.integers(0, 65535)),
    st.builds(SpendingTotal, KEYS, UNITS, UNITS),
    st.just(GossipMessage(9, 1, 2, 3, True, 1.5, 0.5, 2.0, -4.0)),
)
KEY = b"k" * 32


@given(st.lists(MESSAGES, max_size=60), st.sampled_from([b"", KEY]))
def test_packed_messages_are_unpacked_unchanged(
    messages: list[GossipMessage | LimitMessage], key: bytes
) -> None:
    sender = LimitGossipCodec(2, 77, key=key)
    receiver = LimitGossipCodec(1, 5, key=key)
    datagrams = sender.pack(1, messages)
    assert datagrams
    assert all(len(data) <= 256 for data in datagrams)
    received = [receiver.unpack(2, data) for data in datagrams]
    assert [message for event in received if event for message in event.messages] == messages
    assert all(event and event.incarnation == 77 for event in received)
    assert all(not unpack_messages(data) for data in datagrams)  # a front door without limits drops them


@given(st.binary(max_size=256))
def test_random_bytes_raise_no_error_and_are_not_authenticated(data: bytes) -> None:
    LimitGossipCodec(1, 5).unpack(2, data)
    assert LimitGossipCodec(1, 5, key=KEY).unpack(2, data) is None
    LimitGossipCodec(1, 5).unpack(2, LimitGossipCodec(2, 77).seal(1, b"") + data)


def test_layouts_with_and_without_limits_are_supported() -> None:
    message = GossipMessage(9, 1, 2, 3, True, 1.5)
    without_limits = pack_messages([message] * 3)[0]
    assert LimitGossipCodec(1, 5).unpack(2, without_limits) == GossipReceived(2, (message,) * 3)
    assert LimitGossipCodec(1, 5, key=KEY).unpack(2, without_limits) is None  # not authenticated
    codec = LimitGossipCodec(1, 5, supports_limits=lambda peer: False)
    without_limits, with_limits = codec.pack(2, [message, Join()])
    assert unpack_messages(without_limits) == (message,)
    assert unpack_messages(with_limits) == ()
    assert len(LimitGossipCodec(1, 5).pack(2, [])[0]) < RECORD.size  # a heartbeat


@pytest.mark.parametrize(
    "modify",
    [
        lambda data: data[:-1] + bytes([data[-1] ^ 1]),
        lambda data: data[:5] + b"\x06" + data[6:],
        lambda data: data[:-9],
        lambda data: b"",
        lambda data: data[:8],
    ],
)
def test_modified_datagram_fails_authentication(modify: "type") -> None:
    codec = LimitGossipCodec(2, 77, key=KEY)
    data = codec.pack(1, [JoinAcknowledged(4)])[0]
    assert LimitGossipCodec(1, 5, key=KEY).unpack(2, data)
    assert LimitGossipCodec(1, 5, key=KEY).unpack(0, data) is None  # another sender
    assert LimitGossipCodec(1, 5, key=b"x" * 32).unpack(2, data) is None
    assert LimitGossipCodec(1, 5, key=KEY).unpack(2, modify(data)) is None


@pytest.mark.parametrize(
    "body",
    [
        b"\x09",
        b"\x06\x00",
        b"\x05\x00\x01\x00\x01\x00\x07",
        b"\x03" + b"\xff" * 19,
        b"\x02" + b"\xff" * 25,
    ],
)
def test_datagram_with_a_malformed_record_is_dropped(body: bytes) -> None:
    codec = LimitGossipCodec(1, 5)
    assert codec.unpack(2, codec.seal(2, b"\x04" + body)) is None
