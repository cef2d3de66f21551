"""One front door's membership: own stalls, runs and incarnations, lists, bounds and leaving."""

from typing import Any

import pytest

from molereach.coordination.interface.core import NEVER_US, MessageReceived, Tick
from molereach.coordination.interface.identifiers import MAX_MEMBERS, SECOND_US, NodeInstance
from molereach.coordination.membership.events import Changed, Displaced, Doubts, Leave
from molereach.coordination.membership.words import Ack, Ping, PingReq, Rumour, Sync
from tests.coordination.membership.one import (
    ALIVE,
    BEAT,
    DEAD,
    LEFT,
    ME,
    SETTINGS,
    SUSPECT,
    One,
    acks,
    says,
    stalled,
)


@pytest.mark.parametrize("us", [SECOND_US // 2, 3 * SECOND_US, 30 * SECOND_US])
@pytest.mark.parametrize("first", [Tick(), MessageReceived(NodeInstance("b", 1), Ping(9))])
def test_what_ran_out_in_an_own_stall_accuses_nobody(us: int, first: Any) -> None:  # noqa: ANN401
    one = stalled("a", "b", "c", us=us)
    one.do(first)
    assert one.core.doubt >= 1 and Doubts(one.core.doubt) in one.all
    one.run(20 * BEAT, acks)
    assert not one.changed(SUSPECT)


def test_a_long_stall_is_doubted_more_than_a_long_turn() -> None:
    short, long = stalled("a", us=SECOND_US // 2), stalled("a", us=30 * SECOND_US)
    short.do(Tick())
    long.do(Tick())
    assert short.core.doubt == 1 and long.core.doubt == SETTINGS.most_doubt


def test_a_tick_that_is_a_little_late_is_no_stall() -> None:
    one = One("a", "b")
    one.now = one.core.wake_us + SETTINGS.stall_us
    one.do(Tick())
    assert one.core.doubt == 0


def test_suspicions_do_not_run_out_in_an_own_stall() -> None:
    one = One("a", "b", "c")
    one.hear("b", Sync((Rumour("a", 1, 0, SUSPECT, "b"), Rumour("a", 1, 0, SUSPECT, "c"))))
    one.now += 60 * SECOND_US
    one.do(Tick())
    assert one.core.status("a") is SUSPECT
    one.run(BEAT, acks)
    assert one.core.status("a") is SUSPECT
    one.hear("a", Ack(0, (Rumour("a", 1, 1, ALIVE),)))
    assert one.core.status("a") is ALIVE and not one.changed(DEAD)


def test_an_accuser_that_brings_the_end_to_before_now_is_no_stall() -> None:
    one = One("a", "b", "c")
    one.hear("b", Ping(1, (Rumour("a", 1, 0, SUSPECT, "b"),)))
    one.run(
        4 * SECOND_US, lambda say: acks(say) if say.recipient != "a" else None
    )  # the shortest time would be over
    assert one.core.status("a") is SUSPECT
    before = one.core.doubt
    one.hear("c", Ping(1, (Rumour("a", 1, 0, SUSPECT, "c"),)))
    one.hear("c", Ping(2))
    one.do(Tick())
    assert one.core.status("a") is DEAD and one.core.doubt == before


def test_a_suspicion_about_to_run_out_waits_until_the_mail_is_read() -> None:
    one = One("a")
    one.hear("a", Sync((Rumour("b", 1, 0, SUSPECT, "a"),)))
    one.run(2 * SECOND_US - 1, acks)  # three members: two accusers are awaited, so it is not yet at its end
    deadline = one.core._beliefs.suspicions["b"].dead_us
    one.run(deadline - one.now - 1, acks)
    one.now = deadline + 10 * SECOND_US
    one.do(Tick())
    woke = one.now
    while one.core.status("b") is SUSPECT:
        one.tick()
    assert one.now >= woke + BEAT


# --- two numbers ---


def test_a_later_run_takes_the_place_of_the_earlier_one_and_old_words_do_not_touch_it() -> None:
    one = One("a", "b")
    actions = one.hear("a", Ping(1), number=2)
    assert [action for action in actions if isinstance(action, Changed)] == [
        Changed(NodeInstance("a", 1), DEAD, ALIVE),
        Changed(NodeInstance("a", 2), ALIVE, None),
    ]
    for status in (SUSPECT, DEAD, LEFT):
        one.hear("b", Ping(1, (Rumour("a", 1, 99, status, "b"),)))
    assert one.core.status("a") is ALIVE and NodeInstance("a", 2) in one.core.alive()


def test_an_earlier_run_that_still_speaks_is_told_and_is_not_believed() -> None:
    one = One("a")
    one.hear("a", Ping(1), number=7)
    (say,) = says(one.hear("a", Ping(1, (Rumour("z", 1, 0, ALIVE),)), number=6))
    assert (say.recipient, say.instance_number) == ("a", 6) and Rumour(
        "a", 7, 0, ALIVE
    ) in say.message.rumours
    assert one.core.status("z") is None


@pytest.mark.parametrize(
    "event",
    [
        MessageReceived(NodeInstance("me", 6), Ping(1)),
        MessageReceived(NodeInstance("a", 1), Ping(1, (Rumour("me", 6, 0, DEAD, "a"),))),
    ],
)
def test_a_higher_run_under_the_own_name_ends_this_one(event: MessageReceived) -> None:
    one = One("a", "b")
    actions = one.do(event)
    assert actions == [Displaced(NodeInstance("me", 6))]
    assert one.core.wake_us == NEVER_US and not one.do(Tick()) and not one.hear("a", Ping(1))
    assert ME not in one.core.alive()


def test_a_lower_run_under_the_own_name_is_told_to_end() -> None:
    one = One("a")
    (say,) = says(one.do(MessageReceived(NodeInstance("me", 4), Sync((Rumour("z", 1, 0, ALIVE),)))))
    assert (say.recipient, say.instance_number) == ("me", 4) and Rumour(
        "me", 5, 0, ALIVE
    ) in say.message.rumours
    assert one.core.status("z") is None
    assert not one.do(MessageReceived(ME, Ping(1)))  # an own word that came back


# --- lists, bounds ---


def test_a_death_out_of_a_list_is_a_suspicion_at_first() -> None:
    one = One("a", "b", "c")
    one.hear("a", Sync((Rumour("b", 1, 0, DEAD, "a"),)))
    assert one.core.status("b") is SUSPECT
    one.hear("a", Ping(1, (Rumour("c", 1, 0, DEAD, "a"),)))
    assert one.core.status("c") is DEAD


def test_who_asks_for_the_list_gets_all_of_it() -> None:
    names = [f"n{number:03}" for number in range(200)]
    one = One(*names)
    answer = says(one.hear("n000", Sync((), answer=True)))
    assert {rumour.name for say in answer for rumour in say.message.rumours} == {"me", *names}
    assert all(say.recipient == "n000" and not say.message.answer for say in answer)


def test_the_list_is_told_to_somebody_now_and_then_and_asked_for_with_the_last_piece_only() -> None:
    one = One(*(f"n{number:03}" for number in range(200)))
    one.run(46 * BEAT, acks)
    asked = [say.message.answer for say in says(one.all) if isinstance(say.message, Sync)]
    assert asked and asked == [False, True] * (len(asked) // 2)


def test_ten_thousand_invented_names_change_nothing_for_those_that_live() -> None:
    one = One("a", "b")
    for start in range(0, 10_000, 100):
        invented = tuple(Rumour(f"x{start + number}", 1, 0, SUSPECT, f"y{number}") for number in range(100))
        one.hear("a", Sync(invented))
        one.hear("a", Ping(1, invented))
    beliefs = one.core._beliefs
    assert len(one.core.alive()) == MAX_MEMBERS and one.core.status("b") is ALIVE
    most = MAX_MEMBERS * (SETTINGS.confirmations + 1)
    assert len(beliefs.gossip.told) <= most and len(beliefs.suspicions) < MAX_MEMBERS
    one.run(300 * SECOND_US, lambda say: acks(say) if say.recipient in ("a", "b") else None)
    assert [life.name for life in one.core.alive()] == ["a", "b", "me"]


def test_the_dead_are_forgotten_after_ten_minutes_and_come_back_by_no_list() -> None:
    one = One("a", "b")
    one.hear("a", Ping(1, (Rumour("b", 1, 0, DEAD, "a"),)))
    one.run(SETTINGS.forget_us - BEAT, lambda say: acks(say) if say.recipient == "a" else None)
    assert one.core.status("b") is DEAD
    one.run(2 * BEAT, lambda say: acks(say) if say.recipient == "a" else None)
    assert one.core.status("b") is None
    one.hear("a", Sync((Rumour("b", 1, 0, DEAD, "a"),)))
    assert one.core.status("b") is None


def test_what_is_no_message_of_ours_is_passed_over() -> None:
    one = One("a")
    assert not one.do(MessageReceived(NodeInstance("a", 1), "x")) and not one.do("x")
    assert [life.name for life in one.core.alive()] == ["a", "me"]


# --- leaving ---


def test_who_leaves_says_so_before_it_goes_and_then_only_when_asked() -> None:
    one = One("a", "b", "c")
    told = says(one.do(Leave()))
    assert {say.recipient for say in told} == {"a", "b", "c"}
    assert all(Rumour("me", 5, 1, LEFT) in say.message.rumours for say in told)
    assert one.core.wake_us == NEVER_US and one.core.status("me") is LEFT and ME not in one.core.alive()
    assert not one.do(Tick()) and not one.do(Leave()) and not says(one.hear("a", PingReq(1, "b", 1)))
    (ack,) = says(one.hear("a", Ping(1, (Rumour("me", 5, 1, SUSPECT, "a"),))))
    assert Rumour("me", 5, 1, LEFT) in ack.message.rumours
