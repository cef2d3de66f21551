"""The byte budget of messages, and the rejection of malformed ones."""

import msgspec
import pytest

from molereach.coordination.interface.identifiers import (
    MAX_NAME_CHARACTERS,
)
from molereach.coordination.membership.gossip import GossipQueue
from molereach.coordination.membership.messages import (
    MAX_MESSAGE_BYTES,
    MAX_RUMOURS,
    MAX_SEQUENCE_NUMBER,
    Ack,
    Ping,
    PingReq,
    Rumour,
    Sync,
    decode,
    encode,
    fitting_rumours,
    split_rumours,
)
from tests.coordination.membership.rumours import ALIVE, SUSPECT, rumour_of

LONG_PREFIX = "n" * (MAX_NAME_CHARACTERS - 4)


LONG_NAMES = [f"{LONG_PREFIX}{number:04}" for number in range(300)]


LONGEST = [Rumour(name, 1 << 62, 1 << 53, SUSPECT, name) for name in LONG_NAMES]


def test_message_keeps_to_its_budget_with_the_longest_names() -> None:
    gossip = GossipQueue()
    for rumour in LONGEST:
        gossip.enqueue(rumour)
    rumours = gossip.next_rumours(256, MAX_RUMOURS)
    assert rumours
    for message in (PingReq((1 << 32) - 1, "n" * 64, 1 << 62, rumours), Sync(rumours, True), Ack(1, rumours)):
        assert len(encode(message)) <= MAX_MESSAGE_BYTES
        assert decode(encode(message)) == message


def test_budget_holds_for_names_of_any_length() -> None:
    for chars in range(1, MAX_NAME_CHARACTERS + 1):
        name = "n" * chars
        chosen = tuple(
            fitting_rumours(Rumour(name, (1 << 50) + number, 0, SUSPECT, name) for number in range(200))
        )
        size = len(encode(PingReq(MAX_SEQUENCE_NUMBER, "n" * MAX_NAME_CHARACTERS, 1 << 62, chosen)))
        assert MAX_MESSAGE_BYTES // 2 < size <= MAX_MESSAGE_BYTES


def test_full_list_is_split_without_loss() -> None:
    groups = split_rumours(LONGEST)
    assert sorted(name for group in groups for name in [rumour.name for rumour in group]) == sorted(
        rumour.name for rumour in LONGEST
    )
    assert all(len(encode(Sync(group, True))) <= MAX_MESSAGE_BYTES for group in groups)


PING = {"type": "m.ping", "seq": 1, "rumours": []}


@pytest.mark.parametrize(
    "malformed",
    [
        {"type": "m.pong", "seq": 1},
        {**PING, "more": 1},
        {**PING, "seq": -1},
        {**PING, "seq": 1 << 32},
        {**PING, "rumours": [["a", 1, 0, 4, None]]},
        {**PING, "rumours": [["a", 1, 0, 0, None, 5]]},
        {**PING, "rumours": [["a/b", 1, 0, 0, None]]},
        {**PING, "rumours": [["a" * 65, 1, 0, 0, None]]},
        {**PING, "rumours": [["a", -1, 0, 0, None]]},
        {**PING, "rumours": [["a", 1, 1 << 60, 0, None]]},
        {**PING, "rumours": [["a", 1, 0, 0, ""]]},
        {**PING, "rumours": [["a", 1, 0, 0, None]] * (MAX_RUMOURS + 1)},
        [1, 2],
        "x",
        None,
    ],
)
def test_malformed_message_is_rejected(malformed: object) -> None:
    with pytest.raises(ValueError):
        decode(msgspec.msgpack.encode(malformed))


def test_truncated_extended_or_oversized_message_is_rejected() -> None:
    good = encode(Ping(1, (rumour_of(1, 0, ALIVE),)))
    assert decode(good)
    for malformed in (good[:-1], good + b"\0", b"", b"\xc1" * 40):
        with pytest.raises(ValueError):
            decode(malformed)
    many = tuple(rumour_of(1, 0, ALIVE, f"{LONG_PREFIX}{number:04}") for number in range(100))
    with pytest.raises(ValueError, match="bytes"):
        decode(msgspec.msgpack.encode(Ping(1, many)))
