"""How purges are requested, rejected, completed by proof and forgotten; receipts, status and snapshots."""

from dataclasses import replace

import msgspec
import pytest

from molereach.cache.purge.bodies import CompletePurges, RequestPurge, RequestResult, decode_request_result
from molereach.cache.purge.ids import draw_id, drawn_position, is_purge_id
from molereach.cache.purge.machine import MAX_COMPLETED_PER_ENTRY, MAX_ROWS_PER_ENTRY, Bounds, Purges
from molereach.cache.purge.receipt import Receipt, canonical_bytes, is_intact
from molereach.cache.purge.records import CompletedPurge
from molereach.cache.purge.status import Behind, Forgotten, NotFound, Pending, purge_status
from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.leases import bodies as leases
from molereach.coordination.leases.acknowledgements import MissingAcknowledgement
from tests.cache.purge.purge_log import (
    MEMBER,
    OTHER_MEMBER,
    SMALL_BOUNDS,
    A,
    B,
    C,
    PurgeLog,
    completed_by,
    purge_id,
)


def receipt_of(log: PurgeLog, id_: str) -> Receipt:
    purge = log.purges.find(id_)
    assert isinstance(purge, CompletedPurge)
    return log.purges.receipt(purge)


def test_a_purge_completes_when_each_session_of_its_cohort_has_reported_clear_or_has_ended() -> None:
    log = PurgeLog()
    log.open_sessions(B, A)
    requested = log.request_purge()
    log.open_sessions(C)  # it applied the purge before it served requests
    tokens = log.fencing_token(A), log.fencing_token(B)
    assert (
        log.append_purge(CompletePurges(requested.requested_position, tokens[:1])).error
        == "front door b is not accounted for"
    )
    assert (
        log.append_purge(CompletePurges(requested.requested_position - 1, tokens)).error
        == "nothing is pending up to there"
    )
    log.append_lease(leases.CloseSession(B, log.fencing_token(B)), B)
    outcome = log.append_purge(CompletePurges(requested.requested_position, tokens[:1]))
    assert completed_by(outcome) == (1, requested.requested_position)
    receipt = receipt_of(log, requested.id)
    assert receipt.doors == (
        NodeClearance(A, ClearanceEvidence.REPORTED, requested.requested_position),
        NodeClearance(B, ClearanceEvidence.LEFT, 7),
    )
    assert (receipt.requested_position, receipt.completed_position, receipt.member, receipt.id) == (
        3,
        8,
        MEMBER,
        requested.id,
    )
    assert (
        log.append_purge(CompletePurges(requested.requested_position, tokens)).error
        == "nothing is pending up to there"
    )
    assert receipt_of(log, requested.id) == receipt


def test_an_ended_session_is_cleared_by_its_end_even_if_it_is_named_as_reported() -> None:
    log = PurgeLog()
    log.open_sessions(A, B, C)
    requested = log.request_purge()
    restarted = NodeInstance("b", 2)
    tokens = log.fencing_token(A), log.fencing_token(B), log.fencing_token(C)
    log.append_lease(leases.OpenSession(restarted), restarted)
    log.append_lease(leases.BecomeManager(7))
    log.append_lease(leases.EndSession(C, log.fencing_token(C), 7))
    assert not log.append_purge(CompletePurges(requested.requested_position, tokens)).error
    assert receipt_of(log, requested.id).doors == (
        NodeClearance(A, ClearanceEvidence.REPORTED, 4),
        NodeClearance(B, ClearanceEvidence.RESTARTED, 5),
        NodeClearance(C, ClearanceEvidence.SESSION_EXPIRED, 7),
    )


