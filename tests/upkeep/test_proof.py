"""No permit without a complete proof: which front doors could still send, and how it is known that they
don't."""

import pytest

from molereach.coordination.interface.clearance import ClearanceEvidence
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.upkeep.permits.bodies import (
    MAX_ENTRY_BODY_BYTES,
    GrantPermit,
    SessionClearance,
    SetFallbackServers,
    TakeStep,
    encode,
)
from molereach.upkeep.permits.clearance_accounting import ClearanceAccounting
from molereach.upkeep.permits.lifecycle import State, Step
from molereach.upkeep.permits.proof import sessions_to_clear
from molereach.upkeep.permits.time_marks import MAX_MARKS, TimeMark, add_mark, wait_elapsed
from tests.upkeep.builders import PERMISSIVE, work_item
from tests.upkeep.state_machine_log import A, B, C, StateMachineLog, state_machine_log

A2 = NodeInstance("a", 2)


def drained_log(*, fallback_servers: tuple[str, ...] = ()) -> StateMachineLog:
    log = state_machine_log(work_item("w"))
    if fallback_servers:
        log.accept(SetFallbackServers(fallback_servers))
        log.accept(SetFallbackServers(()))
    log.advance_to(State.DRAINED)
    return log


def wait(log: StateMachineLog, ms: int = PERMISSIVE.expired_session_wait_ms) -> None:
    log.at_ms += ms
    log.report_facts()


@pytest.mark.parametrize("missing", range(3))
def test_proof_covers_each_open_session(missing: int) -> None:
    log = drained_log()
    proof = log.proof()
    incomplete = tuple(clearance for number, clearance in enumerate(proof) if number != missing)
    assert log.grant_permit(proof=incomplete).error == f"proof: no word of {'abc'[missing]}"
    too_early = tuple(
        SessionClearance(clearance.fence, clearance.known, log.record().begun - 1)
        if number == missing
        else clearance
        for number, clearance in enumerate(proof)
    )
    assert "has said" in log.grant_permit(proof=too_early).error
    assert (
        log.grant_permit(proof=(*proof, SessionClearance(77, ClearanceEvidence.REPORTED, 5))).error == ""
    ), "a superfluous clearance does no harm"


def test_clearance_of_an_ended_session_must_match_the_session_registry() -> None:
    log = drained_log()
    log.close_session(C)
    proof = log.proof()
    assert proof[2].known is ClearanceEvidence.LEFT
    for known, position in (
        (ClearanceEvidence.SESSION_EXPIRED, proof[2].position),
        (ClearanceEvidence.LEFT, proof[2].position + 1),
    ):
        invalid = (*proof[:2], SessionClearance(proof[2].fence, known, position))
        assert "c is left by" in log.grant_permit(proof=invalid).error
    invalid = (SessionClearance(proof[0].fence, ClearanceEvidence.SESSION_EXPIRED, 3), *proof[1:])
    assert log.grant_permit(proof=invalid).error == "proof: a has a session and has not said so"
    assert log.grant_permit(proof=proof).error == ""


def test_new_instance_clears_the_previous_one() -> None:
    log = drained_log()
    log.open_sessions(A2)
    assert log.grant_permit().error == ""


def test_clearance_reported_before_expiry_counts() -> None:
    log = drained_log()
    reported = log.proof()
    log.expire_session(A)
    assert log.grant_permit().error == "proof: a is not over for long enough"
    assert log.grant_permit(proof=reported).error == ""


