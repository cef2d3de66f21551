"""Asked, then done by proof: what is refused, what a receipt says, and what is forgotten how."""

from dataclasses import replace

import msgspec
import pytest

from molereach.cache.purge.answers import Behind, NotHere, Pending, TooOld, answer
from molereach.cache.purge.bodies import Ask, Done, Standing, standing
from molereach.cache.purge.ids import draw_id, drawn_at, is_id
from molereach.cache.purge.machine import MOST_DONE_AT_ONCE, MOST_ROWS_AT_ONCE, Bounds, Purges
from molereach.cache.purge.receipt import Receipt, canonical, intact
from molereach.cache.purge.records import Finished
from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.leases import bodies as leases
from molereach.coordination.leases.acknowledgements import MissingAcknowledgement
from tests.cache.purge.entries import MEMBER, OTHER, SMALL, A, B, C, Log, ended_by, purge_id


def receipt(log: Log, name: str) -> Receipt:
    known = log.purges.find(name)
    assert isinstance(known, Finished)
    return log.purges.receipt(known)


def test_a_purge_is_done_when_each_session_that_was_open_has_said_so_or_has_ended() -> None:
    log = Log()
    log.opens(B, A)
    asked = log.ask()
    log.opens(C)  # it had the purge before it served
    said = log.fence(A), log.fence(B)
    assert log.purge(Done(asked.asked, said[:1])).error == "front door b is not accounted for"
    assert log.purge(Done(asked.asked - 1, said)).error == "nothing is pending up to there"
    log.lease(leases.CloseSession(B, log.fence(B)), B)
    done = log.purge(Done(asked.asked, said[:1]))
    assert ended_by(done) == (1, asked.asked)
    told = receipt(log, asked.id)
    assert told.doors == (
        NodeClearance(A, ClearanceEvidence.REPORTED, asked.asked),
        NodeClearance(B, ClearanceEvidence.LEFT, 7),
    )
    assert (told.asked, told.done, told.member, told.id) == (3, 8, MEMBER, asked.id)
    assert log.purge(Done(asked.asked, said)).error == "nothing is pending up to there"
    assert receipt(log, asked.id) == told


def test_a_door_that_ended_is_known_by_how_it_ended_whatever_was_said() -> None:
    log = Log()
    log.opens(A, B, C)
    asked = log.ask()
    later = NodeInstance("b", 2)
    fences = log.fence(A), log.fence(B), log.fence(C)
    log.lease(leases.OpenSession(later), later)
    log.lease(leases.BecomeManager(7))
    log.lease(leases.EndSession(C, log.fence(C), 7))
    assert not log.purge(Done(asked.asked, fences)).error
    assert receipt(log, asked.id).doors == (
        NodeClearance(A, ClearanceEvidence.REPORTED, 4),
        NodeClearance(B, ClearanceEvidence.RESTARTED, 5),
        NodeClearance(C, ClearanceEvidence.SESSION_EXPIRED, 7),
    )


def test_one_that_ended_too_often_since_to_be_remembered_is_still_in_the_receipt() -> None:
    log = Log()
    log.opens(A, B)
    asked = log.ask()
    log.lease(leases.BecomeManager(7))
    for _ in range(6):
        log.lease(leases.EndSession(B, log.fence(B), 7))
        log.opens(B)
    assert not any(each.fencing_token == 2 for each in log.sessions.sessions_open_at(asked.asked))
    assert log.purge(Done(asked.asked, ())).error == "front door a is not accounted for"
    assert not log.purge(Done(asked.asked, (log.fence(A),))).error
    assert receipt(log, asked.id).doors[1] == NodeClearance(
        B, ClearanceEvidence.SESSION_EXPIRED, log.position
    )


