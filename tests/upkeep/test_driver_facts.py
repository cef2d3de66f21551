"""The driver at the leader: failed leaders, windows, stale facts, and the outcomes of proposals."""

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
from molereach.upkeep.permits.bodies import (
    GrantPermit,
    RequestMaintenance,
    SetFallbackServers,
    TakeStep,
    decode,
    encode,
)
from molereach.upkeep.permits.fact_reporting import (
    ACTIVE_INTERVAL_US,
    IDLE_INTERVAL_US,
    FactReporter,
    FactsMeasured,
)
from molereach.upkeep.permits.lifecycle import State, Step
from molereach.upkeep.permits.next_steps import items_to_expedite, items_to_recall, returned_name
from molereach.upkeep.permits.proposals import MAX_OPEN_PROPOSALS, RETRY_DELAY_US, OpenProposals
from molereach.upkeep.permits.state_machine import UpkeepStateMachine
from molereach.upkeep.requests.work_item import MINUTE_MS
from molereach.upkeep.routing import MaintenanceRouting, PermitGranted
from molereach.upkeep.rules.fleet_facts import FleetFacts
from tests.upkeep.builders import DAY_MS, NOON_MS, proxies, server, servers, work_item
from tests.upkeep.leader_harness import FAST_SETTINGS, LeaderHarness, start_leader
from tests.upkeep.state_machine_log import FLEET_FACTS, A, B, StateMachineLog, state_machine_log
from tests.upkeep.test_routing import FakeSession


def test_missing_clearance_is_reported() -> None:
    leader = start_leader(work_item("w"))
    leader.unresponsive = {"b"}
    leader.run(5)
    assert [(each.instance, each.reason) for each in leader.driver.missing_clearances["w"]] == [
        (B, f"has reported clear position 0 of {leader.log.record().begun}")
    ]
    leader.unresponsive = set()
    leader.run(2)
    assert leader.state() is State.PERMITTED


def test_mutually_exclusive_items_run_one_after_the_other() -> None:
    leader = start_leader(
        work_item("w", minutes=1, not_with=("s1",)), work_item("x", "s1", minutes=1, not_with=("s0",))
    ).run(5)
    assert sorted(leader.state(id).value for id in "wx") == ["out", "queued"]
    first, second = ("w", "x") if leader.state("w") is State.PERMITTED else ("x", "w")
    assert leader.blocker(second) == ("apart", (leader.log.record(first).work.machine,))
    name = leader.log.record(first).work.machine
    leader.change_servers(name, ready=False)
    leader.run(15)
    leader.change_servers(name, ready=True)
    leader.run(60)
    assert leader.state(first) is State.DONE and leader.state(second) is State.PERMITTED
    assert leader.errors == [], "no proposal is rejected"


def test_permit_of_a_dead_leader_is_known_to_all_others() -> None:
    leader = start_leader(work_item("w"))
    leader.hold_permits = True
    leader.run(5)
    assert leader.state() is State.DRAINED
    proposed = [each for each in leader.actions if isinstance(each, Propose)]
    [propose] = [each for each in proposed if isinstance(decode(each.body), GrantPermit)]
    entry = leader.log.entry("upkeep", propose.body)
    assert not leader.log.machine.apply(entry).error
    # Another front door knows the permit by the log alone, leads, and grants no second one.
    machine = UpkeepStateMachine(FAST_SETTINGS, leader.log.sessions)
    machine.restore(leader.log.machine.snapshot())
    routing = MaintenanceRouting(machine, FakeSession())
    assert PermitGranted("w", "s0", 1, leader.log.record().until_ms) in routing.handle(
        0, Restored(leader.log.position)
    )
    successor = LeaderHarness(leader.log, B, ballot=2).run(10)
    assert successor.state() is State.PERMITTED and leader.log.registry.last_permit == 1
    successor.change_servers("s0", ready=False)
    successor.run(15)
    successor.change_servers("s0", ready=True)
    successor.run(60)
    assert successor.state() is State.DONE, "without the leader that proposed the permit"
    # The late proposal of the first leader has no effect.
    assert leader.log.machine.apply(leader.log.entry("upkeep", propose.body)).error == "step: w is done"


def test_item_whose_window_closes_while_waiting_is_withdrawn() -> None:
    item = work_item("w", not_after_ms=NOON_MS + 31 * MINUTE_MS)
    leader = start_leader(item)
    leader.facts = msgspec.structs.replace(FLEET_FACTS, ordered=("s0",))
    leader.run(70)
    assert leader.state() is State.WITHDRAWN and leader.log.record().why == "its window closed"


def test_item_waits_for_its_window_and_its_prerequisites() -> None:
    leader = start_leader(
        work_item("w", not_before_ms=NOON_MS + 5000),
        work_item("x", "s1", after=("s0",)),
        work_item("y", "s0"),
    ).run(3)
    assert [leader.state(id) for id in "wxy"] == [State.REQUESTED, State.QUEUED, State.REQUESTED]
    leader.run(6)
    assert [leader.state(id) for id in "wxy"] == [State.PERMITTED, State.QUEUED, State.REQUESTED]
    assert leader.blocker("x") == ("first", ("s0",))


