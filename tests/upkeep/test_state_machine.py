"""The state machine "upkeep": the table, what each step asks for, and that nothing else changes anything."""

from dataclasses import replace

import msgspec
import pytest

from molereach.upkeep.permits.bodies import Ask, Back, Move, Out, Seen
from molereach.upkeep.permits.fact_parts import cut
from molereach.upkeep.permits.lifecycle import BOUND, TABLE, State, Step
from molereach.upkeep.rules.fleet_facts import Facts
from tests.upkeep.builders import DAY_MS, LOOSE, NOON_MS, servers, work
from tests.upkeep.fleet_variants import FREE, fleet
from tests.upkeep.state_machine_log import FLEET, A, B, logged


@pytest.mark.parametrize("state", State)
@pytest.mark.parametrize("step", FREE)
def test_what_is_not_in_the_table_is_refused(state: State, step: Step) -> None:
    log = logged(work("w"))
    log.to(state)
    if (state, step) in TABLE:
        return
    assert "step: w is " + state.value in log.refused(step)


@pytest.mark.parametrize("state", State)
def test_a_work_is_withdrawn_wherever_it_stands(state: State) -> None:
    log = logged(work("w"))
    log.to(state)
    if state in (State.BACK, State.WARM, State.DONE, State.WITHDRAWN, State.LOST):
        log.refused(Step.WITHDRAW)  # there is nothing left to withdraw
        return
    log.ok(Move("w", Step.WITHDRAW))  # whoever asked need not know by which entry it drains
    if state in (State.OUT, State.OVERDUE):
        assert log.record().state is state and log.record().hurried
        log.ok(Back("w", 1, "s0"))
    else:
        assert log.record().state is State.WITHDRAWN and not log.book.taken()
        assert not log.book.unsendable()


@pytest.mark.parametrize("state", State)
def test_a_permit_is_given_from_empty_alone_and_once(state: State) -> None:
    log = logged(work("w"))
    log.to(state)
    before = log.book.permits
    outcome = log.out(proof=log.proof() if log.record().begun else ())
    assert (not outcome.error) is (state is State.EMPTY)
    assert log.book.permits == before + (state is State.EMPTY)


def test_what_has_an_entry_of_its_own_is_no_plain_step() -> None:
    log = logged(work("w"))
    log.to(State.EMPTY)
    assert log.refused(Step.OUT) == "step: out has an entry of its own"
    assert not log.out().error
    assert log.refused(Step.BACK) == "step: back has an entry of its own"


def test_the_numbers_of_permits_are_never_given_twice() -> None:
    log = logged(work("w"), work("x", "s1"))
    log.to(State.DONE)
    log.to(State.OUT, "x")
    assert (log.record("w").permit, log.record("x").permit) == (1, 2)
    assert "permit: x has 2" in log.error(Back("x", 1, "s1"))
    log.ask(work("y", "s2"))
    assert "permit: y has none" in log.error(Back("y", 1, "s2"))


def test_a_step_of_an_earlier_draining_is_void() -> None:
    log = logged(work("w"))
    begun = log.to(State.DRAINING).begun
    log.move(Step.RECALL)
    log.move(Step.DRAIN)
    for step in sorted(BOUND & {Step.EMPTY, Step.RECALL}, key=lambda each: each.value):
        assert "begun: w drains by" in log.error(Move("w", step, begun))
    log.move(Step.EMPTY)
    assert "begun" in log.error(Out("w", begun, log.proof()))


def test_one_that_was_called_back_is_not_let_out_by_the_old_proof() -> None:
    log = logged(work("w"))
    log.to(State.EMPTY)
    proof, said = log.proof(), log.position
    log.move(Step.RECALL)
    assert log.out(proof=proof).error == "step: w is queued"
    log.move(Step.DRAIN)
    log.move(Step.EMPTY)
    assert log.out(proof=proof).error == f"proof: a has said {said} of {log.record().begun}"
    assert log.out().error == ""


def test_the_same_work_by_two_doors_is_one_and_the_machine_by_other_ids_is_queued() -> None:
    log = logged()
    first = log.ok(Ask(work("w")), A)
    assert log.ok(Ask(work("w")), B) == first and first is not None and first.by == A
    assert "id: is used for something else" in log.error(Ask(work("w", "s1")))
    log.ask(work("x"))
    log.to(State.DRAINING)
    assert "an earlier work of its machine" in log.refused(Step.QUEUE, "x")
    log.move(Step.WITHDRAW)
    log.move(Step.QUEUE, "x")
    assert log.ok(Ask(work("w"))) == log.record(), "and what is over is remembered"