def test_a_new_session_of_a_door_does_not_speak_for_its_earlier_one() -> None:
    log = Log()
    log.opens(A)
    before = log.ask()
    log.lease(leases.CloseSession(A, log.fence(A)), A)
    anew = NodeInstance("a", 2)
    log.opens(anew)
    again = log.ask(1)
    assert log.purge(Done(again.asked, ())).error == ""  # the first needs no word any more
    assert receipt(log, before.id).doors == (NodeClearance(A, ClearanceEvidence.LEFT, 3),)
    assert not isinstance(log.purges.find(again.id), Finished)
    assert ended_by(log.purge(Done(again.asked, (log.fence(anew),)))) == (1, again.asked)


def test_the_same_id_is_the_same_purge_and_of_no_other_member() -> None:
    log = Log()
    log.opens(A)
    asked = log.ask()
    repeat = Ask(asked.id, MEMBER, shards=("east",))
    assert standing(log.purge(repeat).value) == asked
    for wrong in (Ask(asked.id, OTHER), Ask(asked.id, MEMBER, "load")):
        assert log.purge(wrong).error == "this id is of another purge"
    log.purge(Done(asked.asked, (1,)))
    told = receipt(log, asked.id)
    assert standing(log.purge(repeat).value).done == told.done
    assert log.purge(Ask(asked.id, OTHER)).error and receipt(log, asked.id) == told
    assert log.purges.counts == {"pending": 0, "done": 1, "past": 1}


def test_two_purges_of_one_member_are_each_done_by_their_own_proof() -> None:
    log = Log()
    log.opens(A)
    first = log.ask(1)
    second = log.ask(2)
    assert ended_by(log.purge(Done(first.asked, (1,)))) == (1, first.asked)
    assert isinstance(answer(log.purges, log.position, second.id), Pending)
    log.purge(Done(second.asked, (1,)))
    assert [receipt(log, each.id).doors[0].position for each in (first, second)] == [2, 3]
    log.ask(3, OTHER)
    assert [past.position for past in log.purges.past.all()] == [second.asked, second.asked + 3]
    third = log.ask(4)
    assert [past.position for past in log.purges.past.all()] == [third.asked - 1, third.asked]


def test_a_purge_in_the_middle_of_a_split_names_both_sides() -> None:
    log = Log()
    name = purge_id(0, 1)
    assert log.purge(Ask(name, MEMBER, shards=("west", "east"))).error
    assert not log.purge(Ask(name, MEMBER, shards=("east", "west"))).error
    pending = answer(log.purges, log.position, name)
    assert isinstance(pending, Pending) and pending.doors == ()
    log.purge(Done(log.position, ()))
    assert receipt(log, name).shards == ("east", "west")


def test_a_receipt_is_sealed_in_the_order_of_the_front_doors() -> None:
    log = Log()
    log.opens(C, A, B)
    asked = log.ask()
    log.purge(Done(asked.asked, (1, 2, 3)))
    told = receipt(log, asked.id)
    assert intact(told) and [each.instance.name for each in told.doors] == ["a", "b", "c"]
    turned = msgspec.structs.replace(told, doors=told.doors[::-1])
    assert canonical(turned) == canonical(told)
    for changed in ({"done": 9}, {"member": OTHER}, {"doors": told.doors[1:]}, {"hash": "0" * 64}):
        assert not intact(msgspec.structs.replace(told, **changed))


def test_what_is_older_than_the_window_is_told_so_and_never_pending_anew() -> None:
    log = Log()
    names = []
    for number in range(7):
        asked = log.ask(number)
        names.append(asked.id)
        log.purge(Done(asked.asked, ()))
    assert log.purges.counts["done"] == SMALL.most_done
    for name in names[:3]:
        assert answer(log.purges, log.position, name) == TooOld(name)
        assert log.purge(Ask(name, MEMBER)).error.startswith("too old to tell")
        assert answer(log.purges, log.position, name) == TooOld(name)
    assert isinstance(answer(log.purges, log.position, names[3]), Receipt)
    new = purge_id(log.position, 99)
    assert answer(log.purges, log.position, new) == NotHere(new, log.position)
    assert log.purge(Ask(purge_id(log.position + 1), MEMBER)).error == "this id was not drawn from this log"