def test_jump_of_entry_time_does_not_shorten_the_wait_for_expired_sessions() -> None:
    leader = start_leader(
        work_item("w", not_after_ms=NOON_MS + 9 * DAY_MS), settings=replace(FAST_SETTINGS, fresh_ms=1 << 40)
    )
    leader.unresponsive = {"b"}
    leader.run(5)
    leader.log.expire_session(B)
    leader.driver.handle(leader.now_us, Restored(leader.log.position))
    leader.run(5)
    for _ in range(3):  # leaders whose clocks are ahead
        leader.start_ms += 3600_000
        leader.run(5)
    assert leader.state() is State.DRAINING
    assert [each.reason for each in leader.driver.missing_clearances["w"]] == [
        "has not been without a session for long enough"
    ]
    leader.run(FAST_SETTINGS.expired_session_wait_ms / 1000)
    assert leader.state() is State.PERMITTED


def test_no_permit_is_proposed_by_stale_facts() -> None:
    leader = start_leader(work_item("w"))
    leader.hold_permits = True
    leader.run(5)
    assert leader.state() is State.DRAINED
    late_us = leader.now_us + FAST_SETTINGS.fresh_ms * 1000 + 60 * SECOND_US
    for propose in [each for each in leader.actions if isinstance(each, Propose)]:
        leader.driver.handle(late_us, ProposalFinished(propose.id, ProposalStatus.UNKNOWN))
    actions = leader.driver.handle(late_us + 2 * SECOND_US, Tick())
    assert not [
        each for each in actions if isinstance(each, Propose) and isinstance(decode(each.body), GrantPermit)
    ]
    assert leader.driver.blockers["w"].rule == "facts"


def test_entry_time_advances_with_the_local_clock_also_after_a_snapshot() -> None:
    log = state_machine_log(work_item("w"))
    driver = Driver(A, log.machine, LeaderHarness(log))
    driver.handle(7 * SECOND_US, Restored(log.position))
    assert driver.at_ms(9 * SECOND_US) == NOON_MS + 2000
    entry = log.entry("other", b"")
    driver.handle(10 * SECOND_US, Applied(msgspec.structs.replace(entry, at_ms=NOON_MS + 60_000), Outcome()))
    assert driver.at_ms(11 * SECOND_US) == NOON_MS + 61_000
    driver.handle(12 * SECOND_US, Restored(log.position))
    assert driver.at_ms(12 * SECOND_US) == NOON_MS + 62_000, "it does not go back"


def test_no_fallback_servers_without_a_fleet() -> None:
    leader = LeaderHarness(StateMachineLog(FAST_SETTINGS))
    leader.facts = FleetFacts()
    leader.run(3)
    assert not any(isinstance(body, SetFallbackServers) for body in leader.proposed_bodies())


def test_follower_proposes_nothing() -> None:
    leader = start_leader(work_item("w"))
    leader.driver.handle(0, LeaderChanged("b", 2, False))
    leader.initial_actions = []
    leader.run(30)
    assert leader.actions == [] and leader.state() is State.REQUESTED


def test_no_step_is_proposed_by_facts_that_became_stale_at_the_leader() -> None:
    leader = start_leader(work_item("w"))
    leader.driver.handle(0, FactsMeasured(FLEET_FACTS))
    for seconds in range(1, 100):
        leader.now_us = seconds * SECOND_US
        leader.log.at_ms = leader.start_ms + seconds * 1000
        for action in leader.driver.handle(leader.now_us, Tick()):
            if isinstance(action, Propose) and not isinstance(decode(action.body), RequestMaintenance):
                body = decode(action.body)
                assert seconds <= 32 or not (isinstance(body, TakeStep) and body.step is Step.DRAIN)


def test_stale_facts_cause_no_recall_expedite_or_return() -> None:
    log = state_machine_log(
        work_item("w"), work_item("x", "s1"), settings=replace(FAST_SETTINGS, least_ready_cell=4)
    )
    log.advance_to(State.PERMITTED)
    log.advance_to(State.DRAINING, "x")
    log.report_facts(msgspec.structs.replace(FLEET_FACTS, servers=FLEET_FACTS.servers[1:4]))
    old_ms = log.at_ms + FAST_SETTINGS.fresh_ms + 1
    assert [each.work.id for each in items_to_recall(log.registry, log.at_ms)] == ["x"]
    assert items_to_recall(log.registry, old_ms) == () == items_to_expedite(log.registry, old_ms)
    assert [each.work.id for each in items_to_expedite(log.registry, log.at_ms)] == ["w"]
    log.accept(TakeStep("w", Step.EXPEDITE, log.record().begun))
    assert items_to_expedite(log.registry, log.at_ms) == ()
    log.report_facts()
    assert returned_name(log.registry, log.record(), log.at_ms) == "s0"
    assert returned_name(log.registry, log.record(), old_ms) is None
    not_left = msgspec.structs.replace(log.record(), gone=False)
    assert returned_name(log.registry, not_left, log.at_ms) is None
    overdue = msgspec.structs.replace(not_left, state=State.OVERDUE, since_ms=log.at_ms + 1)
    assert returned_name(log.registry, overdue, log.at_ms) is None, "nothing was measured since"
    assert (
        returned_name(log.registry, msgspec.structs.replace(overdue, since_ms=log.at_ms), log.at_ms) == "s0"
    )