def test_a_session_whose_end_is_no_longer_stored_is_still_in_the_receipt() -> None:
    log = PurgeLog()
    log.open_sessions(A, B)
    requested = log.request_purge()
    log.append_lease(leases.BecomeManager(7))
    for _ in range(6):
        log.append_lease(leases.EndSession(B, log.fencing_token(B), 7))
        log.open_sessions(B)
    assert not any(
        session.fencing_token == 2 for session in log.sessions.sessions_open_at(requested.requested_position)
    )
    assert (
        log.append_purge(CompletePurges(requested.requested_position, ())).error
        == "front door a is not accounted for"
    )
    assert not log.append_purge(CompletePurges(requested.requested_position, (log.fencing_token(A),))).error
    assert receipt_of(log, requested.id).doors[1] == NodeClearance(
        B, ClearanceEvidence.SESSION_EXPIRED, log.position
    )


def test_a_new_session_counts_for_later_purges_and_not_for_earlier_ones() -> None:
    log = PurgeLog()
    log.open_sessions(A)
    earlier = log.request_purge()
    log.append_lease(leases.CloseSession(A, log.fencing_token(A)), A)
    restarted = NodeInstance("a", 2)
    log.open_sessions(restarted)
    later = log.request_purge(1)
    # Completes only the earlier purge, which needs no report.
    assert log.append_purge(CompletePurges(later.requested_position, ())).error == ""
    assert receipt_of(log, earlier.id).doors == (NodeClearance(A, ClearanceEvidence.LEFT, 3),)
    assert not isinstance(log.purges.find(later.id), CompletedPurge)
    assert completed_by(
        log.append_purge(CompletePurges(later.requested_position, (log.fencing_token(restarted),)))
    ) == (1, later.requested_position)


def test_a_repeated_id_is_the_same_purge_and_rejected_for_another_scope() -> None:
    log = PurgeLog()
    log.open_sessions(A)
    requested = log.request_purge()
    repeat = RequestPurge(requested.id, MEMBER, shards=("east",))
    assert decode_request_result(log.append_purge(repeat).value) == requested
    for other in (RequestPurge(requested.id, OTHER_MEMBER), RequestPurge(requested.id, MEMBER, "load")):
        assert log.append_purge(other).error == "this id is of another purge"
    log.append_purge(CompletePurges(requested.requested_position, (1,)))
    receipt = receipt_of(log, requested.id)
    assert (
        decode_request_result(log.append_purge(repeat).value).completed_position == receipt.completed_position
    )
    assert (
        log.append_purge(RequestPurge(requested.id, OTHER_MEMBER)).error
        and receipt_of(log, requested.id) == receipt
    )
    assert log.purges.counts == {"pending": 0, "done": 1, "past": 1}


def test_two_purges_of_one_member_are_each_completed_by_their_own_proof() -> None:
    log = PurgeLog()
    log.open_sessions(A)
    first = log.request_purge(1)
    second = log.request_purge(2)
    assert completed_by(log.append_purge(CompletePurges(first.requested_position, (1,)))) == (
        1,
        first.requested_position,
    )
    assert isinstance(purge_status(log.purges, log.position, second.id), Pending)
    log.append_purge(CompletePurges(second.requested_position, (1,)))
    assert [receipt_of(log, requested.id).doors[0].position for requested in (first, second)] == [2, 3]
    log.request_purge(3, OTHER_MEMBER)
    assert [past.position for past in log.purges.past.entries()] == [
        second.requested_position,
        second.requested_position + 3,
    ]
    third = log.request_purge(4)
    assert [past.position for past in log.purges.past.entries()] == [
        third.requested_position - 1,
        third.requested_position,
    ]


def test_a_purge_during_a_split_names_the_shards_of_both_sides() -> None:
    log = PurgeLog()
    id_ = purge_id(0, 1)
    assert log.append_purge(RequestPurge(id_, MEMBER, shards=("west", "east"))).error
    assert not log.append_purge(RequestPurge(id_, MEMBER, shards=("east", "west"))).error
    status = purge_status(log.purges, log.position, id_)
    assert isinstance(status, Pending) and status.doors == ()
    log.append_purge(CompletePurges(log.position, ()))
    assert receipt_of(log, id_).shards == ("east", "west")


