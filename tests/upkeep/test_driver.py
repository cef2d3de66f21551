"""What the leader proposes: works go on to their end, and what goes wrong on the way."""

from dataclasses import replace

import msgspec
import pytest

from molereach.coordination.interface.identifiers import SECOND_US, NodeInstance
from molereach.upkeep.driver import SEAT_US, ReplaceSeat
from molereach.upkeep.permits.bodies import Stand
from molereach.upkeep.permits.lifecycle import State
from molereach.upkeep.requests.work_item import MINUTE_MS
from tests.upkeep.builders import server, work
from tests.upkeep.leader_harness import QUICK, led
from tests.upkeep.state_machine_log import FLEET, B


def test_a_work_goes_its_way_to_the_end() -> None:
    one = led(work("w", minutes=1)).run(10)
    assert one.state() is State.OUT and one.log.record().permit == 1
    one.change("s0", ready=False, warmth=0)
    one.run(20)
    assert one.state() is State.OUT and one.log.record().gone
    one.change("s0", ready=True)
    one.run(20)
    assert one.state() is State.BACK, "it is cold"
    one.change("s0", warmth=500)
    one.run(20)
    assert one.state() is State.WARM
    one.change("s0", warmth=950)
    one.run(20)
    assert one.state() is State.DONE and not one.log.book.taken()
    one.run(5)
    assert one.errors == [] and one.driver.missed == {} == one.driver.stops


def test_one_that_comes_back_by_its_address_or_its_successors_name_is_found() -> None:
    for name, address in (("s9", FLEET.servers[0].address), ("s0b", "10.9.9.9:1")):
        one = led(work("w", successor="s0b")).run(10)
        one.facts = msgspec.structs.replace(one.facts, servers=FLEET.servers[1:])
        one.run(20)
        new = msgspec.structs.replace(server(name), address=address)
        one.facts = msgspec.structs.replace(one.facts, servers=(*FLEET.servers[1:], new))
        one.run(40)
        assert one.state() is State.DONE and one.log.record().name == name


def test_one_that_never_comes_is_overdue_then_lost() -> None:
    one = led(work("w", minutes=1), settings=replace(QUICK, slack_ms=MINUTE_MS, lost_ms=MINUTE_MS)).run(5)
    one.change("s0", ready=False)
    one.run(140)
    assert one.state() is State.OVERDUE
    one.run(80)
    assert one.state() is State.LOST
    one.change("s0", ready=True)
    one.run(40)
    assert one.state() is State.DONE, "it came after all"


def test_one_that_comes_back_and_never_warms_is_lost_and_frees_its_place() -> None:
    kept = replace(QUICK, slack_ms=MINUTE_MS, lost_ms=MINUTE_MS, warming_ms=MINUTE_MS, most_out=1)
    one = led(work("w", minutes=1), work("x", "s1", minutes=1), settings=kept).run(5)
    one.change("s0", ready=False, warmth=0)
    one.run(20)
    one.change("s0", ready=True)
    one.run(20)
    assert one.state() is State.BACK
    one.run(230)
    assert one.state() is State.LOST and one.state("x") is State.OUT
    one.change("s0", warmth=300)
    one.run(20)
    assert one.state() is State.WARM


def test_one_that_came_back_unseen_is_taken_for_back_once_its_permit_has_ended() -> None:
    one = led(work("w", minutes=1), settings=replace(QUICK, slack_ms=MINUTE_MS)).run(110)
    assert one.state() is State.OUT, "it may not have gone yet"
    one.run(60)
    assert one.state() is State.DONE


def test_a_loss_calls_back_those_that_drain_and_hurries_those_that_are_out() -> None:
    kept = replace(QUICK, least_ready_cell=3, least_ready_zone=0)
    one = led(work("w"), work("x", "s1"), work("y", "s2"), settings=kept).run(10)
    assert {one.state(id) for id in "wxy"} == {State.OUT}
    one = led(work("w"), work("x", "s1"), work("y", "s2"), settings=kept)
    one.silent = {"b"}
    one.run(3)
    one.silent = set()
    assert {one.state(id) for id in "wxy"} == {State.DRAINING}
    one.change("s5", ready=False)
    one.run(5)
    states = [one.state(id) for id in "wxy"]
    assert states.count(State.QUEUED) == 1 and states.count(State.OUT) == 2, "one is called back, not all"
    recalled = next(id for id in "wxy" if one.state(id) is State.QUEUED)
    assert one.why(recalled)[0] == "floor"
    assert not any(one.log.record(id).hurried for id in "wxy")
    one.change("s4", ready=False)
    one.run(5)
    assert [one.log.record(id).hurried for id in "wxy"].count(True) == 2


def test_an_order_of_another_takes_a_machine_that_drains_out_of_our_hands() -> None:
    one = led(work("w"))
    one.silent = {"b"}
    one.run(3)
    assert one.state() is State.DRAINING
    one.facts = msgspec.structs.replace(one.facts, ordered=("s0",))
    one.silent = set()
    one.run(10)
    assert one.state() is State.QUEUED and one.why() == ("orders", ("s0",))


@pytest.mark.parametrize("machine", ["d0", "d3"])
def test_a_seat_of_the_panel_is_moved_before_its_machine_drains(machine: str) -> None:
    one = led(work("w", machine))
    one.facts = msgspec.structs.replace(FLEET, spares=2)
    one.run(2.5 * SEAT_US / SECOND_US)
    seats = [action for action in one.actions if isinstance(action, ReplaceSeat)]
    assert seats == [ReplaceSeat(machine)] * len(seats) and 2 <= len(seats) <= 3 and one.errors == []
    assert one.state() is State.QUEUED and one.why() == ("seat", (machine,))
    rest = tuple(name for name in FLEET.panel if name != machine)
    one.facts = msgspec.structs.replace(FLEET, spares=1, panel=(*rest, "d7"))
    one.run(10)
    assert one.state() is State.OUT


def test_one_that_stands_is_replaced_before_it_drains() -> None:
    one = led(settings=replace(QUICK, standing=300)).run(2)
    assert len(one.log.book.standing) == 2
    assert sum(isinstance(body, Stand) for body in one.bodies()) == 1
    name = min(one.log.book.standing)
    one.log.ask(work("w", name))
    one.silent = {"b"}
    one.run(5)
    assert one.state() is State.DRAINING and name not in one.log.book.standing
    assert len(one.log.book.standing) == 2
    # A front door without a session that may count on it holds it back, and is named.
    one.log.over(B)
    one.run(2 * QUICK.over_wait_ms / 1000)
    assert one.state() is State.DRAINING and "may count on it" in one.driver.missed["w"][0].why
    one.log.open(NodeInstance("b", 2))
    one.run(5)
    assert one.state() is State.OUT