def test_old_facts_decide_nothing() -> None:
    log = logged(work("w"))
    log.move(Step.QUEUE)
    log.at_ms += LOOSE.fresh_ms + 1
    assert log.refused(Step.DRAIN) == "facts: 30001 ms old"
    log.seen(age_ms=LOOSE.fresh_ms)
    log.move(Step.DRAIN)
    log.move(Step.EMPTY)
    log.at_ms += 1
    assert log.out().error == "facts: 30001 ms old"


def test_the_rules_are_asked_again_for_the_permit_without_itself_counted_twice() -> None:
    log = logged(work("w"), work("x", "s1"), settings=replace(LOOSE, least_ready_cell=4, most_out=2))
    log.to(State.EMPTY)
    log.to(State.EMPTY, "x")
    log.seen(fleet("s5", ready=False))
    assert log.out().error == "floor: 3 of 4 servers in cell c1 (s1)"
    log.seen()
    assert log.out().error == ""


def test_warmth_by_old_facts_or_of_one_that_is_not_listed_decides_nothing() -> None:
    log = logged(work("w"), work("d", "d7"))
    log.to(State.BACK)
    log.seen(Facts(servers=FLEET.servers[1:], doors=FLEET.doors))
    assert log.refused(Step.WARM) == "s0 is not ready"
    log.at_ms += LOOSE.fresh_ms + 1
    assert log.refused(Step.WARM) == "facts: 30001 ms old"
    log.to(State.DONE, "d")  # of a front door it is enough that it is ready


def test_the_machine_itself_comes_back_though_it_is_not_listed_yet_and_no_empty_address_is_alike() -> None:
    log = logged(work("w"))
    bare = Facts(servers=tuple(msgspec.structs.replace(each, address="") for each in FLEET.servers))
    log.seen(bare)
    for step in (Step.QUEUE, Step.DRAIN, Step.EMPTY):
        log.move(step)
    assert not log.out().error
    assert "neither" in log.error(Back("w", 1, "s1"))
    log.seen(Facts(servers=bare.servers[1:]))
    log.ok(Back("w", 1, "s0"))


def test_a_lost_machine_does_not_hold_back_a_later_work_on_it() -> None:
    log = logged(work("w"))
    log.to(State.LOST)
    log.ask(work("x", not_after_ms=NOON_MS + 9 * DAY_MS))
    log.move(Step.QUEUE, "x")


def test_facts_come_in_parts_and_whole_or_not_at_all() -> None:
    log = logged()
    log.at_ms += 10
    half = FLEET.servers[:3]
    log.ok(Seen(2, 0, 2, 5, half))
    assert len(log.book.fleet.servers) == 6
    for wrong in (Seen(2, 0, 2, 5, half), Seen(3, 1, 2, 5, half)):
        assert wrong.part == 0 or log.error(wrong) == "part: not the next"
    assert log.error(Seen(2, 1, 2, 0, half)) == "a machine is there twice"
    assert log.error(Seen(2, 1, 2, 0), B) == "part: not the next", "of another leader"
    log.ok(Seen(2, 1, 2, 0, FLEET.servers[3:5]))
    assert len(log.book.fleet.servers) == 5 and log.book.fleet.facts.at_ms == log.at_ms - 5
    assert log.error(Seen(4, 0, 1, 6)) == "later facts are known"
    assert log.error(Seen(4, 1, 2, 0)) == "part: not the next", "nothing is left of a set that is whole"


def test_a_set_of_facts_is_bounded_in_all_its_parts() -> None:
    log = logged()
    assert log.error(Seen(1, 0, 1, NOON_MS + 1)) == "age_ms: older than time"
    log.at_ms += 1
    many = servers(600)
    log.ok(Seen(1, 0, 3, 0, many[:200]))
    log.ok(Seen(1, 1, 3, 0, many[200:400]))
    assert log.error(Seen(1, 2, 3, 0, many[400:])) == "servers: more than 512"
    with pytest.raises(ValueError, match="more than 16 parts"):
        cut(Facts(servers=many), 1, 0, 1000)


def test_a_step_rests_on_what_was_measured_after_the_one_before() -> None:
    log = logged(work("w"))
    log.to(State.OUT)
    log.at_ms += 10
    log.ok(Back("w", 1, "s0"))
    assert log.refused(Step.WARM) == "nothing was measured since"
    log.seen(fleet("s0", warmth=LOOSE.warm - 1))
    assert log.refused(Step.WARM) == "s0 is 299 warm of 300"
    log.seen(fleet("s0", ready=False))
    assert log.refused(Step.WARM) == "s0 is not ready"
    log.seen(fleet("s0", warmth=LOOSE.warm))
    assert "s0" in log.book.unsendable()
    log.move(Step.WARM)
    assert not log.book.unsendable()
    assert log.refused(Step.DONE) == "s0 is 300 warm of 900"
    log.at_ms += 6 * LOOSE.warming_ms + 1
    log.move(Step.DONE)