def test_a_receipt_is_sealed_with_its_front_doors_in_order() -> None:
    log = PurgeLog()
    log.open_sessions(C, A, B)
    requested = log.request_purge()
    log.append_purge(CompletePurges(requested.requested_position, (1, 2, 3)))
    receipt = receipt_of(log, requested.id)
    assert is_intact(receipt) and [clearance.instance.name for clearance in receipt.doors] == ["a", "b", "c"]
    reversed_receipt = msgspec.structs.replace(receipt, doors=receipt.doors[::-1])
    assert canonical_bytes(reversed_receipt) == canonical_bytes(receipt)
    for changes in (
        {"completed_position": 9},
        {"member": OTHER_MEMBER},
        {"doors": receipt.doors[1:]},
        {"hash": "0" * 64},
    ):
        assert not is_intact(msgspec.structs.replace(receipt, **changes))


def test_an_id_from_before_the_retained_window_is_forgotten_and_never_pending_anew() -> None:
    log = PurgeLog()
    ids = []
    for number in range(7):
        requested = log.request_purge(number)
        ids.append(requested.id)
        log.append_purge(CompletePurges(requested.requested_position, ()))
    assert log.purges.counts["done"] == SMALL_BOUNDS.max_completed
    for id_ in ids[:3]:
        assert purge_status(log.purges, log.position, id_) == Forgotten(id_)
        assert log.append_purge(RequestPurge(id_, MEMBER)).error.startswith("too old to tell")
        assert purge_status(log.purges, log.position, id_) == Forgotten(id_)
    assert isinstance(purge_status(log.purges, log.position, ids[3]), Receipt)
    new_id = purge_id(log.position, 99)
    assert purge_status(log.purges, log.position, new_id) == NotFound(new_id, log.position)
    assert (
        log.append_purge(RequestPurge(purge_id(log.position + 1), MEMBER)).error
        == "this id was not drawn from this log"
    )


def test_a_purge_completed_with_later_ones_is_found_until_it_is_forgotten() -> None:
    log = PurgeLog()
    log.open_sessions(A)
    earliest = log.request_purge(1)
    log.append_lease(leases.CloseSession(A, 1), A)
    for number in range(8):
        requested = log.request_purge(10 + number, OTHER_MEMBER)
        log.append_purge(CompletePurges(requested.requested_position, ()))
        if number == 0:
            assert isinstance(log.purges.find(earliest.id), CompletedPurge)
    assert isinstance(purge_status(log.purges, log.position, earliest.id), Forgotten)


def test_a_request_beyond_the_pending_limit_is_rejected_until_others_complete() -> None:
    log = PurgeLog()
    log.open_sessions(A)
    for number in range(SMALL_BOUNDS.max_pending):
        log.request_purge(number)
    body = RequestPurge(purge_id(log.position, 77), MEMBER)
    assert log.append_purge(body).error == "8 purges are pending: ask again later"
    log.append_purge(CompletePurges(log.position, (1,)))
    assert not log.append_purge(body).error


def test_the_rows_of_cohorts_and_rosters_stay_bounded_as_front_doors_restart() -> None:
    log = PurgeLog(replace(SMALL_BOUNDS, max_pending=100, max_completed=100, max_rows=10))
    log.open_sessions(A, B, C)
    instance, rejected = A, 0
    for number in range(8):
        body = RequestPurge(purge_id(log.position, number), MEMBER)
        rejected += bool(log.append_purge(body).error)
        instance = NodeInstance("a", number + 2)
        log.open_sessions(instance)
        assert log.purges.cohorts.row_count <= 10 and len(log.purges.cohorts) <= 3
    assert rejected == 5
    for number in range(8):
        log.append_purge(CompletePurges(log.position, (2, 3, log.fencing_token(instance))))
        log.request_purge(20 + number)
        instance = NodeInstance("a", number + 20)
        log.open_sessions(instance)
        assert log.purges.rosters.row_count <= 10
    assert log.purges.counts["done"] < 8


