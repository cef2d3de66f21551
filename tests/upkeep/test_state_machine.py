"""The state machine "upkeep": transitions, the conditions of each step, and that a rejected entry changes
nothing."""

from dataclasses import replace

import msgspec
import pytest

from molereach.upkeep.permits.bodies import (
    GrantPermit,
    ReportFacts,
    ReportReturn,
    RequestMaintenance,
    TakeStep,
)
from molereach.upkeep.permits.fact_parts import split_facts
from molereach.upkeep.permits.lifecycle import DRAIN_BOUND_STEPS, TRANSITIONS, State, Step
from molereach.upkeep.rules.fleet_facts import FleetFacts
from tests.upkeep.builders import DAY_MS, NOON_MS, PERMISSIVE, servers, work_item
from tests.upkeep.fleet_variants import PLAIN_STEPS, fleet_with
from tests.upkeep.state_machine_log import FLEET_FACTS, A, B, state_machine_log


@pytest.mark.parametrize("state", State)
@pytest.mark.parametrize("step", PLAIN_STEPS)
def test_step_without_a_transition_is_rejected(state: State, step: Step) -> None:
    log = state_machine_log(work_item("w"))
    log.advance_to(state)
    if (state, step) in TRANSITIONS:
        return
    assert "step: w is " + state.value in log.rejected_step(step)


@pytest.mark.parametrize("state", State)
def test_item_can_be_withdrawn_in_every_state_before_its_return(state: State) -> None:
    log = state_machine_log(work_item("w"))
    log.advance_to(state)
    if state in (State.RETURNED, State.WARMING, State.DONE, State.WITHDRAWN, State.LOST):
        log.rejected_step(Step.WITHDRAW)  # too late to withdraw
        return
    log.accept(TakeStep("w", Step.WITHDRAW))  # the requester need not know the position of the draining
    if state in (State.PERMITTED, State.OVERDUE):
        assert log.record().state is state and log.record().hurried
        log.accept(ReportReturn("w", 1, "s0"))
    else:
        assert log.record().state is State.WITHDRAWN and not log.registry.in_maintenance()
        assert not log.registry.unroutable()


@pytest.mark.parametrize("state", State)
def test_permit_is_granted_only_when_drained_and_only_once(state: State) -> None:
    log = state_machine_log(work_item("w"))
    log.advance_to(state)
    before = log.registry.last_permit
    outcome = log.grant_permit(proof=log.proof() if log.record().begun else ())
    assert (not outcome.error) is (state is State.DRAINED)
    assert log.registry.last_permit == before + (state is State.DRAINED)


def test_step_with_its_own_entry_is_rejected_as_a_plain_step() -> None:
    log = state_machine_log(work_item("w"))
    log.advance_to(State.DRAINED)
    assert log.rejected_step(Step.GRANT_PERMIT) == "step: out has an entry of its own"
    assert not log.grant_permit().error
    assert log.rejected_step(Step.RETURN) == "step: back has an entry of its own"


def test_permit_numbers_are_unique() -> None:
    log = state_machine_log(work_item("w"), work_item("x", "s1"))
    log.advance_to(State.DONE)
    log.advance_to(State.PERMITTED, "x")
    assert (log.record("w").permit, log.record("x").permit) == (1, 2)
    assert "permit: x has 2" in log.reject(ReportReturn("x", 1, "s1"))
    log.request(work_item("y", "s2"))
    assert "permit: y has none" in log.reject(ReportReturn("y", 1, "s2"))


def test_step_for_an_earlier_draining_is_rejected() -> None:
    log = state_machine_log(work_item("w"))
    begun = log.advance_to(State.DRAINING).begun
    log.take_step(Step.RECALL)
    log.take_step(Step.DRAIN)
    for step in sorted(DRAIN_BOUND_STEPS & {Step.CONFIRM_DRAINED, Step.RECALL}, key=lambda each: each.value):
        assert "begun: w drains by" in log.reject(TakeStep("w", step, begun))
    log.take_step(Step.CONFIRM_DRAINED)
    assert "begun" in log.reject(GrantPermit("w", begun, log.proof()))


def test_recalled_item_gets_no_permit_by_the_old_proof() -> None:
    log = state_machine_log(work_item("w"))
    log.advance_to(State.DRAINED)
    proof, reported = log.proof(), log.position
    log.take_step(Step.RECALL)
    assert log.grant_permit(proof=proof).error == "step: w is queued"
    log.take_step(Step.DRAIN)
    log.take_step(Step.CONFIRM_DRAINED)
    assert log.grant_permit(proof=proof).error == f"proof: a has said {reported} of {log.record().begun}"
    assert log.grant_permit().error == ""


def test_repeated_request_is_one_item_and_another_id_is_queued_behind_it() -> None:
    log = state_machine_log()
    first = log.accept(RequestMaintenance(work_item("w")), A)
    assert log.accept(RequestMaintenance(work_item("w")), B) == first and first is not None and first.by == A
    assert "id: is used for something else" in log.reject(RequestMaintenance(work_item("w", "s1")))
    log.request(work_item("x"))
    log.advance_to(State.DRAINING)
    assert "an earlier work of its machine" in log.rejected_step(Step.QUEUE, "x")
    log.take_step(Step.WITHDRAW)
    log.take_step(Step.QUEUE, "x")
    assert log.accept(RequestMaintenance(work_item("w"))) == log.record(), "finished items are remembered"


