"""The state machine "sessions": what each entry comes to, bounds, and snapshots."""

import random

import msgspec
import pytest

from molereach.coordination.interface.clearance import ClearanceEvidence
from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance
from molereach.coordination.interface.log import MAX_ENTRY_BODY_BYTES, Outcome
from molereach.coordination.leases.bodies import (
    BecomeManager,
    Body,
    CloseSession,
    EndSession,
    OpenSession,
    encode,
)
from molereach.coordination.leases.sessions import (
    MAX_ENDED_SESSIONS,
    ActiveSession,
    EndedSession,
    SessionRegistry,
)
from tests.coordination.leases.entries import A, B, entry, fencing_token_of, opened

A2 = NodeInstance("a", 2)


def test_the_fencing_token_is_the_position_and_the_same_instance_gets_the_same_answer() -> None:
    sessions = SessionRegistry()
    assert fencing_token_of(opened(sessions, 7, A)) == 7
    before = sessions.snapshot()
    assert fencing_token_of(opened(sessions, 9, A)) == 7
    assert (
        sessions.snapshot() == before
        and sessions.active_session("a") == ActiveSession(A, 7)
        and sessions.last_ended_session("a") is None
    )


def test_a_higher_instance_replaces_the_lower_and_a_lower_is_refused() -> None:
    sessions = SessionRegistry()
    opened(sessions, 3, A)
    assert fencing_token_of(opened(sessions, 5, A2)) == 5
    assert sessions.last_ended_session("a") == EndedSession(A, 3, ClearanceEvidence.RESTARTED, 5)
    assert opened(sessions, 6, A).error and sessions.active_session("a") == ActiveSession(A2, 5)
    sessions.apply(entry(7, EndSession(A2, 5, 0)))
    assert opened(sessions, 8, A).error, "also when the higher one's session is over"


def test_a_run_whose_session_is_over_may_open_anew_and_one_that_left_may_not() -> None:
    sessions = SessionRegistry()
    opened(sessions, 1, A)
    assert not sessions.apply(entry(2, EndSession(A, 1, 0))).error
    assert fencing_token_of(opened(sessions, 3, A)) == 3
    assert not sessions.apply(entry(4, CloseSession(A, 3), A)).error
    assert sessions.last_ended_session("a") == EndedSession(A, 3, ClearanceEvidence.LEFT, 4)
    assert opened(sessions, 5, A).error and sessions.active_session("a") is None
    assert not opened(sessions, 6, A2).error


