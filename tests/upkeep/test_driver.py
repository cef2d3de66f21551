"""What the leader proposes: items reach their end, also after losses, delays and missing returns."""

from dataclasses import replace

import msgspec
import pytest

from molereach.coordination.interface.identifiers import SECOND_US, NodeInstance
from molereach.upkeep.driver import VOTER_REPLACEMENT_INTERVAL_US, ReplaceVoter
from molereach.upkeep.permits.bodies import SetFallbackServers
from molereach.upkeep.permits.lifecycle import State
from molereach.upkeep.requests.work_item import MINUTE_MS
from tests.upkeep.builders import server, work_item
from tests.upkeep.leader_harness import FAST_SETTINGS, start_leader
from tests.upkeep.state_machine_log import FLEET_FACTS, B


def test_item_passes_through_all_states() -> None:
    leader = start_leader(work_item("w", minutes=1)).run(10)
    assert leader.state() is State.PERMITTED and leader.log.record().permit == 1
    leader.change_servers("s0", ready=False, warmth=0)
    leader.run(20)
    assert leader.state() is State.PERMITTED and leader.log.record().gone
    leader.change_servers("s0", ready=True)
    leader.run(20)
    assert leader.state() is State.RETURNED, "it is cold"
    leader.change_servers("s0", warmth=500)
    leader.run(20)
    assert leader.state() is State.WARMING
    leader.change_servers("s0", warmth=950)
    leader.run(20)
    assert leader.state() is State.DONE and not leader.log.registry.in_maintenance()
    leader.run(5)
    assert leader.errors == [] and leader.driver.missing_clearances == {} == leader.driver.blockers


def test_return_is_recognised_by_address_or_successor_name() -> None:
    for name, address in (("s9", FLEET_FACTS.servers[0].address), ("s0b", "10.9.9.9:1")):
        leader = start_leader(work_item("w", successor="s0b")).run(10)
        leader.facts = msgspec.structs.replace(leader.facts, servers=FLEET_FACTS.servers[1:])
        leader.run(20)
        new = msgspec.structs.replace(server(name), address=address)
        leader.facts = msgspec.structs.replace(leader.facts, servers=(*FLEET_FACTS.servers[1:], new))
        leader.run(40)
        assert leader.state() is State.DONE and leader.log.record().name == name


def test_missing_machine_becomes_overdue_then_lost() -> None:
    leader = start_leader(
        work_item("w", minutes=1), settings=replace(FAST_SETTINGS, slack_ms=MINUTE_MS, lost_ms=MINUTE_MS)
    ).run(5)
    leader.change_servers("s0", ready=False)
    leader.run(140)
    assert leader.state() is State.OVERDUE
    leader.run(80)
    assert leader.state() is State.LOST
    leader.change_servers("s0", ready=True)
    leader.run(40)
    assert leader.state() is State.DONE, "it returned after all"


def test_returned_machine_that_never_warms_is_lost_and_frees_its_slot() -> None:
    settings = replace(FAST_SETTINGS, slack_ms=MINUTE_MS, lost_ms=MINUTE_MS, warming_ms=MINUTE_MS, most_out=1)
    leader = start_leader(work_item("w", minutes=1), work_item("x", "s1", minutes=1), settings=settings).run(
        5
    )
    leader.change_servers("s0", ready=False, warmth=0)
    leader.run(20)
    leader.change_servers("s0", ready=True)
    leader.run(20)
    assert leader.state() is State.RETURNED
    leader.run(230)
    assert leader.state() is State.LOST and leader.state("x") is State.PERMITTED
    leader.change_servers("s0", warmth=300)
    leader.run(20)
    assert leader.state() is State.WARMING


def test_unobserved_return_is_assumed_after_the_permit_ends() -> None:
    leader = start_leader(work_item("w", minutes=1), settings=replace(FAST_SETTINGS, slack_ms=MINUTE_MS)).run(
        110
    )
    assert leader.state() is State.PERMITTED, "it may not have been shut down yet"
    leader.run(60)
    assert leader.state() is State.DONE


