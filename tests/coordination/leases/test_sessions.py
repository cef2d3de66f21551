"""The state machine "sessions": what each entry comes to, bounds, and snapshots."""

import random

import msgspec
import pytest

from molereach.coordination.interface.clearance import ClearanceEvidence
from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance
from molereach.coordination.interface.log import MAX_ENTRY_BODY_BYTES, Outcome
from molereach.coordination.leases.bodies import Body, Close, Ended, Keeping, Open, encode
from molereach.coordination.leases.sessions import MOST_PAST, Opened, Past, Sessions
from tests.coordination.leases.entries import A, B, entry, fence_of, opened

A2 = NodeInstance("a", 2)


def test_the_fence_is_the_position_and_the_same_life_gets_the_same_answer() -> None:
    sessions = Sessions()
    assert fence_of(opened(sessions, 7, A)) == 7
    before = sessions.snapshot()
    assert fence_of(opened(sessions, 9, A)) == 7
    assert sessions.snapshot() == before and sessions.open("a") == Opened(A, 7) and sessions.past("a") is None


def test_a_higher_life_replaces_the_lower_and_a_lower_is_refused() -> None:
    sessions = Sessions()
    opened(sessions, 3, A)
    assert fence_of(opened(sessions, 5, A2)) == 5
    assert sessions.past("a") == Past(A, 3, ClearanceEvidence.RESTARTED, 5)
    assert opened(sessions, 6, A).error and sessions.open("a") == Opened(A2, 5)
    sessions.apply(entry(7, Ended(A2, 5, 0)))
    assert opened(sessions, 8, A).error, "also when the higher one's session is over"


def test_a_run_whose_session_is_over_may_open_anew_and_one_that_left_may_not() -> None:
    sessions = Sessions()
    opened(sessions, 1, A)
    assert not sessions.apply(entry(2, Ended(A, 1, 0))).error
    assert fence_of(opened(sessions, 3, A)) == 3
    assert not sessions.apply(entry(4, Close(A, 3), A)).error
    assert sessions.past("a") == Past(A, 3, ClearanceEvidence.LEFT, 4)
    assert opened(sessions, 5, A).error and sessions.open("a") is None
    assert not opened(sessions, 6, A2).error


@pytest.mark.parametrize(
    "body, proposer",
    [
        (Ended(A, 2, 5), A),
        (Ended(A2, 1, 5), A),
        (Ended(B, 1, 5), A),
        (Close(A, 2), A),
        (Close(A, 1), B),
        (Open(B), A),
        (Ended(A, 1, 4), A),
        (Ended(A, 1, 6), A),
        (Keeping(5), B),
        (Keeping(4), B),
        (b"{}", A),
        (b"\xff", A),
        (b'{"kind":"open","life":{"name":"-","number":1}}', A),
        (b'{"kind":"keeping","ballot":9,"more":1}', A),
        (b'{"a":' + b"[" * (MAX_ENTRY_BODY_BYTES - 5), A),
    ],
)
def test_what_breaks_a_rule_is_an_error_and_changes_nothing(
    body: Body | bytes, proposer: NodeInstance
) -> None:
    sessions = Sessions()
    sessions.apply(entry(0, Keeping(5)))
    opened(sessions, 1, A)
    before = sessions.snapshot()
    outcome = sessions.apply(entry(9, body, proposer))
    assert outcome.error and "\n" not in outcome.error and sessions.snapshot() == before


def test_the_longest_body_is_read() -> None:
    life = NodeInstance("n" * 64, 1 << 62)
    sessions = Sessions()
    assert sessions.apply(entry(1, Keeping(1 << 62))) == Outcome()
    opened(sessions, 1 << 62, life)
    assert not sessions.apply(entry(1 << 62, Ended(life, 1 << 62, 1 << 62))).error


def test_names_are_bounded_and_the_one_that_ended_first_makes_room() -> None:
    sessions = Sessions()
    for number in range(MAX_MEMBERS):
        assert not opened(sessions, number + 1, NodeInstance(f"d{number}", 1)).error
    assert opened(sessions, 300, A).error
    sessions.apply(entry(301, Ended(NodeInstance("d9", 1), 10, 0)))
    sessions.apply(entry(302, Ended(NodeInstance("d3", 1), 4, 0)))
    assert not opened(sessions, 303, A).error
    assert sessions.past("d9") is None and sessions.past("d3") is not None
    assert len(sessions.all_open()) == MAX_MEMBERS - 1