def test_one_entry_completes_a_bounded_number_of_purges() -> None:
    log = PurgeLog(Bounds())
    for number in range(MAX_COMPLETED_PER_ENTRY + 5):
        log.request_purge(number)
    assert completed_by(log.append_purge(CompletePurges(log.position, ())))[0] == MAX_COMPLETED_PER_ENTRY
    assert completed_by(log.append_purge(CompletePurges(log.position, ())))[0] == 5
    assert len(log.purges.rosters) == 1 and not len(log.purges.cohorts)


def test_one_entry_checks_a_bounded_number_of_rows() -> None:
    log = PurgeLog(Bounds())
    log.open_sessions(*(NodeInstance(f"d{number}", 1) for number in range(200)))
    for number in range(40):
        log.request_purge(number)
        log.open_sessions(NodeInstance("d0", 2 + number))
    tokens = tuple(log.fencing_token(NodeInstance(f"d{number}", 1)) for number in range(200))
    completed = [completed_by(log.append_purge(CompletePurges(log.position, tokens)))[0] for _ in range(2)]
    assert completed == [MAX_ROWS_PER_ENTRY // 201 + 1, 40 - MAX_ROWS_PER_ENTRY // 201 - 1]


def test_the_newest_purge_of_a_scope_is_kept_until_what_it_invalidates_has_expired() -> None:
    log = PurgeLog()
    first = log.request_purge(1, at_ms=5000)
    log.request_purge(2, OTHER_MEMBER, at_ms=5500)
    log.request_purge(3, OTHER_MEMBER, "load", at_ms=6000)  # 1,000 ms after the first, which may still matter
    assert [past.position for past in log.purges.past.entries()] == [1, 2, 3] and not log.purges.past.floor
    log.request_purge(4, OTHER_MEMBER, "load", at_ms=6001)
    assert [past.position for past in log.purges.past.entries()] == [2, 4]
    assert log.purges.past.floor == first.requested_position
    for number in range(10):
        log.append_purge(
            CompletePurges(log.request_purge(10 + number, f"{number:016x}").requested_position, ())
        )
        assert len(log.purges.past) <= SMALL_BOUNDS.max_past
    assert log.purges.past.floor == log.purges.past.entries()[0].position - 2 > 4


def test_a_status_names_the_position_at_which_it_holds() -> None:
    log = PurgeLog()
    log.open_sessions(A, B)
    requested = log.request_purge()
    status = purge_status(log.purges, 3, requested.id)
    assert isinstance(status, Pending) and (status.as_of, status.requested_ms) == (3, 1000)
    assert [each.door for each in status.doors] == [A, B] and "leader" in status.doors[0].reason
    missing = (MissingAcknowledgement(B, 5, 2, None, "applied only to 2"),)
    status = purge_status(log.purges, 3, requested.id, missing=missing)
    assert isinstance(status, Pending) and [(each.door, each.reason) for each in status.doors] == [
        (B, "applied only to 2")
    ]
    assert purge_status(log.purges, 3, requested.id, required_position=4) == Behind(requested.id, 3)
    assert purge_status(log.purges, 3, purge_id(0, 5), required_position=4) == Behind(purge_id(0, 5), 3)
    log.append_purge(CompletePurges(3, (1, 2)))
    assert purge_status(log.purges, 4, requested.id, required_position=9) == receipt_of(log, requested.id)
    with pytest.raises(ValueError, match="not a purge ID"):
        purge_status(log.purges, 3, "x")


def test_all_front_doors_give_the_same_status_after_a_restart_of_the_one_that_got_the_request() -> None:
    first, second = PurgeLog(), PurgeLog()
    first.open_sessions(A, B)
    requested = first.request_purge()
    for entry in first.entries:
        second.append(entry.machine, entry.body, entry.proposer)
    assert purge_status(second.purges, 3, requested.id) == purge_status(first.purges, 3, requested.id)
    restarted = NodeInstance("a", 2)
    second.open_sessions(restarted)  # it got the request before its restart, and has no memory of it
    second.append_purge(CompletePurges(requested.requested_position, (2,)))
    third = PurgeLog()
    third.purges.restore(second.purges.snapshot())
    receipt = receipt_of(second, requested.id)
    assert (
        purge_status(third.purges, 5, requested.id, required_position=5) == receipt
        and receipt.doors[0].evidence is ClearanceEvidence.RESTARTED
    )
    assert decode_request_result(
        third.append_purge(RequestPurge(requested.id, MEMBER)).value
    ) == RequestResult(requested.id, 3, 5)
    assert receipt_of(third, requested.id) == receipt


def test_a_restored_replica_has_the_same_state_after_further_entries() -> None:
    log = PurgeLog()
    log.open_sessions(C, A)
    for number in range(7):
        requested = log.request_purge(number, f"{number:016x}", at_ms=1000 + 400 * number)
        if number < 5:
            log.append_purge(CompletePurges(requested.requested_position, (1, 2)))
    assert log.purges.past.floor and log.purges.forgotten_position
    restored = PurgeLog()
    restored.sessions.restore(log.sessions.snapshot())
    restored.purges.restore(log.purges.snapshot())
    restored.position, restored.at_ms = log.position, log.at_ms
    for replica in (log, restored):
        replica.open_sessions(B)
        replica.request_purge(50)
        replica.append_purge(CompletePurges(replica.position, (1, 2, replica.fencing_token(B))))
    assert restored.purges.snapshot() == log.purges.snapshot()
    assert restored.purges.counts == log.purges.counts


def test_an_invalid_snapshot_is_rejected_and_changes_nothing() -> None:
    log = PurgeLog()
    log.open_sessions(A)
    requested = log.request_purge(1)
    log.request_purge(2)
    log.append_purge(CompletePurges(requested.requested_position, (1,)))
    log.request_purge(3)
    state = msgspec.json.decode(log.purges.snapshot())
    invalid_snapshots = [
        b"",
        b"{}",
        msgspec.json.encode({**state, "cohorts": []}),
        msgspec.json.encode({**state, "rosters": state["rosters"] + state["rosters"]}),
        msgspec.json.encode({**state, "pending": state["pending"] + state["pending"]}),
        msgspec.json.encode({**state, "pending": state["pending"][::-1]}),
        msgspec.json.encode({**state, "past": [["x", "", 1, 1]]}),
        msgspec.json.encode({**state, "next_cohort": 1}),
        msgspec.json.encode({**state, "more": 1}),
    ]
    for data in invalid_snapshots:
        purges = Purges(log.sessions, SMALL_BOUNDS)
        with pytest.raises(ValueError, match="not a snapshot"):
            purges.restore(data)
        assert purges.snapshot() == Purges(log.sessions, SMALL_BOUNDS).snapshot()


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"x" * 9000,
        b'{"kind":"ask","id":"1","member":"00000000000000aa"}',
        b'{"kind":"ask","id":"0-0000000000000000","member":"AA"}',
        b'{"kind":"ask","id":"0-0000000000000000","member":"00000000000000aa\\n"}',
        b'{"kind":"ask","id":"0-0000000000000000","member":"00000000000000aa","shards":["a","b","c"]}',
        b'{"kind":"done","upto":-1,"said":[]}',
        b'{"kind":"done","upto":1,"said":[],"x":1}',
    ],
)
def test_an_invalid_body_is_rejected_and_changes_nothing(body: bytes) -> None:
    log = PurgeLog()
    snapshot_before = log.purges.snapshot()
    assert log.append_purge(body).error == "not understood" and log.purges.snapshot() == snapshot_before


def test_an_id_contains_the_position_at_which_it_was_drawn() -> None:
    draws = iter((0.5, 0.999999999))
    id_ = draw_id(300, lambda: next(draws))
    assert is_purge_id(id_) and drawn_position(id_) == 300 and id_ == "12c-80000000fffffffb"
    assert not is_purge_id("12C-80000000fffffffb") and not is_purge_id(id_ + "\n")
