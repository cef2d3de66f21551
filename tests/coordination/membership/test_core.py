"""One core, event by event: what it says, whom it accuses, and when it takes the fault for its own."""

import random
from itertools import pairwise

import pytest

from molereach.coordination.interface.identifiers import SECOND_US
from molereach.coordination.membership.core import Membership
from molereach.coordination.membership.events import Doubts, Join
from molereach.coordination.membership.probes import MOST_RELAYS
from molereach.coordination.membership.words import Ack, Nack, Ping, PingReq, Rumour, Sync
from tests.coordination.membership.one import (
    ALIVE,
    BEAT,
    DEAD,
    ME,
    SETTINGS,
    SUSPECT,
    One,
    acks,
    says,
)

# --- probes ---


def test_each_member_is_probed_within_two_rounds() -> None:
    one = One("a", "b", "c", "d")
    one.run(40 * BEAT, acks)
    probed = [say.recipient for say in says(one.all) if isinstance(say.message, Ping)]
    for name in "abcd":
        places = [place for place, other in enumerate(probed) if other == name]
        assert max(after - before for before, after in pairwise(places)) <= 7
    assert len(probed) == 40 and not one.changed(SUSPECT)


def test_without_a_direct_answer_three_others_are_asked_and_one_answer_will_do() -> None:
    one = One("a", "b", "c", "d", "e")
    target, ping = one.until(Ping)
    began = one.now
    asked = says(one.tick())
    assert one.now == began + SETTINGS.direct_us
    assert len({say.recipient for say in asked}) == 3 and target not in {say.recipient for say in asked}
    assert all((say.message.seq, say.message.name) == (ping.seq, target) for say in asked)
    one.hear(asked[0].recipient, Ack(ping.seq))
    one.run(BEAT, acks)
    assert not one.changed(SUSPECT) and one.core.doubt == 0


@pytest.mark.parametrize("wrong", ["seq", "sender"])
def test_an_answer_to_something_else_does_not_count(wrong: str) -> None:
    one = One("a", "b")
    target, ping = one.until(Ping)
    other = "b" if target == "a" else "a"
    one.hear(target if wrong == "seq" else other, Ack(ping.seq + (wrong == "seq")))
    one.run(BEAT)
    assert target in one.changed(SUSPECT)


def test_who_is_asked_for_another_passes_the_answer_on() -> None:
    one = One("a", "b")
    (ping,) = says(one.hear("a", PingReq(77, "b", 1)))
    assert ping.recipient == "b" and ping.instance_number == 1 and isinstance(ping.message, Ping)
    assert not says(one.hear("a", Ack(ping.message.seq)))  # not from whom it was asked of
    (ack,) = says(one.hear("b", Ack(ping.message.seq)))
    assert (ack.recipient, ack.message.seq, ack.instance_number) == ("a", 77, 1) and isinstance(
        ack.message, Ack
    )


def test_who_is_asked_for_another_that_is_silent_says_so_in_time_and_an_answer_still_counts() -> None:
    one = One("a", "b")
    asked = one.now
    (ping,) = says(one.hear("a", PingReq(77, "b", 1)))
    to, nack = one.until(Nack)
    assert (to, nack.seq) == ("a", 77) and one.now - asked < SETTINGS.direct_us
    assert one.core.wake_us > one.now  # it is said once
    one.now += SECOND_US // 50
    assert any(isinstance(say.message, Ack) for say in says(one.hear("b", Ack(ping.message.seq))))


def test_pings_for_others_are_bounded() -> None:
    one = One("a")
    pings = [say for number in range(1_000) for say in says(one.hear("a", PingReq(number, "x", 1)))]
    assert len(pings) == MOST_RELAYS
    one.run(2 * BEAT, acks)
    assert any(say.recipient == "x" for say in says(one.hear("a", PingReq(0, "x", 1))))


# --- doubt ---