def test_loss_recalls_draining_machines_and_expedites_permitted_ones() -> None:
    settings = replace(FAST_SETTINGS, least_ready_cell=3, least_ready_zone=0)
    leader = start_leader(work_item("w"), work_item("x", "s1"), work_item("y", "s2"), settings=settings).run(
        10
    )
    assert {leader.state(id) for id in "wxy"} == {State.PERMITTED}
    leader = start_leader(work_item("w"), work_item("x", "s1"), work_item("y", "s2"), settings=settings)
    leader.unresponsive = {"b"}
    leader.run(3)
    leader.unresponsive = set()
    assert {leader.state(id) for id in "wxy"} == {State.DRAINING}
    leader.change_servers("s5", ready=False)
    leader.run(5)
    states = [leader.state(id) for id in "wxy"]
    assert states.count(State.QUEUED) == 1 and states.count(State.PERMITTED) == 2, "one is recalled, not all"
    recalled = next(id for id in "wxy" if leader.state(id) is State.QUEUED)
    assert leader.blocker(recalled)[0] == "floor"
    assert not any(leader.log.record(id).hurried for id in "wxy")
    leader.change_servers("s4", ready=False)
    leader.run(5)
    assert [leader.log.record(id).hurried for id in "wxy"].count(True) == 2


def test_order_recalls_a_draining_machine() -> None:
    leader = start_leader(work_item("w"))
    leader.unresponsive = {"b"}
    leader.run(3)
    assert leader.state() is State.DRAINING
    leader.facts = msgspec.structs.replace(leader.facts, ordered=("s0",))
    leader.unresponsive = set()
    leader.run(10)
    assert leader.state() is State.QUEUED and leader.blocker() == ("orders", ("s0",))


@pytest.mark.parametrize("machine", ["d0", "d3"])
def test_voter_is_replaced_before_its_machine_drains(machine: str) -> None:
    leader = start_leader(work_item("w", machine))
    leader.facts = msgspec.structs.replace(FLEET_FACTS, spares=2)
    leader.run(2.5 * VOTER_REPLACEMENT_INTERVAL_US / SECOND_US)
    replacements = [action for action in leader.actions if isinstance(action, ReplaceVoter)]
    assert (
        replacements == [ReplaceVoter(machine)] * len(replacements)
        and 2 <= len(replacements) <= 3
        and leader.errors == []
    )
    assert leader.state() is State.QUEUED and leader.blocker() == ("seat", (machine,))
    others = tuple(name for name in FLEET_FACTS.panel if name != machine)
    leader.facts = msgspec.structs.replace(FLEET_FACTS, spares=1, panel=(*others, "d7"))
    leader.run(10)
    assert leader.state() is State.PERMITTED


def test_fallback_server_is_replaced_before_it_drains() -> None:
    leader = start_leader(settings=replace(FAST_SETTINGS, standing=300)).run(2)
    assert len(leader.log.registry.fallback_servers) == 2
    assert sum(isinstance(body, SetFallbackServers) for body in leader.proposed_bodies()) == 1
    name = min(leader.log.registry.fallback_servers)
    leader.log.request(work_item("w", name))
    leader.unresponsive = {"b"}
    leader.run(5)
    assert leader.state() is State.DRAINING and name not in leader.log.registry.fallback_servers
    assert len(leader.log.registry.fallback_servers) == 2
    # A front door without a session that may rely on it delays the permit, and is reported.
    leader.log.expire_session(B)
    leader.run(2 * FAST_SETTINGS.expired_session_wait_ms / 1000)
    assert (
        leader.state() is State.DRAINING
        and "may rely on the machine" in leader.driver.missing_clearances["w"][0].reason
    )
    leader.log.open_sessions(NodeInstance("b", 2))
    leader.run(5)
    assert leader.state() is State.PERMITTED
