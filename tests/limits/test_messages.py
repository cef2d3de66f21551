"""The form of limits' words: what is packed is read again; strangers and versions; within 256 bytes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from molereach.limits.messages import LimitGossipCodec
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
NUMBERS, SHARES = st.integers(0, 2**32 - 1), st.integers(0, 10_000)
UNITS = st.integers(0, 10**7).map(lambda number: number / 50)
WORDS = st.one_of(
    st.builds(LoanRequest, KEYS, NUMBERS, NUMBERS, SHARES, SHARES, UNITS),
    st.builds(LoanGrant, KEYS, NUMBERS, SHARES, UNITS),
    st.sampled_from([Join(), Leave()]),
    st.builds(JoinAcknowledged, st.integers(0, 65535), st.integers(0, 65535)),
    st.builds(SpendingTotal, KEYS, UNITS, UNITS),
    st.just(GossipMessage(9, 1, 2, 3, True, 1.5, 0.5, 2.0, -4.0)),
)
KEY = b"k" * 32


@given(st.lists(WORDS, max_size=60), st.sampled_from([b"", KEY]))
def test_words_are_read_as_they_were_told(words: list[GossipMessage | LimitMessage], key: bytes) -> None:
    sender, receiver = LimitGossipCodec(2, 77, key=key), LimitGossipCodec(1, 5, key=key)
    datagrams = sender.pack(1, words)
    assert datagrams and all(len(data) <= 256 for data in datagrams)
    heard = [receiver.unpack(2, data) for data in datagrams]
    assert [word for message in heard if message for word in message.messages] == words
    assert all(message and message.incarnation == 77 for message in heard)
    assert all(not unpack_messages(data) for data in datagrams)  # a front door of the last version drops them


@given(st.binary(max_size=256))
def test_garbage_is_no_message_and_no_error(data: bytes) -> None:
    LimitGossipCodec(1, 5).unpack(2, data)
    assert LimitGossipCodec(1, 5, key=KEY).unpack(2, data) is None
    LimitGossipCodec(1, 5).unpack(2, LimitGossipCodec(2, 77).seal(1, b"") + data)


def test_old_and_new_versions_understand_each_other() -> None:
    word = GossipMessage(9, 1, 2, 3, True, 1.5)
    old = pack_messages([word] * 3)[0]
    assert LimitGossipCodec(1, 5).unpack(2, old) == GossipReceived(2, (word,) * 3)
    assert LimitGossipCodec(1, 5, key=KEY).unpack(2, old) is None  # not told by one that has the key
    first, second = LimitGossipCodec(1, 5, speaks=lambda peer: False).pack(2, [word, Join()])
    assert unpack_messages(first) == (word,) and unpack_messages(second) == ()
    assert len(LimitGossipCodec(1, 5).pack(2, [])[0]) < RECORD.size  # a beat


@pytest.mark.parametrize(
    "change",
    [
        lambda data: data[:-1] + bytes([data[-1] ^ 1]),
        lambda data: data[:5] + b"\x06" + data[6:],
        lambda data: data[:-9],
        lambda data: b"",
        lambda data: data[:8],
    ],
)
def test_a_changed_datagram_does_not_have_the_key(change: "type") -> None:
    codec = LimitGossipCodec(2, 77, key=KEY)
    data = codec.pack(1, [JoinAcknowledged(4)])[0]
    assert LimitGossipCodec(1, 5, key=KEY).unpack(2, data)
    assert LimitGossipCodec(1, 5, key=KEY).unpack(0, data) is None  # another one's word
    assert LimitGossipCodec(1, 5, key=b"x" * 32).unpack(2, data) is None
    assert LimitGossipCodec(1, 5, key=KEY).unpack(2, change(data)) is None


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
def test_malformed_records_are_dropped_whole(body: bytes) -> None:
    codec = LimitGossipCodec(1, 5)
    assert codec.unpack(2, codec.seal(2, b"\x04" + body)) is None
