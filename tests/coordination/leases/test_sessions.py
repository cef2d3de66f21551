"""The state machine "sessions": the outcome of each entry, bounds, and snapshots."""

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
from tests.coordination.leases.entries import A, B, entry, fencing_token_of, open_session

A2 = NodeInstance("a", 2)


def test_fencing_token_is_the_position_and_reopening_returns_the_same_session() -> None:
    sessions = SessionRegistry()
    assert fencing_token_of(open_session(sessions, 7, A)) == 7
    before = sessions.snapshot()
    assert fencing_token_of(open_session(sessions, 9, A)) == 7
    assert (
        sessions.snapshot() == before
        and sessions.active_session("a") == ActiveSession(A, 7)
        and sessions.last_ended_session("a") is None
    )


def test_higher_instance_replaces_a_lower_one_and_a_lower_one_is_rejected() -> None:
    sessions = SessionRegistry()
    open_session(sessions, 3, A)
    assert fencing_token_of(open_session(sessions, 5, A2)) == 5
    assert sessions.last_ended_session("a") == EndedSession(A, 3, ClearanceEvidence.RESTARTED, 5)
    assert open_session(sessions, 6, A).error and sessions.active_session("a") == ActiveSession(A2, 5)
    sessions.apply(entry(7, EndSession(A2, 5, 0)))
    assert open_session(sessions, 8, A).error, "also after the session of the higher one has ended"


def test_instance_may_reopen_an_expired_session_but_not_a_closed_one() -> None:
    sessions = SessionRegistry()
    open_session(sessions, 1, A)
    assert not sessions.apply(entry(2, EndSession(A, 1, 0))).error
    assert fencing_token_of(open_session(sessions, 3, A)) == 3
    assert not sessions.apply(entry(4, CloseSession(A, 3), A)).error
    assert sessions.last_ended_session("a") == EndedSession(A, 3, ClearanceEvidence.LEFT, 4)
    assert open_session(sessions, 5, A).error and sessions.active_session("a") is None
    assert not open_session(sessions, 6, A2).error


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
def test_invalid_entry_is_an_error_and_changes_nothing(body: Body | bytes, proposer: NodeInstance) -> None:
    sessions = SessionRegistry()
    sessions.apply(entry(0, BecomeManager(5)))
    open_session(sessions, 1, A)
    before = sessions.snapshot()
    outcome = sessions.apply(entry(9, body, proposer))
    assert outcome.error and "\n" not in outcome.error and sessions.snapshot() == before


def test_longest_body_is_accepted() -> None:
    instance = NodeInstance("n" * 64, 1 << 62)
    sessions = SessionRegistry()
    assert sessions.apply(entry(1, BecomeManager(1 << 62))) == Outcome()
    open_session(sessions, 1 << 62, instance)
    assert not sessions.apply(entry(1 << 62, EndSession(instance, 1 << 62, 1 << 62))).error


def test_names_are_bounded_and_the_one_that_ended_first_is_evicted() -> None:
    sessions = SessionRegistry()
    for number in range(MAX_MEMBERS):
        assert not open_session(sessions, number + 1, NodeInstance(f"d{number}", 1)).error
    assert open_session(sessions, 300, A).error
    sessions.apply(entry(301, EndSession(NodeInstance("d9", 1), 10, 0)))
    sessions.apply(entry(302, EndSession(NodeInstance("d3", 1), 4, 0)))
    assert not open_session(sessions, 303, A).error
    assert sessions.last_ended_session("d9") is None and sessions.last_ended_session("d3") is not None
    assert len(sessions.active_sessions()) == MAX_MEMBERS - 1


def test_sessions_open_at_a_position_remain_known() -> None:
    sessions = SessionRegistry()
    open_session(sessions, 1, A)
    open_session(sessions, 2, B)
    open_session(sessions, 5, A2)  # after position 4
    sessions.apply(entry(6, EndSession(B, 2, 0)))
    assert list(sessions.sessions_open_at(4)) == [
        EndedSession(A, 1, ClearanceEvidence.RESTARTED, 5),
        EndedSession(B, 2, ClearanceEvidence.SESSION_EXPIRED, 6),
    ]
    assert list(sessions.sessions_open_at(5)) == [EndedSession(B, 2, ClearanceEvidence.SESSION_EXPIRED, 6)]
    assert list(sessions.sessions_open_at(1)) == [] and list(sessions.sessions_open_at(7)) == [
        ActiveSession(A2, 5)
    ]