@pytest.mark.parametrize(
    "body, proposer",
    [
        (EndSession(A, 2, 5), A),
        (EndSession(A2, 1, 5), A),
        (EndSession(B, 1, 5), A),
        (CloseSession(A, 2), A),
        (CloseSession(A, 1), B),
        (OpenSession(B), A),
        (EndSession(A, 1, 4), A),
        (EndSession(A, 1, 6), A),
        (BecomeManager(5), B),
        (BecomeManager(4), B),
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
    sessions = SessionRegistry()
    sessions.apply(entry(0, BecomeManager(5)))
    opened(sessions, 1, A)
    before = sessions.snapshot()
    outcome = sessions.apply(entry(9, body, proposer))
    assert outcome.error and "\n" not in outcome.error and sessions.snapshot() == before


def test_the_longest_body_is_read() -> None:
    instance = NodeInstance("n" * 64, 1 << 62)
    sessions = SessionRegistry()
    assert sessions.apply(entry(1, BecomeManager(1 << 62))) == Outcome()
    opened(sessions, 1 << 62, instance)
    assert not sessions.apply(entry(1 << 62, EndSession(instance, 1 << 62, 1 << 62))).error


def test_names_are_bounded_and_the_one_that_ended_first_makes_room() -> None:
    sessions = SessionRegistry()
    for number in range(MAX_MEMBERS):
        assert not opened(sessions, number + 1, NodeInstance(f"d{number}", 1)).error
    assert opened(sessions, 300, A).error
    sessions.apply(entry(301, EndSession(NodeInstance("d9", 1), 10, 0)))
    sessions.apply(entry(302, EndSession(NodeInstance("d3", 1), 4, 0)))
    assert not opened(sessions, 303, A).error
    assert sessions.last_ended_session("d9") is None and sessions.last_ended_session("d3") is not None
    assert len(sessions.active_sessions()) == MAX_MEMBERS - 1


def test_what_was_open_at_a_position_is_known_later_the_same() -> None:
    sessions = SessionRegistry()
    opened(sessions, 1, A)
    opened(sessions, 2, B)
    opened(sessions, 5, A2)  # after position 4
    sessions.apply(entry(6, EndSession(B, 2, 0)))
    assert list(sessions.sessions_open_at(4)) == [
        EndedSession(A, 1, ClearanceEvidence.RESTARTED, 5),
        EndedSession(B, 2, ClearanceEvidence.SESSION_EXPIRED, 6),
    ]
    assert list(sessions.sessions_open_at(5)) == [EndedSession(B, 2, ClearanceEvidence.SESSION_EXPIRED, 6)]
    assert list(sessions.sessions_open_at(1)) == [] and list(sessions.sessions_open_at(7)) == [
        ActiveSession(A2, 5)
    ]


def test_of_one_that_ended_more_often_than_is_kept_it_is_known_that_it_opened_anew() -> None:
    sessions = SessionRegistry()
    for number in range(1, MAX_ENDED_SESSIONS + 3):
        opened(sessions, 10 * number, NodeInstance("a", number))
    last = NodeInstance("a", MAX_ENDED_SESSIONS + 2)
    assert list(sessions.sessions_open_at(10)) == [] and list(sessions.sessions_open_at(70)) == [
        ActiveSession(last, 60)
    ]
    kept = EndedSession(NodeInstance("a", 2), 20, ClearanceEvidence.RESTARTED, 30)
    assert list(sessions.sessions_open_at(25)) == [kept] and list(sessions.sessions_open_at(21)) == [kept]
    assert list(sessions.sessions_open_at(15)) == [
        EndedSession(NodeInstance("a", 2), 20, ClearanceEvidence.RESTARTED, 20)
    ]
    again = SessionRegistry()
    again.restore(sessions.snapshot())
    opened(again, 70, NodeInstance("a", 7))
    assert (
        list(again.sessions_open_at(15))
        == list(again.sessions_open_at(25))
        == [EndedSession(NodeInstance("a", 3), 30, ClearanceEvidence.RESTARTED, 30)]
    )


def history(seed: int) -> SessionRegistry:
    chance, sessions = random.Random(seed), SessionRegistry()
    for position in range(1, 120):
        instance = NodeInstance(chance.choice("xyz"), chance.randrange(1, 9))
        fencing_token = chance.randrange(max(1, position - 4), position + 1)
        open_now = sessions.active_session(instance.name)
        if open_now and chance.random() < 0.7:
            instance, fencing_token = open_now.instance, open_now.fencing_token
        body = chance.choice(
            (
                OpenSession(instance),
                OpenSession(instance),
                EndSession(instance, fencing_token, sessions.ballot),
                CloseSession(instance, fencing_token),
                BecomeManager(chance.randrange(position)),
            )
        )
        sessions.apply(entry(position, body, instance))
    return sessions


@pytest.mark.parametrize("seed", range(20))
def test_a_snapshot_restores_to_the_same_bytes_and_goes_on_the_same(seed: int) -> None:
    one, other = history(seed), SessionRegistry()
    opened(other, 1, B)  # all of it is replaced
    other.restore(one.snapshot())
    assert other.snapshot() == one.snapshot()
    for position in range(200, 230):
        step = entry(position, OpenSession(NodeInstance("x", position)), NodeInstance("x", position))
        assert one.apply(step) == other.apply(step)
    assert other.snapshot() == one.snapshot() and len(list(other.sessions_open_at(203))) <= MAX_ENDED_SESSIONS


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
    sessions = SessionRegistry()
    opened(sessions, 1, A)
    state = msgspec.json.decode(sessions.snapshot())
    sessions.restore(msgspec.json.encode(state))
    with pytest.raises(ValueError):
        sessions.restore(msgspec.json.encode(state | {"doors": state["doors"] * 2}))


def test_encode_is_what_decode_reads() -> None:
    assert encode(BecomeManager(3)) == b'{"kind":"keeping","ballot":3}'