def test_a_purge_that_was_pending_for_long_is_still_known_when_later_ones_are_forgotten() -> None:
    log = Log()
    log.opens(A)
    stuck = log.ask(1)
    log.lease(leases.CloseSession(A, 1), A)
    for number in range(8):
        asked = log.ask(10 + number, OTHER)
        log.purge(Done(asked.asked, ()))
        if number == 0:
            assert isinstance(log.purges.find(stuck.id), Finished)
    assert isinstance(answer(log.purges, log.position, stuck.id), TooOld)


def test_too_many_at_once_are_refused_and_may_come_again() -> None:
    log = Log()
    log.opens(A)
    for number in range(SMALL.most_pending):
        log.ask(number)
    body = Ask(purge_id(log.position, 77), MEMBER)
    assert log.purge(body).error == "8 purges are pending: ask again later"
    log.purge(Done(log.position, (1,)))
    assert not log.purge(body).error


def test_lists_of_front_doors_are_bounded_over_any_changes_of_them() -> None:
    log = Log(replace(SMALL, most_pending=100, most_done=100, most_rows=10))
    log.opens(A, B, C)
    last, refused = A, 0
    for number in range(8):
        body = Ask(purge_id(log.position, number), MEMBER)
        refused += bool(log.purge(body).error)
        last = NodeInstance("a", number + 2)
        log.opens(last)
        assert log.purges.cohorts.rows <= 10 and len(log.purges.cohorts) <= 3
    assert refused == 5
    for number in range(8):
        log.purge(Done(log.position, (2, 3, log.fence(last))))
        log.ask(20 + number)
        last = NodeInstance("a", number + 20)
        log.opens(last)
        assert log.purges.rosters.rows <= 10
    assert log.purges.counts["done"] < 8


def test_one_entry_ends_a_bounded_number() -> None:
    log = Log(Bounds())
    for number in range(MOST_DONE_AT_ONCE + 5):
        log.ask(number)
    assert ended_by(log.purge(Done(log.position, ())))[0] == MOST_DONE_AT_ONCE
    assert ended_by(log.purge(Done(log.position, ())))[0] == 5
    assert len(log.purges.rosters) == 1 and not len(log.purges.cohorts)


