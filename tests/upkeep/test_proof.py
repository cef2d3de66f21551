"""No permit without a full proof: each front door that could still send there, and how that is known."""

import pytest

from molereach.coordination.interface.clearance import ClearanceEvidence
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.upkeep.permits.bodies import MAX_ENTRY_BODY_BYTES, Move, Out, Stand, Word, encode
from molereach.upkeep.permits.clearance_accounting import Accounting
from molereach.upkeep.permits.lifecycle import State, Step
from molereach.upkeep.permits.proof import needed
from molereach.upkeep.permits.time_marks import MOST_MARKS, Mark, marked, waited
from tests.upkeep.builders import LOOSE, work
from tests.upkeep.state_machine_log import A, B, C, Logged, logged

A2 = NodeInstance("a", 2)


def emptied(*, stand: tuple[str, ...] = ()) -> Logged:
    log = logged(work("w"))
    if stand:
        log.ok(Stand(stand))
        log.ok(Stand(()))
    log.to(State.EMPTY)
    return log


def later(log: Logged, ms: int = LOOSE.over_wait_ms) -> None:
    log.at_ms += ms
    log.seen()


@pytest.mark.parametrize("missing", range(3))
def test_a_proof_speaks_of_each_that_was_open(missing: int) -> None:
    log = emptied()
    proof = log.proof()
    short = tuple(word for number, word in enumerate(proof) if number != missing)
    assert log.out(proof=short).error == f"proof: no word of {'abc'[missing]}"
    late = tuple(
        Word(word.fence, word.known, log.record().begun - 1) if number == missing else word
        for number, word in enumerate(proof)
    )
    assert "has said" in log.out(proof=late).error
    assert log.out(proof=(*proof, Word(77, ClearanceEvidence.REPORTED, 5))).error == "", (
        "more than is needed does no harm"
    )


def test_what_is_said_of_an_end_is_what_the_sessions_say() -> None:
    log = emptied()
    log.close(C)
    proof = log.proof()
    assert proof[2].known is ClearanceEvidence.LEFT
    for known, position in (
        (ClearanceEvidence.SESSION_EXPIRED, proof[2].position),
        (ClearanceEvidence.LEFT, proof[2].position + 1),
    ):
        wrong = (*proof[:2], Word(proof[2].fence, known, position))
        assert "c is left by" in log.out(proof=wrong).error
    wrong = (Word(proof[0].fence, ClearanceEvidence.SESSION_EXPIRED, 3), *proof[1:])
    assert log.out(proof=wrong).error == "proof: a has a session and has not said so"
    assert log.out(proof=proof).error == ""


def test_a_new_life_accounts_for_the_one_before() -> None:
    log = emptied()
    log.open(A2)
    assert log.out().error == ""


def test_one_that_had_said_so_before_its_session_was_over_counts() -> None:
    log = emptied()
    said = log.proof()
    log.over(A)
    assert log.out().error == "proof: a is not over for long enough"
    assert log.out(proof=said).error == ""