def test_permitted_proxy_is_expedited_when_its_set_loses_another() -> None:
    log = state_machine_log(work_item("w", "d1"), settings=replace(FAST_SETTINGS, least_in_set=2, spread=3))
    log.advance_to(State.PERMITTED)
    assert items_to_expedite(log.registry, log.at_ms) == ()
    log.report_facts(msgspec.structs.replace(FLEET_FACTS, doors=proxies(9, not_ready=(2,))))
    assert [each.work.id for each in items_to_expedite(log.registry, log.at_ms)] == ["w"]


def test_foreign_proposals_and_items_that_do_not_wait_are_ignored() -> None:
    leader = start_leader(work_item("w"))
    assert leader.driver.handle(0, ProposalFinished("other", ProposalStatus.REJECTED)) == []
    leader.run(5)
    assert leader.state() is State.PERMITTED and leader.driver.blocker(leader.now_us, "w") is None
    assert leader.driver.blocker(leader.now_us, "none") is None


def test_rejected_proposal_is_retried_later_with_a_new_id_and_open_ones_are_limited() -> None:
    proposals = OpenProposals(A, 3)
    [first] = proposals.propose(0, "w", RequestMaintenance(work_item("w")))
    assert proposals.propose(0, "w", RequestMaintenance(work_item("w"))) == [], "one is open"
    assert proposals.finish(5, ProposalFinished("other", ProposalStatus.UNKNOWN)) is None
    assert proposals.finish(5, ProposalFinished(first.id, ProposalStatus.UNKNOWN)) == ("w", False)
    assert proposals.propose(4 + RETRY_DELAY_US, "w", RequestMaintenance(work_item("w"))) == []
    [second] = proposals.propose(5 + RETRY_DELAY_US, "w", RequestMaintenance(work_item("w")))
    assert second.id != first.id
    proposals.drop_expired_delays(5 + RETRY_DELAY_US)
    assert not proposals.claim_interval(0, "seat", 10) or not proposals.claim_interval(5, "seat", 10)
    proposals.drop_expired_delays(9)
    assert not proposals.claim_interval(9, "seat", 10) and proposals.claim_interval(10, "seat", 10)
    made = [
        each
        for number in range(40)
        for each in proposals.propose(9, f"x{number}", RequestMaintenance(work_item("w")))
    ]
    assert len(made) == MAX_OPEN_PROPOSALS - 1
    assert OpenProposals(A, 4).propose(0, "w", RequestMaintenance(work_item("w")))[0].id != first.id


def test_facts_are_reported_in_parts_on_change_and_not_too_often() -> None:
    facts = FleetFacts(servers=servers(400), doors=proxies(9), panel=("d0",), spares=1, ordered=("s3",))
    reporter, log = FactReporter(), StateMachineLog()
    assert reporter.next_part(0, True) is None
    reporter.update(0, facts)
    number = 0
    while part := reporter.next_part(2500, True):
        number += 1
        assert part.age_ms == 3 and len(encode(part)) < 16 << 10
        log.accept(part)
        reporter.part_applied()
    assert number > 1 and log.registry.fleet.facts == msgspec.structs.replace(facts, at_ms=log.at_ms - 3)
    reporter.update(ACTIVE_INTERVAL_US, facts)
    assert (
        reporter.next_part(ACTIVE_INTERVAL_US, True) is None
        and reporter.next_part(2500 + ACTIVE_INTERVAL_US, False) is None
    )
    assert reporter.next_part(2500 + ACTIVE_INTERVAL_US, True) is not None
    reporter.restart()
    again = reporter.next_part(2500 + ACTIVE_INTERVAL_US, True)
    assert again is not None and again.part == 0, "an interrupted set starts again"
    while reporter.next_part(2500 + ACTIVE_INTERVAL_US, True):
        reporter.part_applied()
    reporter.update(
        2501 + ACTIVE_INTERVAL_US, FleetFacts(servers=(server("s0", ready=False), *servers(400)[1:]))
    )
    assert reporter.next_part(2501 + ACTIVE_INTERVAL_US, False) is not None, "one server is no longer ready"
    assert IDLE_INTERVAL_US > ACTIVE_INTERVAL_US
