"""The driver at the leader: deaths, windows, facts that grow old, and what is said of proposals."""

from dataclasses import replace

import msgspec

from molereach.coordination.interface.core import Tick
from molereach.coordination.interface.identifiers import SECOND_US
from molereach.coordination.interface.log import (
    Applied,
    LeaderChanged,
    Outcome,
    ProposalFinished,
    ProposalStatus,
    Propose,
    Restored,
)
from molereach.upkeep.driver import Driver
from molereach.upkeep.permits.bodies import Ask, Move, Out, Stand, decode, encode
from molereach.upkeep.permits.fact_reporting import EVERY_US, IDLE_US, Measured, Telling
from molereach.upkeep.permits.lifecycle import State, Step
from molereach.upkeep.permits.next_steps import back_as, hurried, recalled
from molereach.upkeep.permits.proposals import MOST_OPEN, RETRY_US, Proposals
from molereach.upkeep.permits.state_machine import Upkeep
from molereach.upkeep.requests.work_item import MINUTE_MS
from molereach.upkeep.routing import DoorSide, Permitted
from molereach.upkeep.rules.fleet_facts import Facts
from tests.upkeep.builders import DAY_MS, NOON_MS, doors, server, servers, work
from tests.upkeep.leader_harness import QUICK, Led, led
from tests.upkeep.state_machine_log import FLEET, A, B, Logged, logged
from tests.upkeep.test_routing import Held


def test_who_is_missed_for_a_proof_is_named() -> None:
    one = led(work("w"))
    one.silent = {"b"}
    one.run(5)
    assert [(each.door, each.why) for each in one.driver.missed["w"]] == [
        (B, f"has said 0 of {one.log.record().begun}")
    ]
    one.silent = set()
    one.run(2)
    assert one.state() is State.OUT


def test_two_works_that_block_each_other_go_one_after_the_other() -> None:
    one = led(work("w", minutes=1, not_with=("s1",)), work("x", "s1", minutes=1, not_with=("s0",))).run(5)
    assert sorted(one.state(id).value for id in "wx") == ["out", "queued"]
    first, second = ("w", "x") if one.state("w") is State.OUT else ("x", "w")
    assert one.why(second) == ("apart", (one.log.record(first).work.machine,))
    name = one.log.record(first).work.machine
    one.change(name, ready=False)
    one.run(15)
    one.change(name, ready=True)
    one.run(60)
    assert one.state(first) is State.DONE and one.state(second) is State.OUT
    assert one.errors == [], "it asks for nothing that is refused"


def test_a_leader_that_dies_with_the_permit_unheard_leaves_it_to_all_others() -> None:
    one = led(work("w"))
    one.mute = True
    one.run(5)
    assert one.state() is State.EMPTY
    proposed = [each for each in one.actions if isinstance(each, Propose)]
    [propose] = [each for each in proposed if isinstance(decode(each.body), Out)]
    entry = one.log.entry("upkeep", propose.body)
    assert not one.log.machine.apply(entry).error
    # Another front door has it by the log alone, leads, and gives no second one.
    machine = Upkeep(QUICK, one.log.sessions)
    machine.restore(one.log.machine.snapshot())
    side = DoorSide(machine, Held())
    assert Permitted("w", "s0", 1, one.log.record().until_ms) in side.handle(0, Restored(one.log.position))
    after = Led(one.log, B, ballot=2).run(10)
    assert after.state() is State.OUT and one.log.book.permits == 1
    after.change("s0", ready=False)
    after.run(15)
    after.change("s0", ready=True)
    after.run(60)
    assert after.state() is State.DONE, "while the one that gave the permit is stopped"
    # The one that was stopped wakes, and what it proposes late does nothing.
    assert one.log.machine.apply(one.log.entry("upkeep", propose.body)).error == "step: w is done"


def test_a_work_whose_window_closes_while_it_waits_is_withdrawn() -> None:
    late = work("w", not_after_ms=NOON_MS + 31 * MINUTE_MS)
    one = led(late)
    one.facts = msgspec.structs.replace(FLEET, ordered=("s0",))
    one.run(70)
    assert one.state() is State.WITHDRAWN and one.log.record().why == "its window closed"