def test_one_without_a_session_is_waited_for_so_long() -> None:
    log = emptied()
    log.over(A)
    later(log, LOOSE.over_wait_ms // 16)  # the first mark after it
    later(log, LOOSE.over_wait_ms - 1)
    assert log.out().error == "proof: a is not over for long enough"
    later(log, 1)
    assert log.out().error == ""


def test_one_that_was_without_a_session_already_when_the_draining_began_counts_too() -> None:
    log = logged(work("w"))
    log.over(A)
    log.to(State.EMPTY)
    assert [session.instance for session in needed(log.sessions, log.record().begun)] == [A, B, C]
    claimed = (
        Word(needed(log.sessions, 0)[0].fencing_token, ClearanceEvidence.REPORTED, 99),
        *log.proof()[1:],
    )
    assert log.out(proof=claimed).error == "proof: a had no session any more"
    assert log.out().error == "proof: a is not over for long enough"
    later(log)
    later(log)
    assert log.out().error == ""


def test_one_that_has_a_session_again_says_so_again() -> None:
    log = logged(work("w"))
    log.over(A)
    log.to(State.EMPTY)
    proof = log.proof()
    later(log)
    log.open(A)  # the same life: what it sent meanwhile may be under way
    assert log.out(proof=proof).error == "proof: no word of a"
    assert log.out().error == ""


def test_one_without_a_session_that_may_count_on_a_server_keeps_it() -> None:
    log = emptied(stand=("s0",))
    log.over(A)
    later(log)
    later(log)
    assert log.out().error == "proof: a may still count on it"
    log.open(A2)
    assert log.out().error == ""


def test_one_whose_session_began_after_the_server_stood_does_not_count_on_it() -> None:
    log = logged(work("w"))
    log.ok(Stand(("s0",)))
    log.ok(Stand(()))
    log.open(A2)
    log.to(State.EMPTY)
    log.over(A2)
    later(log)
    later(log)
    assert log.out().error == ""


def test_what_left_or_was_replaced_before_is_not_alone_though_a_later_life_is() -> None:
    log = logged(work("w"))
    log.to(State.EMPTY)
    log.close(A)
    log.book.unstood["s0"] = log.fence(B)  # it stood while the first of a's lives had its session
    log.open(A2)
    log.over(A2)
    later(log)
    later(log)
    assert log.out().error == ""


def test_one_that_was_over_and_has_left_since_is_not_alone() -> None:
    log = logged(work("w"))
    log.to(State.EMPTY)
    log.over(A)
    log.open(A2)
    log.close(A2)
    assert log.out().error == ""


def test_what_nobody_can_count_on_any_more_is_forgotten() -> None:
    log = logged()
    log.ok(Stand(("s0",)))
    log.ok(Stand(("s1",)))
    assert log.book.unstood.keys() == {"s0"}
    log.open(A2, NodeInstance("b", 2), NodeInstance("c", 2))
    log.ok(Stand(("s2",)))
    assert log.book.unstood.keys() == {"s1"}
    log.over(A2)
    log.open(NodeInstance("b", 3), NodeInstance("c", 3))
    log.ok(Stand(("s3",)))
    assert log.book.unstood.keys() == {"s1", "s2"}, "one without a session may count on it"


def test_marks_say_when_a_position_was_there_at_the_latest() -> None:
    marks: tuple[Mark, ...] = ()
    for number in range(100):
        marks = marked(marks, number, number * 10, 1600)
    assert len(marks) == 10 and marks[1] == Mark(10, 100)
    assert not waited(marks, 5, 1699, 1600) and waited(marks, 5, 1700, 1600)
    assert not waited(marks, 10, 1700, 1600), "the mark at the position itself is not after it"
    assert not waited(marks, 99, 1 << 50, 1600), "nothing was settled since"
    for number in range(100, 10_000):
        marks = marked(marks, number, number * 10, 1600)
    assert len(marks) == MOST_MARKS and waited(marks, 0, 99_990, 1600)


def test_the_longest_proof_fits_in_an_entry() -> None:
    longest = tuple(Word(1 << 62, ClearanceEvidence.REPORTED, 1 << 62) for _ in range(256))
    assert len(encode(Out("w" * 64, 1 << 62, longest))) <= MAX_ENTRY_BODY_BYTES


class Said:
    """What is said of each session, by its fence."""

    def __init__(self, **clear: int) -> None:
        self.said = clear

    def clear(self, name: str, fence: int) -> int:
        return self.said.get(name, 0)


def test_a_leader_names_whom_it_misses_and_why() -> None:
    log = logged(work("w"))
    log.over(C)
    log.to(State.DRAINING)
    begun = log.record().begun
    said = Said(a=begun, b=begun - 1)
    accounting = Accounting(log.sessions, said, LOOSE.over_wait_ms)
    accounting.look(5)
    words, missed = accounting.account(5, begun, -1)
    assert [(each.door, each.why) for each in missed] == [
        (B, f"has said {begun - 1} of {begun}"),
        (C, "is without a session for too short a time"),
    ]
    said.said["b"] = begun
    wait_us = LOOSE.over_wait_ms * 1000
    assert len(accounting.account(5 + wait_us - 1, begun, -1)[1]) == 1
    words, missed = accounting.account(5 + wait_us, begun, -1)
    assert not missed and words == log.proof(said=begun)
    assert "may count on it" in accounting.account(5 + wait_us, begun, begun)[1][0].why
    # One that is back and gone again counts anew.
    log.open(C)
    accounting.look(6 + wait_us)
    log.over(C)
    accounting.look(7 + wait_us)
    assert accounting.account(8 + wait_us, begun, -1)[1][-1].door == C
    log.ok(Move("w", Step.RECALL, begun))
