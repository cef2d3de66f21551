"""A front door's side: to whom it sends, with its session and without, and up to where it is clear."""

import pytest

from molereach.coordination.interface.core import Tick
from molereach.coordination.interface.log import Applied, Entry, Outcome, Restored
from molereach.upkeep.permits.bodies import Back, Body, Move, Stand, encode
from molereach.upkeep.permits.lifecycle import UNSENDABLE, State, Step
from molereach.upkeep.permits.state_machine import Upkeep
from molereach.upkeep.routing import Began, DoorSide, Ended, Hurry, Permitted, Resume, Stop
from tests.upkeep.builders import LOOSE, work
from tests.upkeep.state_machine_log import Logged, logged

ALONE_US = LOOSE.alone_ms * 1000


class Held:
    """A session that is held up to a time."""

    def __init__(self, until_us: int = 1 << 60) -> None:
        self.until_us, self.fencing_token, self.applied_position = until_us, 1, 0

    def holds(self, now_us: int) -> bool:
        return now_us < self.until_us


def follow(log: Logged, side: DoorSide, now_us: int = 0) -> list[object]:
    """As if all so far had come by a snapshot."""
    return list(side.handle(now_us, Restored(log.position)))


def apply(log: Logged, side: DoorSide, body: Body, now_us: int = 0) -> list[object]:
    outcome = log.put(body)
    entry = Entry(log.position, "upkeep", "x", log.record().by, log.at_ms, encode(body))
    return list(side.handle(now_us, Applied(entry, outcome)))


@pytest.mark.parametrize("state", State)
def test_nothing_new_is_sent_to_one_that_is_on_its_way(state: State) -> None:
    log = logged(work("w"))
    log.to(state)
    side = DoorSide(log.machine, Held())
    follow(log, side)
    assert side.may_send(0, "s0") is (state not in UNSENDABLE) and side.may_send(0, "s1")
    assert side.unsendable == ({"s0"} if state in UNSENDABLE else set())


def test_it_says_stop_and_resume_once() -> None:
    log = logged(work("w"))
    log.move(Step.QUEUE)
    side = DoorSide(log.machine, Held())
    assert apply(log, side, Move("w", Step.DRAIN)) == [Stop("s0")]
    assert apply(log, side, Move("w", Step.EMPTY, log.record().begun)) == []
    assert apply(log, side, Move("w", Step.RECALL, log.record().begun)) == [Resume("s0")]


def test_every_front_door_tells_of_a_permit_once_whoever_proposed_it_and_how_it_heard() -> None:
    log = logged(work("w"))
    log.to(State.OUT)
    permitted = Permitted("w", "s0", 1, log.record().until_ms)
    by_snapshot = DoorSide(log.machine, Held())
    assert follow(log, by_snapshot) == [Stop("s0"), permitted] and follow(log, by_snapshot) == []
    assert apply(log, by_snapshot, Move("w", Step.HURRY, log.record().begun)) == [Hurry("w", "s0", 1)]
    assert follow(log, by_snapshot) == []
    late = DoorSide(log.machine, Held())
    assert follow(log, late) == [Stop("s0"), permitted, Hurry("w", "s0", 1)]
    assert apply(log, late, Back("w", 1, "s0")) == []


def test_it_is_clear_up_to_the_entry_that_forbids_what_is_still_under_way() -> None:
    log = logged(work("w"), work("x", "s1"))
    side = DoorSide(log.machine, Held())
    for name in ("s0", "s0", "s2"):
        side.handle(0, Began(name))
    log.to(State.DRAINING)
    follow(log, side)
    begun = log.record().begun
    assert side.clear == begun - 1
    log.to(State.DRAINING, "x")
    follow(log, side)
    assert side.clear == begun - 1, "though nothing is under way to the other"
    side.handle(0, Ended("s0"))
    assert side.clear == begun - 1
    side.handle(0, Ended("s0"))
    assert side.clear == log.position
    side.handle(0, Ended("s0"))
    assert side.clear == log.position
    side.handle(0, Began("s1"))
    log.move(Step.RECALL, "x")
    follow(log, side)
    assert side.clear == log.position, "what is not forbidden any more holds nothing back"


def test_an_entry_of_another_machine_counts_as_applied() -> None:
    log = logged(work("w"))
    side = DoorSide(log.machine, Held())
    follow(log, side)
    side.handle(0, Applied(Entry(77, "other", "x", log.record().by, 1, b""), Outcome()))
    assert side.clear == 77


def test_without_its_session_it_keeps_to_what_it_had_and_then_to_what_stood() -> None:
    log = logged(work("w"))
    log.ok(Stand(("s1", "s2")))
    log.to(State.DRAINING)
    held = Held(until_us=100)
    side = DoorSide(log.machine, held)
    follow(log, side, 99)
    assert side.only(99) is None
    # What is counted from is when it was last known to be held: 99.
    assert side.only(99 + ALONE_US) is None and not side.may_send(99 + ALONE_US, "s0")
    assert side.may_send(99 + ALONE_US, "s3")
    after = 100 + ALONE_US
    assert side.only(after) == {"s1", "s2"}
    assert side.may_send(after, "s1") and not side.may_send(after, "s3")
    held.until_us = after + 10
    assert side.may_send(after, "s3") and not side.may_send(after, "s0")


def test_one_that_is_stopped_and_wakes_counts_from_before_the_stop() -> None:
    log = logged(work("w"))
    side = DoorSide(log.machine, Held(until_us=100))
    side.handle(50, Tick())
    assert side.only(50 + ALONE_US) is None
    woke = 51 + ALONE_US
    assert side.only(woke) == frozenset() and not side.may_send(woke, "s0")


def test_a_run_that_never_had_a_session_uses_no_server() -> None:
    log = logged(work("w"))
    log.ok(Stand(("s1",)))
    side = DoorSide(log.machine, Held(until_us=0))
    follow(log, side)
    assert side.only(5) == frozenset() and not side.may_send(5, "s1")


def test_another_front_door_comes_to_the_same_by_a_snapshot() -> None:
    log = logged(work("w"))
    log.to(State.EMPTY)
    other = Upkeep(LOOSE, log.sessions)
    side = DoorSide(other, Held())
    other.restore(log.machine.snapshot())
    assert follow(log, side) == [Stop("s0")] and not side.may_send(0, "s0")
