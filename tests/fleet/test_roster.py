"""What an agent knows of its front doors: by their words only, with their age."""

import pytest

from molereach.fleet import anchored_clock
from molereach.fleet import roster as module
from molereach.fleet.roster import (
    Connect,
    Drop,
    Heard,
    Look,
    Lost,
    Opened,
    Put,
    Roster,
    Sockets,
    Wanted,
)
from molereach.fleet.wire import State


def state(name: str = "n0", revision: int = 0, pid: int = 1) -> State:
    return State(name, pid, 1.0, False, revision, 1, 0, 0)


def known(*names: str) -> Sockets:
    return Sockets(frozenset(names))


def roster(ready: bool = True) -> Roster:
    made = Roster("a0")
    made.handle(0, Wanted(3, ready))
    assert made.handle(0, known("n0")) == [Connect("n0")]
    return made


def test_front_door_is_told_as_soon_as_it_is_there_and_until_it_has_all() -> None:
    made = roster()
    assert made.handle(5, known("n0")) == []  # one connect at a time
    assert made.handle(9, Opened("n0")) == [Put("n0")]
    assert made.handle(10, Heard("n0", state(revision=2))) == [Put("n0")]
    assert made.handle(11, Heard("n0", state(revision=3))) == []
    assert made.handle(12, Wanted(4, True)) == [Put("n0")]
    assert made.handle(13, Heard("n0", state(revision=0, pid=2))) == [Put("n0")]  # it began anew
    (view,) = made.views(50)
    assert (view.reach, view.heard_ago_ms, view.revision) == ("up", 37, 0)


def test_nobody_is_told_before_the_agent_may_speak() -> None:
    made = roster(ready=False)
    assert made.handle(1, Opened("n0")) == [] == made.handle(2, Heard("n0", state()))
    assert made.handle(3, Wanted(3, True)) == [Put("n0")]


def test_killed_stopped_and_ended_are_told_apart_and_what_was_known_stays() -> None:
    made = roster()
    made.handle(1, Opened("n0"))
    made.handle(2, Heard("n0", state(revision=3)))
    made.handle(900, Look())
    assert made.views(900)[0].reach == "up"
    made.handle(2 + module.QUIET_MS, Look())
    assert made.views(1002)[0].reach == "silent"
    made.handle(1500, Heard("n0", state(revision=3)))
    assert made.views(1500)[0].reach == "up"
    made.handle(1600, Lost("n0", "it closed the connection"))
    view = made.views(2000)[0]
    assert (view.reach, view.heard_ago_ms, view.revision, view.why) == (
        "gone",
        500,
        3,
        "it closed the connection",
    )
    assert made.handle(2100, known("n0")) == [Connect("n0")]
    made.handle(2200, Lost("n0", "refused"))
    assert made.handle(2300, known()) == [] and made.views(2300)[0].reach == "ended"
    made.handle(2300 + module.FORGET_MS, known())
    assert made.views(10**9) == ()
    texts = [event.text.split(":")[0] for event in made.history]
    assert texts == ["new to up", "up to silent", "silent to up", "up to gone", "gone to ended"]


def test_front_door_with_another_name_is_not_believed() -> None:
    made = roster()
    made.handle(1, Opened("n0"))
    assert made.handle(2, Heard("n0", state("n7", revision=3))) == [Drop("n0")]
    assert made.views(2)[0].reach == "gone" and "n7" in made.views(2)[0].why and not made.views(2)[0].state


def test_orders_lapse_by_a_clock_that_does_not_step(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = {"wall": 1_700_000_000_000, "monotonic": 5_000}
    monkeypatch.setattr(anchored_clock.time, "time_ns", lambda: clock["wall"] * 1_000_000)
    monkeypatch.setattr(anchored_clock.time, "monotonic_ns", lambda: clock["monotonic"] * 1_000_000)
    now_ms = anchored_clock.anchored()
    assert now_ms() == 1_700_000_000_000
    for step_ms in (3_600_000, -7_200_000):  # the machine's clock is set, on and back
        clock["wall"] += step_ms
        clock["monotonic"] += 250
    assert now_ms() == 1_700_000_000_500


def test_what_is_kept_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    made = Roster("a0")
    made.handle(0, Sockets(frozenset(f"n{number}" for number in range(1000))))
    assert len(made.doors) == module.MAX_MEMBERS and made.refused
    for number in range(2000):
        made.note(number, "door", "n0", "x")
    assert len(made.history) == module.MOST_EVENTS and made.history[-1].number == 2000
    assert made.handle(1, Heard("stranger", state("stranger"))) == []