def test_forgotten_session_is_reported_as_restarted() -> None:
    sessions = SessionRegistry()
    for number in range(1, MAX_ENDED_SESSIONS + 3):
        open_session(sessions, 10 * number, NodeInstance("a", number))
    newest_instance = NodeInstance("a", MAX_ENDED_SESSIONS + 2)
    assert list(sessions.sessions_open_at(10)) == [] and list(sessions.sessions_open_at(70)) == [
        ActiveSession(newest_instance, 60)
    ]
    remembered = EndedSession(NodeInstance("a", 2), 20, ClearanceEvidence.RESTARTED, 30)
    assert list(sessions.sessions_open_at(25)) == [remembered] and list(sessions.sessions_open_at(21)) == [
        remembered
    ]
    assert list(sessions.sessions_open_at(15)) == [
        EndedSession(NodeInstance("a", 2), 20, ClearanceEvidence.RESTARTED, 20)
    ]
    restored = SessionRegistry()
    restored.restore(sessions.snapshot())
    open_session(restored, 70, NodeInstance("a", 7))
    assert (
        list(restored.sessions_open_at(15))
        == list(restored.sessions_open_at(25))
        == [EndedSession(NodeInstance("a", 3), 30, ClearanceEvidence.RESTARTED, 30)]
    )


def registry_after_random_entries(seed: int) -> SessionRegistry:
    rng, sessions = random.Random(seed), SessionRegistry()
    for position in range(1, 120):
        instance = NodeInstance(rng.choice("xyz"), rng.randrange(1, 9))
        fencing_token = rng.randrange(max(1, position - 4), position + 1)
        active = sessions.active_session(instance.name)
        if active and rng.random() < 0.7:
            instance, fencing_token = active.instance, active.fencing_token
        body = rng.choice(
            (
                OpenSession(instance),
                OpenSession(instance),
                EndSession(instance, fencing_token, sessions.ballot),
                CloseSession(instance, fencing_token),
                BecomeManager(rng.randrange(position)),
            )
        )
        sessions.apply(entry(position, body, instance))
    return sessions


@pytest.mark.parametrize("seed", range(20))
def test_restored_snapshot_has_the_same_bytes_and_behaves_the_same(seed: int) -> None:
    original, restored = registry_after_random_entries(seed), SessionRegistry()
    open_session(restored, 1, B)  # replaced by the snapshot
    restored.restore(original.snapshot())
    assert restored.snapshot() == original.snapshot()
    for position in range(200, 230):
        next_entry = entry(position, OpenSession(NodeInstance("x", position)), NodeInstance("x", position))
        assert original.apply(next_entry) == restored.apply(next_entry)
    assert (
        restored.snapshot() == original.snapshot()
        and len(list(restored.sessions_open_at(203))) <= MAX_ENDED_SESSIONS
    )


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
def test_invalid_snapshot_is_rejected_and_changes_nothing(data: bytes) -> None:
    sessions = registry_after_random_entries(1)
    before = sessions.snapshot()
    with pytest.raises(ValueError):
        sessions.restore(data)
    assert sessions.snapshot() == before


def test_snapshot_with_a_duplicate_name_is_rejected() -> None:
    sessions = SessionRegistry()
    open_session(sessions, 1, A)
    state = msgspec.json.decode(sessions.snapshot())
    sessions.restore(msgspec.json.encode(state))
    with pytest.raises(ValueError):
        sessions.restore(msgspec.json.encode(state | {"doors": state["doors"] * 2}))


def test_body_is_encoded_under_its_recorded_names() -> None:
    assert encode(BecomeManager(3)) == b'{"kind":"keeping","ballot":3}'