def test_a_work_waits_for_its_window_and_for_those_before_it() -> None:
    one = led(work("w", not_before_ms=NOON_MS + 5000), work("x", "s1", after=("s0",)), work("y", "s0")).run(3)
    assert [one.state(id) for id in "wxy"] == [State.ASKED, State.QUEUED, State.ASKED]
    one.run(6)
    assert [one.state(id) for id in "wxy"] == [State.OUT, State.QUEUED, State.ASKED]
    assert one.why("x") == ("first", ("s0",))


def test_a_jump_of_the_entries_time_does_not_shorten_the_wait_for_those_without_a_session() -> None:
    one = led(work("w", not_after_ms=NOON_MS + 9 * DAY_MS), settings=replace(QUICK, fresh_ms=1 << 40))
    one.silent = {"b"}
    one.run(5)
    one.log.over(B)
    one.driver.handle(one.now_us, Restored(one.log.position))
    one.run(5)
    for _ in range(3):  # leaders whose clocks are ahead
        one.begins_ms += 3600_000
        one.run(5)
    assert one.state() is State.DRAINING
    assert [each.why for each in one.driver.missed["w"]] == ["is without a session for too short a time"]
    one.run(QUICK.over_wait_ms / 1000)
    assert one.state() is State.OUT


def test_no_permit_is_asked_for_by_facts_that_are_too_old() -> None:
    one = led(work("w"))
    one.mute = True
    one.run(5)
    assert one.state() is State.EMPTY
    late_us = one.now_us + QUICK.fresh_ms * 1000 + 60 * SECOND_US
    for propose in [each for each in one.actions if isinstance(each, Propose)]:
        one.driver.handle(late_us, ProposalFinished(propose.id, ProposalStatus.UNKNOWN))
    late = one.driver.handle(late_us + 2 * SECOND_US, Tick())
    assert not [each for each in late if isinstance(each, Propose) and isinstance(decode(each.body), Out)]
    assert one.driver.stops["w"].rule == "facts"


def test_it_takes_the_entries_time_on_by_its_own_clock_also_after_a_snapshot() -> None:
    log = logged(work("w"))
    driver = Driver(A, log.machine, Led(log))
    driver.handle(7 * SECOND_US, Restored(log.position))
    assert driver.at_ms(9 * SECOND_US) == NOON_MS + 2000
    entry = log.entry("other", b"")
    driver.handle(10 * SECOND_US, Applied(msgspec.structs.replace(entry, at_ms=NOON_MS + 60_000), Outcome()))
    assert driver.at_ms(11 * SECOND_US) == NOON_MS + 61_000
    driver.handle(12 * SECOND_US, Restored(log.position))
    assert driver.at_ms(12 * SECOND_US) == NOON_MS + 62_000, "it does not go back"


def test_without_a_fleet_nothing_stands() -> None:
    one = Led(Logged(QUICK))
    one.facts = Facts()
    one.run(3)
    assert not any(isinstance(body, Stand) for body in one.bodies())


def test_who_does_not_lead_proposes_nothing() -> None:
    one = led(work("w"))
    one.driver.handle(0, LeaderChanged("b", 2, False))
    one.first = []
    one.run(30)
    assert one.actions == [] and one.state() is State.ASKED


def test_no_step_rests_on_facts_that_grew_old_at_the_leader() -> None:
    one = led(work("w"))
    one.driver.handle(0, Measured(FLEET))
    for seconds in range(1, 100):
        one.now_us = seconds * SECOND_US
        one.log.at_ms = one.begins_ms + seconds * 1000
        for action in one.driver.handle(one.now_us, Tick()):
            if isinstance(action, Propose) and not isinstance(decode(action.body), Ask):
                body = decode(action.body)
                assert seconds <= 32 or not (isinstance(body, Move) and body.step is Step.DRAIN)