def test_what_was_open_at_a_position_is_told_later_the_same() -> None:
    sessions = Sessions()
    opened(sessions, 1, A)
    opened(sessions, 2, B)
    opened(sessions, 5, A2)  # after position 4
    sessions.apply(entry(6, Ended(B, 2, 0)))
    assert list(sessions.at(4)) == [
        Past(A, 1, ClearanceEvidence.RESTARTED, 5),
        Past(B, 2, ClearanceEvidence.SESSION_EXPIRED, 6),
    ]
    assert list(sessions.at(5)) == [Past(B, 2, ClearanceEvidence.SESSION_EXPIRED, 6)]
    assert list(sessions.at(1)) == [] and list(sessions.at(7)) == [Opened(A2, 5)]


def test_of_one_that_ended_more_often_than_is_kept_it_is_known_that_it_opened_anew() -> None:
    sessions = Sessions()
    for number in range(1, MOST_PAST + 3):
        opened(sessions, 10 * number, NodeInstance("a", number))
    last = NodeInstance("a", MOST_PAST + 2)
    assert list(sessions.at(10)) == [] and list(sessions.at(70)) == [Opened(last, 60)]
    kept = Past(NodeInstance("a", 2), 20, ClearanceEvidence.RESTARTED, 30)
    assert list(sessions.at(25)) == [kept] and list(sessions.at(21)) == [kept]
    assert list(sessions.at(15)) == [Past(NodeInstance("a", 2), 20, ClearanceEvidence.RESTARTED, 20)]
    again = Sessions()
    again.restore(sessions.snapshot())
    opened(again, 70, NodeInstance("a", 7))
    assert (
        list(again.at(15))
        == list(again.at(25))
        == [Past(NodeInstance("a", 3), 30, ClearanceEvidence.RESTARTED, 30)]
    )


def history(seed: int) -> Sessions:
    chance, sessions = random.Random(seed), Sessions()
    for position in range(1, 120):
        life = NodeInstance(chance.choice("xyz"), chance.randrange(1, 9))
        fence = chance.randrange(max(1, position - 4), position + 1)
        open_now = sessions.open(life.name)
        if open_now and chance.random() < 0.7:
            life, fence = open_now.life, open_now.fence
        body = chance.choice(
            (
                Open(life),
                Open(life),
                Ended(life, fence, sessions.ballot),
                Close(life, fence),
                Keeping(chance.randrange(position)),
            )
        )
        sessions.apply(entry(position, body, life))
    return sessions


@pytest.mark.parametrize("seed", range(20))
def test_a_snapshot_restores_to_the_same_bytes_and_goes_on_the_same(seed: int) -> None:
    one, other = history(seed), Sessions()
    opened(other, 1, B)  # all of it is replaced
    other.restore(one.snapshot())
    assert other.snapshot() == one.snapshot()
    for position in range(200, 230):
        step = entry(position, Open(NodeInstance("x", position)), NodeInstance("x", position))
        assert one.apply(step) == other.apply(step)
    assert other.snapshot() == one.snapshot() and len(list(other.at(203))) <= MOST_PAST


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{}",
        b'{"ballot":-1,"doors":[]}',
        b'{"ballot":0,"doors":[{"name":"a"}]}',
        b'{"ballot":0,"doors":[{"name":"a","open":{"life":{"name":"b","number":1},"fence":1}}]}',
        b'{"ballot":0,"doors":[{"name":"a","open":{"life":{"name":"a","number":1},"fence":1},"past":['
        b'{"life":{"name":"a","number":1},"fence":2,"known":"over","position":3}]}]}',
        b'{"ballot":0,"doors":[{"name":"a","open":{"life":{"name":"a","number":1},"fence":4},"dropped":2}]}',
        b'{"ballot":0,"doors":[{"name":"a","open":{"life":{"name":"a","number":1},"fence":4},"past":['
        b'{"life":{"name":"a","number":2},"fence":2,"known":"over","position":3}]}]}',
    ],
)
def test_a_snapshot_that_makes_no_sense_is_refused_and_nothing_changes(data: bytes) -> None:
    sessions = history(1)
    before = sessions.snapshot()
    with pytest.raises(ValueError):
        sessions.restore(data)
    assert sessions.snapshot() == before


def test_a_snapshot_with_a_name_twice_is_refused() -> None:
    sessions = Sessions()
    opened(sessions, 1, A)
    state = msgspec.json.decode(sessions.snapshot())
    sessions.restore(msgspec.json.encode(state))
    with pytest.raises(ValueError):
        sessions.restore(msgspec.json.encode(state | {"doors": state["doors"] * 2}))


def test_encode_is_what_decode_reads() -> None:
    assert encode(Keeping(3)) == b'{"kind":"keeping","ballot":3}'