def test_one_entry_looks_through_a_bounded_number_of_front_doors() -> None:
    log = Log(Bounds())
    log.opens(*(NodeInstance(f"d{number}", 1) for number in range(200)))
    for number in range(40):
        log.ask(number)
        log.opens(NodeInstance("d0", 2 + number))
    said = tuple(log.fence(NodeInstance(f"d{number}", 1)) for number in range(200))
    ended = [ended_by(log.purge(Done(log.position, said)))[0] for _ in range(2)]
    assert ended == [MOST_ROWS_AT_ONCE // 201 + 1, 40 - MOST_ROWS_AT_ONCE // 201 - 1]


def test_the_newest_purge_of_a_scope_is_kept_until_what_it_forbids_is_dead() -> None:
    log = Log()
    first = log.ask(1, at_ms=5000)
    log.ask(2, OTHER, at_ms=5500)
    log.ask(3, OTHER, "load", at_ms=6000)  # 1,000 ms after the first: it may still matter
    assert [past.position for past in log.purges.past.all()] == [1, 2, 3] and not log.purges.past.floor
    log.ask(4, OTHER, "load", at_ms=6001)
    assert [past.position for past in log.purges.past.all()] == [2, 4]
    assert log.purges.past.floor == first.asked
    for number in range(10):
        log.purge(Done(log.ask(10 + number, f"{number:016x}").asked, ()))
        assert len(log.purges.past) <= SMALL.most_past
    assert log.purges.past.floor == log.purges.past.all()[0].position - 2 > 4


def test_answers_say_of_what_position_they_are_true() -> None:
    log = Log()
    log.opens(A, B)
    asked = log.ask()
    told = answer(log.purges, 3, asked.id)
    assert isinstance(told, Pending) and (told.as_of, told.asked_ms) == (3, 1000)
    assert [each.door for each in told.doors] == [A, B] and "leader" in told.doors[0].why
    missing = (MissingAcknowledgement(B, 5, 2, None, "applied only to 2"),)
    told = answer(log.purges, 3, asked.id, missing=missing)
    assert isinstance(told, Pending) and [(each.door, each.why) for each in told.doors] == [
        (B, "applied only to 2")
    ]
    assert answer(log.purges, 3, asked.id, least=4) == Behind(asked.id, 3)
    assert answer(log.purges, 3, purge_id(0, 5), least=4) == Behind(purge_id(0, 5), 3)
    log.purge(Done(3, (1, 2)))
    assert answer(log.purges, 4, asked.id, least=9) == receipt(log, asked.id)
    with pytest.raises(ValueError, match="not an id"):
        answer(log.purges, 3, "x")


def test_the_front_door_that_was_asked_dies_and_any_other_tells_the_same() -> None:
    first, second = Log(), Log()
    first.opens(A, B)
    asked = first.ask()
    for entry in first.entries:
        second.add(entry.machine, entry.body, entry.proposer)
    assert answer(second.purges, 3, asked.id) == answer(first.purges, 3, asked.id)
    later = NodeInstance("a", 2)
    second.opens(later)  # it was the first, and knows nothing of what it was asked
    second.purge(Done(asked.asked, (2,)))
    third = Log()
    third.purges.restore(second.purges.snapshot())
    told = receipt(second, asked.id)
    assert (
        answer(third.purges, 5, asked.id, least=5) == told
        and told.doors[0].evidence is ClearanceEvidence.RESTARTED
    )
    assert standing(third.purge(Ask(asked.id, MEMBER)).value) == Standing(asked.id, 3, 5)
    assert receipt(third, asked.id) == told


def test_a_snapshot_restores_to_the_same_bytes_and_goes_on_the_same() -> None:
    log = Log()
    log.opens(C, A)
    for number in range(7):
        asked = log.ask(number, f"{number:016x}", at_ms=1000 + 400 * number)
        if number < 5:
            log.purge(Done(asked.asked, (1, 2)))
    assert log.purges.past.floor and log.purges.forgotten
    other = Log()
    other.sessions.restore(log.sessions.snapshot())
    other.purges.restore(log.purges.snapshot())
    other.position, other.at_ms = log.position, log.at_ms
    for each in (log, other):
        each.opens(B)
        each.ask(50)
        each.purge(Done(each.position, (1, 2, each.fence(B))))
    assert other.purges.snapshot() == log.purges.snapshot()
    assert other.purges.counts == log.purges.counts


def test_a_snapshot_that_no_log_leaves_is_refused_and_changes_nothing() -> None:
    log = Log()
    log.opens(A)
    first = log.ask(1)
    log.ask(2)
    log.purge(Done(first.asked, (1,)))
    log.ask(3)
    state = msgspec.json.decode(log.purges.snapshot())
    wrong = [
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
    for data in wrong:
        purges = Purges(log.sessions, SMALL)
        with pytest.raises(ValueError, match="not a snapshot"):
            purges.restore(data)
        assert purges.snapshot() == Purges(log.sessions, SMALL).snapshot()


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
def test_a_body_that_is_not_understood_changes_nothing(body: bytes) -> None:
    log = Log()
    before = log.purges.snapshot()
    assert log.purge(body).error == "not understood" and log.purges.snapshot() == before


def test_ids_say_where_the_log_stood() -> None:
    draws = iter((0.5, 0.999999999))
    name = draw_id(300, lambda: next(draws))
    assert is_id(name) and drawn_at(name) == 300 and name == "12c-80000000fffffffb"
    assert not is_id("12C-80000000fffffffb") and not is_id(name + "\n")