def test_expired_session_is_cleared_after_the_wait() -> None:
    log = drained_log()
    log.expire_session(A)
    wait(log, PERMISSIVE.expired_session_wait_ms // 16)  # the first mark after it
    wait(log, PERMISSIVE.expired_session_wait_ms - 1)
    assert log.grant_permit().error == "proof: a is not over for long enough"
    wait(log, 1)
    assert log.grant_permit().error == ""


def test_session_expired_before_draining_must_be_covered() -> None:
    log = state_machine_log(work_item("w"))
    log.expire_session(A)
    log.advance_to(State.DRAINED)
    assert [session.instance for session in sessions_to_clear(log.sessions, log.record().begun)] == [A, B, C]
    claimed = (
        SessionClearance(sessions_to_clear(log.sessions, 0)[0].fencing_token, ClearanceEvidence.REPORTED, 99),
        *log.proof()[1:],
    )
    assert log.grant_permit(proof=claimed).error == "proof: a had no session any more"
    assert log.grant_permit().error == "proof: a is not over for long enough"
    wait(log)
    wait(log)
    assert log.grant_permit().error == ""


def test_instance_with_a_new_session_must_report_again() -> None:
    log = state_machine_log(work_item("w"))
    log.expire_session(A)
    log.advance_to(State.DRAINED)
    proof = log.proof()
    wait(log)
    log.open_sessions(A)  # the same instance: its requests from the time in between may be in flight
    assert log.grant_permit(proof=proof).error == "proof: no word of a"
    assert log.grant_permit().error == ""


def test_former_fallback_server_is_kept_while_a_proxy_without_session_may_use_it() -> None:
    log = drained_log(fallback_servers=("s0",))
    log.expire_session(A)
    wait(log)
    wait(log)
    assert log.grant_permit().error == "proof: a may still count on it"
    log.open_sessions(A2)
    assert log.grant_permit().error == ""


def test_session_opened_after_the_fallback_change_does_not_rely_on_the_server() -> None:
    log = state_machine_log(work_item("w"))
    log.accept(SetFallbackServers(("s0",)))
    log.accept(SetFallbackServers(()))
    log.open_sessions(A2)
    log.advance_to(State.DRAINED)
    log.expire_session(A2)
    wait(log)
    wait(log)
    assert log.grant_permit().error == ""


def test_closed_session_is_clear_though_a_later_instance_expired() -> None:
    log = state_machine_log(work_item("w"))
    log.advance_to(State.DRAINED)
    log.close_session(A)
    # A fallback server while the first instance of a had its session.
    log.registry.former_fallback_servers["s0"] = log.fencing_token(B)
    log.open_sessions(A2)
    log.expire_session(A2)
    wait(log)
    wait(log)
    assert log.grant_permit().error == ""


def test_instance_that_left_after_an_expiry_is_clear() -> None:
    log = state_machine_log(work_item("w"))
    log.advance_to(State.DRAINED)
    log.expire_session(A)
    log.open_sessions(A2)
    log.close_session(A2)
    assert log.grant_permit().error == ""


def test_former_fallback_servers_are_forgotten_once_no_proxy_relies_on_them() -> None:
    log = state_machine_log()
    log.accept(SetFallbackServers(("s0",)))
    log.accept(SetFallbackServers(("s1",)))
    assert log.registry.former_fallback_servers.keys() == {"s0"}
    log.open_sessions(A2, NodeInstance("b", 2), NodeInstance("c", 2))
    log.accept(SetFallbackServers(("s2",)))
    assert log.registry.former_fallback_servers.keys() == {"s1"}
    log.expire_session(A2)
    log.open_sessions(NodeInstance("b", 3), NodeInstance("c", 3))
    log.accept(SetFallbackServers(("s3",)))
    assert log.registry.former_fallback_servers.keys() == {"s1", "s2"}, (
        "a proxy without a session may rely on it"
    )


def test_marks_bound_the_time_of_a_position() -> None:
    marks: tuple[TimeMark, ...] = ()
    for number in range(100):
        marks = add_mark(marks, number, number * 10, 1600)
    assert len(marks) == 10 and marks[1] == TimeMark(10, 100)
    assert not wait_elapsed(marks, 5, 1699, 1600) and wait_elapsed(marks, 5, 1700, 1600)
    assert not wait_elapsed(marks, 10, 1700, 1600), "the mark at the position itself is not after it"
    assert not wait_elapsed(marks, 99, 1 << 50, 1600), "there is no mark after it"
    for number in range(100, 10_000):
        marks = add_mark(marks, number, number * 10, 1600)
    assert len(marks) == MAX_MARKS and wait_elapsed(marks, 0, 99_990, 1600)


def test_longest_proof_fits_in_an_entry() -> None:
    longest = tuple(SessionClearance(1 << 62, ClearanceEvidence.REPORTED, 1 << 62) for _ in range(256))
    assert len(encode(GrantPermit("w" * 64, 1 << 62, longest))) <= MAX_ENTRY_BODY_BYTES


class ReportedPositions:
    """The clear position that each name has reported."""

    def __init__(self, **clear_position: int) -> None:
        self.positions = clear_position

    def clear_position(self, name: str, fencing_token: int) -> int:
        return self.positions.get(name, 0)


def test_leader_reports_missing_clearances_with_reasons() -> None:
    log = state_machine_log(work_item("w"))
    log.expire_session(C)
    log.advance_to(State.DRAINING)
    begun = log.record().begun
    reported = ReportedPositions(a=begun, b=begun - 1)
    accounting = ClearanceAccounting(log.sessions, reported, PERMISSIVE.expired_session_wait_ms)
    accounting.update(5)
    clearances, missing = accounting.account(5, begun, -1)
    assert [(each.instance, each.reason) for each in missing] == [
        (B, f"has reported clear position {begun - 1} of {begun}"),
        (C, "has not been without a session for long enough"),
    ]
    reported.positions["b"] = begun
    wait_us = PERMISSIVE.expired_session_wait_ms * 1000
    assert len(accounting.account(5 + wait_us - 1, begun, -1)[1]) == 1
    clearances, missing = accounting.account(5 + wait_us, begun, -1)
    assert not missing and clearances == log.proof(reported=begun)
    assert "may rely on the machine" in accounting.account(5 + wait_us, begun, begun)[1][0].reason
    # A session that opens and expires again counts from the start.
    log.open_sessions(C)
    accounting.update(6 + wait_us)
    log.expire_session(C)
    accounting.update(7 + wait_us)
    assert accounting.account(8 + wait_us, begun, -1)[1][-1].instance == C
    log.accept(TakeStep("w", Step.RECALL, begun))
