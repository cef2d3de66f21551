"""The network between front doors, the front before them, discovery's list and the arrivals: cores."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rig.facts import Listed
from rig.front import Front
from rig.mail import Datagram, Mail, MailSpec
from rig.registry import Registry, View
from rig.workload import CLASSES, LoadSpec, arrivals, customers

S = 1_000_000
SPEC = MailSpec(least_us=1000, most_us=2000, loss=0.1, duplicate=0.1, reorder=0.1, intake_per_s=60)
EVEN = (0.5, 0.5, 0.5, 0.0)


def datagram(
    sender: int = 0, receiver: int = 1, draws: tuple[float, float, float, float] = EVEN, size: int = 100
) -> Datagram:
    return Datagram(sender, receiver, size, draws)


def test_datagram_is_delayed_lost_doubled_or_overtaken() -> None:
    mail = Mail(SPEC)
    assert mail.handle(0, datagram()) == [1000]
    assert mail.handle(0, datagram(draws=(0.05, 0.5, 0.5, 0.0))) == []
    assert mail.handle(0, datagram(draws=(0.5, 0.05, 0.5, 0.0))) == [1000, 2000]
    assert mail.handle(0, datagram(draws=(0.5, 0.5, 0.05, 1.0))) == [10_000]
    assert mail.handle(0, datagram(size=257)) == [] and mail.oversized == 1
    assert (mail.lost, mail.delivered) == (1, 4)


def test_split_parts_the_groups_and_heals() -> None:
    mail = Mail(SPEC)
    mail.split((frozenset({0}), frozenset({1, 2})))
    assert mail.handle(0, datagram(0, 1)) == [] and mail.handle(0, datagram(1, 2)) != []
    assert mail.handle(0, datagram(3, 1)) == []  # in no group
    mail.heal()
    assert mail.handle(0, datagram(0, 1)) != []


@given(
    st.lists(
        st.tuples(st.integers(0, 50_000), st.floats(0, 1), st.floats(0, 1), st.floats(0, 1), st.floats(0, 1)),
        max_size=200,
    )
)
def test_intake_is_bounded_in_every_second(sent: list[tuple[int, float, float, float, float]]) -> None:
    mail, now, came = Mail(SPEC), 0, []
    for gap, *draws in sent:
        now += gap
        came += mail.handle(now, datagram(draws=(draws[0], draws[1], draws[2], draws[3])))
    assert all(at >= 1000 for at in came) and mail.delivered == len(came)
    for at in came:
        assert sum(at <= other < at + S for other in came) <= 2 * SPEC.intake_per_s


def test_front_door_takes_in_so_many_datagrams_a_second() -> None:
    mail = Mail(SPEC)
    for start in (0, S, 2 * S):
        assert sum(len(mail.handle(start, datagram())) for _ in range(100)) == 60
    assert mail.handle(2 * S, datagram(receiver=2)) != []  # another's intake is its own


def test_front_leaves_out_a_dead_door_once_it_has_noticed() -> None:
    front = Front(3, notice_us=500)
    picks = [front.pick(0, 2, 2, (1.0, 1.0), draw / 10) for draw in range(10)]
    assert set(picks) == {2, 0}  # counted round
    front.died(100, 2)
    assert front.pick(599, 2, 2, (1.0, 1.0), 0.0) == 2 and front.pick(600, 2, 2, (1.0, 1.0), 0.0) == 0
    front.answered(2)
    assert front.pick(700, 2, 2, (1.0, 1.0), 0.0) == 2
    for door in (0, 2):
        front.died(700, door)
    assert front.pick(5000, 2, 2, (1.0, 1.0), 0.9) == 0  # none is left: they are tried all the same


def test_traffic_gathers_on_one_door_of_the_set() -> None:
    front = Front(3, notice_us=0)
    front.gather(1, 0.8)
    picks = [front.pick(0, 0, 3, (1.0, 1.0, 1.0), (draw + 0.5) / 100) for draw in range(100)]
    assert 80 <= picks.count(1) <= 90 and set(picks) == {0, 1, 2}
    assert front.pick(0, 2, 2, (1.0, 1.0), 0.1) == 2  # it is not of this customer's set
    front.gather(None)
    assert front.pick(0, 0, 3, (1.0, 1.0, 1.0), 0.05) == 0


def test_agent_has_what_it_was_sent_whatever_the_order() -> None:
    registry = Registry()
    entries = [registry.put("s1", "z", state, 0) for state in (Listed.SERVING, Listed.DRAINING)]
    gone = registry.put("s2", "z", Listed.DELETED, 0)
    view = View()
    view.learn([gone, entries[1], entries[0]])
    assert [entry.state for entry in view.whole()] == [Listed.DRAINING]  # the later word stands
    assert view.since(entries[1].version) == [gone] and view.version == registry.version


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_same_seed_same_day(seed: int) -> None:
    def day() -> list[object]:
        random = Random(seed)
        everyone = customers(LoadSpec(), 3, random)
        assert sum(one.share for one in everyone) == pytest.approx(1.0)
        assert all(2 <= len(one.weights) <= 3 and 0 <= one.first < 3 for one in everyone)
        return list(arrivals(LoadSpec(), everyone, 10 * S, random))

    first = day()
    assert first == day() and 1000 < len(first) < 1400


def test_all_classes_and_effects_are_asked_for() -> None:
    random = Random(1)
    found = arrivals(LoadSpec(impatient=0.5), customers(LoadSpec(), 3, random), S * 5, random)
    assert {arrival.kind for arrival in found} == set(CLASSES)
    assert {arrival.gives_up < 1 for arrival in found} == {True, False}
    assert [arrival.at_us for arrival in found] == sorted(arrival.at_us for arrival in found)