def test_stale_facts_block_every_decision() -> None:
    log = state_machine_log(work_item("w"))
    log.take_step(Step.QUEUE)
    log.at_ms += PERMISSIVE.fresh_ms + 1
    assert log.rejected_step(Step.DRAIN) == "facts: 30001 ms old"
    log.report_facts(age_ms=PERMISSIVE.fresh_ms)
    log.take_step(Step.DRAIN)
    log.take_step(Step.CONFIRM_DRAINED)
    log.at_ms += 1
    assert log.grant_permit().error == "facts: 30001 ms old"


def test_permit_rules_do_not_count_the_machine_itself_twice() -> None:
    log = state_machine_log(
        work_item("w"), work_item("x", "s1"), settings=replace(PERMISSIVE, least_ready_cell=4, most_out=2)
    )
    log.advance_to(State.DRAINED)
    log.advance_to(State.DRAINED, "x")
    log.report_facts(fleet_with("s5", ready=False))
    assert log.grant_permit().error == "floor: 3 of 4 servers in cell c1 (s1)"
    log.report_facts()
    assert log.grant_permit().error == ""


def test_warmth_needs_recent_facts_about_a_listed_machine() -> None:
    log = state_machine_log(work_item("w"), work_item("d", "d7"))
    log.advance_to(State.RETURNED)
    log.report_facts(FleetFacts(servers=FLEET_FACTS.servers[1:], doors=FLEET_FACTS.doors))
    assert log.rejected_step(Step.RESUME_TRAFFIC) == "s0 is not ready"
    log.at_ms += PERMISSIVE.fresh_ms + 1
    assert log.rejected_step(Step.RESUME_TRAFFIC) == "facts: 30001 ms old"
    log.advance_to(State.DONE, "d")  # a front door need only be ready


def test_unlisted_machine_may_return_and_empty_addresses_never_match() -> None:
    log = state_machine_log(work_item("w"))
    without_addresses = FleetFacts(
        servers=tuple(msgspec.structs.replace(each, address="") for each in FLEET_FACTS.servers)
    )
    log.report_facts(without_addresses)
    for step in (Step.QUEUE, Step.DRAIN, Step.CONFIRM_DRAINED):
        log.take_step(step)
    assert not log.grant_permit().error
    assert "neither" in log.reject(ReportReturn("w", 1, "s1"))
    log.report_facts(FleetFacts(servers=without_addresses.servers[1:]))
    log.accept(ReportReturn("w", 1, "s0"))


def test_lost_machine_does_not_block_a_later_item() -> None:
    log = state_machine_log(work_item("w"))
    log.advance_to(State.LOST)
    log.request(work_item("x", not_after_ms=NOON_MS + 9 * DAY_MS))
    log.take_step(Step.QUEUE, "x")


def test_facts_are_used_only_when_all_parts_have_come() -> None:
    log = state_machine_log()
    log.at_ms += 10
    half = FLEET_FACTS.servers[:3]
    log.accept(ReportFacts(2, 0, 2, 5, half))
    assert len(log.registry.fleet.servers) == 6
    for report in (ReportFacts(2, 0, 2, 5, half), ReportFacts(3, 1, 2, 5, half)):
        assert report.part == 0 or log.reject(report) == "part: not the next"
    assert log.reject(ReportFacts(2, 1, 2, 0, half)) == "a machine is there twice"
    assert log.reject(ReportFacts(2, 1, 2, 0), B) == "part: not the next", "from another leader"
    log.accept(ReportFacts(2, 1, 2, 0, FLEET_FACTS.servers[3:5]))
    assert len(log.registry.fleet.servers) == 5 and log.registry.fleet.facts.at_ms == log.at_ms - 5
    assert log.reject(ReportFacts(4, 0, 1, 6)) == "later facts are known"
    assert log.reject(ReportFacts(4, 1, 2, 0)) == "part: not the next", "a complete set is no longer partial"


def test_size_of_facts_is_limited_over_all_parts() -> None:
    log = state_machine_log()
    assert log.reject(ReportFacts(1, 0, 1, NOON_MS + 1)) == "age_ms: older than time"
    log.at_ms += 1
    many = servers(600)
    log.accept(ReportFacts(1, 0, 3, 0, many[:200]))
    log.accept(ReportFacts(1, 1, 3, 0, many[200:400]))
    assert log.reject(ReportFacts(1, 2, 3, 0, many[400:])) == "servers: more than 512"
    with pytest.raises(ValueError, match="more than 16 parts"):
        split_facts(FleetFacts(servers=many), 1, 0, 1000)


def test_step_needs_facts_measured_after_the_previous_one() -> None:
    log = state_machine_log(work_item("w"))
    log.advance_to(State.PERMITTED)
    log.at_ms += 10
    log.accept(ReportReturn("w", 1, "s0"))
    assert log.rejected_step(Step.RESUME_TRAFFIC) == "nothing was measured since"
    log.report_facts(fleet_with("s0", warmth=PERMISSIVE.warm - 1))
    assert log.rejected_step(Step.RESUME_TRAFFIC) == "s0 is 299 warm of 300"
    log.report_facts(fleet_with("s0", ready=False))
    assert log.rejected_step(Step.RESUME_TRAFFIC) == "s0 is not ready"
    log.report_facts(fleet_with("s0", warmth=PERMISSIVE.warm))
    assert "s0" in log.registry.unroutable()
    log.take_step(Step.RESUME_TRAFFIC)
    assert not log.registry.unroutable()
    assert log.rejected_step(Step.COMPLETE) == "s0 is 300 warm of 900"
    log.at_ms += 6 * PERMISSIVE.warming_ms + 1
    log.take_step(Step.COMPLETE)