@pytest.mark.parametrize(("nacks", "doubt"), [(3, 0), (2, 1), (0, 3)])
def test_helpers_that_say_nothing_speak_against_oneself(nacks: int, doubt: int) -> None:
    one = One("a", "b", "c", "d")
    target, ping = one.until(Ping)
    helpers = [say.recipient for say in says(one.tick())]
    for name in helpers[:nacks]:
        one.hear(name, Nack(ping.seq))
    for name in helpers[nacks:]:
        one.hear(name, Nack(ping.seq + 1))  # to something else
    one.hear(target, Nack(ping.seq))  # that was not asked
    one.tick()
    assert one.core.doubt == doubt
    assert (Doubts(doubt) in one.all) == (doubt > 0)


def test_who_doubts_itself_asks_more_seldom_and_waits_longer() -> None:
    one = One("a", "b", "c", "d")
    one.until(Ping)
    one.tick()
    began = one.now + (BEAT - SETTINGS.direct_us)
    one.until(Ping)
    assert one.now == began and one.core.doubt == 3
    one.tick()
    assert one.now == began + 4 * SETTINGS.direct_us
    one.until(Ping)
    assert one.now == began + 4 * BEAT


def test_a_suspected_one_refutes_at_once_and_doubts_itself() -> None:
    one = One("a", "b")
    refuted = says(one.hear("a", Ping(1, (Rumour("me", 5, 0, SUSPECT, "b"),))))
    assert {say.recipient for say in refuted} == {"a", "b"}
    assert all(Rumour("me", 5, 1, ALIVE) in say.message.rumours for say in refuted)
    assert one.core.doubt == 1 and one.all.count(Doubts(1)) == 1
    (ack,) = says(one.hear("b", Ping(2, (Rumour("me", 5, 0, DEAD, "b"),))))  # old: it was refuted before
    assert Rumour("me", 5, 1, ALIVE) in ack.message.rumours and one.core.doubt == 1
    refuted = says(one.hear("b", Ping(2, (Rumour("me", 5, 1, DEAD, "b"),))))
    assert all(Rumour("me", 5, 2, ALIVE) in say.message.rumours for say in refuted)


def test_who_accuses_says_so_to_the_accused() -> None:
    one = One("a", "b", "c")
    target, _ = one.until(Ping)
    one.tick()
    (told,) = [say for say in says(one.tick()) if say.recipient == target]
    assert Rumour(target, 1, 0, SUSPECT, "me") in told.message.rumours and one.core.status(target) is SUSPECT


def test_an_accuser_of_an_earlier_incarnation_does_not_count() -> None:
    one = One("a", "b", "c", "d")
    one.hear("b", Ping(1, (Rumour("a", 1, 1, SUSPECT, "b"),)))
    one.hear("c", Ping(1, (Rumour("a", 1, 0, SUSPECT, "c"),)))
    one.hear("d", Ping(1, (Rumour("a", 1, 1, SUSPECT, "d"),)))
    assert one.core._beliefs.suspicions["a"].accusers == {"b", "d"}


def test_who_is_its_own_seed_does_not_ask_itself() -> None:
    core = Membership(ME, SETTINGS, random.Random(1).random)
    assert {say.recipient for say in says(core.handle(SECOND_US, Join(("me", "x", "x"))))} == {"x"}


def test_a_suspect_is_told_first_of_all() -> None:
    one = One("a", "b")
    many = tuple(Rumour(f"n{number}", 1, 0, ALIVE) for number in range(100))
    one.hear("b", Sync((Rumour("a", 1, 0, SUSPECT, "b"), *many)))
    for _ in range(40):
        (ack,) = says(one.hear("a", Ping(1)))
        assert Rumour("a", 1, 0, SUSPECT, "b") in ack.message.rumours


def test_who_doubts_itself_tries_the_dead_as_often_as_its_beats_allow() -> None:
    one = One("a", "b")
    one.hear("a", Ping(1, (Rumour("b", 1, 0, DEAD, "a"),)))
    for incarnation in range(8):
        one.hear("a", Ping(1, (Rumour("me", 5, incarnation, SUSPECT, "a"),)))
    before = len(one.all)
    one.run(100 * BEAT)  # nobody answers, so a dies too
    tried = [say for say in says(one.all[before:]) if isinstance(say.message, Sync)]
    assert one.core.doubt == SETTINGS.most_doubt and len(tried) >= 5
    assert any(Rumour("b", 1, 0, DEAD, "a") in say.message.rumours for say in tried)