def test_old_facts_call_nobody_back_hurry_nobody_and_bring_nobody_back() -> None:
    log = logged(work("w"), work("x", "s1"), settings=replace(QUICK, least_ready_cell=4))
    log.to(State.OUT)
    log.to(State.DRAINING, "x")
    log.seen(msgspec.structs.replace(FLEET, servers=FLEET.servers[1:4]))
    old_ms = log.at_ms + QUICK.fresh_ms + 1
    assert [each.work.id for each in recalled(log.book, log.at_ms)] == ["x"]
    assert recalled(log.book, old_ms) == () == hurried(log.book, old_ms)
    assert [each.work.id for each in hurried(log.book, log.at_ms)] == ["w"]
    log.ok(Move("w", Step.HURRY, log.record().begun))
    assert hurried(log.book, log.at_ms) == ()
    log.seen()
    assert back_as(log.book, log.record(), log.at_ms) == "s0"
    assert back_as(log.book, log.record(), old_ms) is None
    never_away = msgspec.structs.replace(log.record(), gone=False)
    assert back_as(log.book, never_away, log.at_ms) is None
    overdue = msgspec.structs.replace(never_away, state=State.OVERDUE, since_ms=log.at_ms + 1)
    assert back_as(log.book, overdue, log.at_ms) is None, "nothing was measured since"
    assert back_as(log.book, msgspec.structs.replace(overdue, since_ms=log.at_ms), log.at_ms) == "s0"


def test_a_front_door_that_is_out_is_hurried_where_a_set_has_lost_another() -> None:
    log = logged(work("w", "d1"), settings=replace(QUICK, least_in_set=2, spread=3))
    log.to(State.OUT)
    assert hurried(log.book, log.at_ms) == ()
    log.seen(msgspec.structs.replace(FLEET, doors=doors(9, down=(2,))))
    assert [each.work.id for each in hurried(log.book, log.at_ms)] == ["w"]


def test_what_is_said_of_other_proposals_and_of_works_that_do_not_wait_is_nothing() -> None:
    one = led(work("w"))
    assert one.driver.handle(0, ProposalFinished("other", ProposalStatus.REJECTED)) == []
    one.run(5)
    assert one.state() is State.OUT and one.driver.why(one.now_us, "w") is None
    assert one.driver.why(one.now_us, "none") is None


def test_a_refused_proposal_is_tried_again_later_under_another_id_and_few_are_open() -> None:
    proposals = Proposals(A, 3)
    [first] = proposals.make(0, "w", Ask(work("w")))
    assert proposals.make(0, "w", Ask(work("w"))) == [], "one is open"
    assert proposals.over(5, ProposalFinished("other", ProposalStatus.UNKNOWN)) is None
    assert proposals.over(5, ProposalFinished(first.id, ProposalStatus.UNKNOWN)) == ("w", False)
    assert proposals.make(4 + RETRY_US, "w", Ask(work("w"))) == []
    [second] = proposals.make(5 + RETRY_US, "w", Ask(work("w")))
    assert second.id != first.id
    proposals.forget(5 + RETRY_US)
    assert not proposals.wait(0, "seat", 10) or not proposals.wait(5, "seat", 10)
    proposals.forget(9)
    assert not proposals.wait(9, "seat", 10) and proposals.wait(10, "seat", 10)
    made = [each for number in range(40) for each in proposals.make(9, f"x{number}", Ask(work("w")))]
    assert len(made) == MOST_OPEN - 1
    assert Proposals(A, 4).make(0, "w", Ask(work("w")))[0].id != first.id


def test_facts_are_told_in_parts_when_they_change_and_not_too_often() -> None:
    many = Facts(servers=servers(400), doors=doors(9), panel=("d0",), spares=1, ordered=("s3",))
    telling, log = Telling(), Logged()
    assert telling.part(0, True) is None
    telling.measured(0, many)
    number = 0
    while part := telling.part(2500, True):
        number += 1
        assert part.age_ms == 3 and len(encode(part)) < 16 << 10
        log.ok(part)
        telling.settled()
    assert number > 1 and log.book.fleet.facts == msgspec.structs.replace(many, at_ms=log.at_ms - 3)
    telling.measured(EVERY_US, many)
    assert telling.part(EVERY_US, True) is None and telling.part(2500 + EVERY_US, False) is None
    assert telling.part(2500 + EVERY_US, True) is not None
    telling.failed()
    again = telling.part(2500 + EVERY_US, True)
    assert again is not None and again.part == 0, "a set that was cut off is told anew"
    while telling.part(2500 + EVERY_US, True):
        telling.settled()
    telling.measured(2501 + EVERY_US, Facts(servers=(server("s0", ready=False), *servers(400)[1:])))
    assert telling.part(2501 + EVERY_US, False) is not None, "one is ready no more"
    assert IDLE_US > EVERY_US
