"""Parts without I/O: the datagram model, client-side routing, the endpoint list and the load."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rig.facts import Listed
from rig.front import ClientRouter
from rig.mail import Datagram, DatagramModel, DatagramSpec
from rig.registry import Registry, View
from rig.workload import CLASSES, LoadSpec, arrivals, customers

S = 1_000_000
SPEC = DatagramSpec(
    min_delay_us=1000, max_delay_us=2000, loss=0.1, duplicate=0.1, reorder=0.1, accept_per_s=60
)
NO_FAULT_DRAWS = (0.5, 0.5, 0.5, 0.0)


def datagram(
    sender: int = 0,
    receiver: int = 1,
    draws: tuple[float, float, float, float] = NO_FAULT_DRAWS,
    size: int = 100,
) -> Datagram:
    return Datagram(sender, receiver, size, draws)


def test_datagram_is_delayed_lost_duplicated_or_reordered() -> None:
    model = DatagramModel(SPEC)
    assert model.handle(0, datagram()) == [1000]
    assert model.handle(0, datagram(draws=(0.05, 0.5, 0.5, 0.0))) == []
    assert model.handle(0, datagram(draws=(0.5, 0.05, 0.5, 0.0))) == [1000, 2000]
    assert model.handle(0, datagram(draws=(0.5, 0.5, 0.05, 1.0))) == [10_000]
    assert model.handle(0, datagram(size=257)) == [] and model.oversized == 1
    assert (model.lost, model.delivered) == (1, 4)


def test_split_separates_the_groups_until_it_heals() -> None:
    model = DatagramModel(SPEC)
    model.split((frozenset({0}), frozenset({1, 2})))
    assert model.handle(0, datagram(0, 1)) == [] and model.handle(0, datagram(1, 2)) != []
    assert model.handle(0, datagram(3, 1)) == []  # front door 3 is in no group
    model.heal()
    assert model.handle(0, datagram(0, 1)) != []


@given(
    st.lists(
        st.tuples(st.integers(0, 50_000), st.floats(0, 1), st.floats(0, 1), st.floats(0, 1), st.floats(0, 1)),
        max_size=200,
    )
)
def test_accepted_datagrams_are_bounded_in_every_second(
    sent: list[tuple[int, float, float, float, float]],
) -> None:
    model, now_us, arrival_times = DatagramModel(SPEC), 0, []
    for gap_us, *draws in sent:
        now_us += gap_us
        arrival_times += model.handle(now_us, datagram(draws=(draws[0], draws[1], draws[2], draws[3])))
    assert all(at >= 1000 for at in arrival_times) and model.delivered == len(arrival_times)
    for at in arrival_times:
        assert sum(at <= other < at + S for other in arrival_times) <= 2 * SPEC.accept_per_s


def test_each_front_door_accepts_a_limited_number_of_datagrams_a_second() -> None:
    model = DatagramModel(SPEC)
    for start in (0, S, 2 * S):
        assert sum(len(model.handle(start, datagram())) for _ in range(100)) == 60
    assert model.handle(2 * S, datagram(receiver=2)) != []  # the limit of each front door is separate


def test_router_excludes_a_failed_front_door_once_detected() -> None:
    router = ClientRouter(3, detection_us=500)
    picks = [router.choose(0, 2, 2, (1.0, 1.0), draw / 10) for draw in range(10)]
    assert set(picks) == {2, 0}  # numbers wrap around
    router.mark_failed(100, 2)
    assert router.choose(599, 2, 2, (1.0, 1.0), 0.0) == 2 and router.choose(600, 2, 2, (1.0, 1.0), 0.0) == 0
    router.mark_up(2)
    assert router.choose(700, 2, 2, (1.0, 1.0), 0.0) == 2
    for door in (0, 2):
        router.mark_failed(700, door)
    assert router.choose(5000, 2, 2, (1.0, 1.0), 0.9) == 0  # all are excluded: they are used all the same


def test_requests_concentrate_on_one_front_door_of_the_set() -> None:
    router = ClientRouter(3, detection_us=0)
    router.concentrate(1, 0.8)
    picks = [router.choose(0, 0, 3, (1.0, 1.0, 1.0), (draw + 0.5) / 100) for draw in range(100)]
    assert 80 <= picks.count(1) <= 90 and set(picks) == {0, 1, 2}
    assert router.choose(0, 2, 2, (1.0, 1.0), 0.1) == 2  # not in this customer's set
    router.concentrate(None)
    assert router.choose(0, 0, 3, (1.0, 1.0, 1.0), 0.05) == 0


def test_view_keeps_the_latest_version_in_any_order() -> None:
    registry = Registry()
    entries = [registry.put("s1", "z", state, 0) for state in (Listed.SERVING, Listed.DRAINING)]
    deleted = registry.put("s2", "z", Listed.DELETED, 0)
    view = View()
    view.update([deleted, entries[1], entries[0]])
    assert [entry.state for entry in view.current()] == [Listed.DRAINING]  # the later version stays
    assert view.changes_since(entries[1].version) == [deleted] and view.version == registry.version


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_same_seed_gives_the_same_load(seed: int) -> None:
    def schedule() -> list[object]:
        random = Random(seed)
        all_customers = customers(LoadSpec(), 3, random)
        assert sum(customer.share for customer in all_customers) == pytest.approx(1.0)
        assert all(
            2 <= len(customer.weights) <= 3 and 0 <= customer.first_door < 3 for customer in all_customers
        )
        return list(arrivals(LoadSpec(), all_customers, 10 * S, random))

    first = schedule()
    assert first == schedule() and 1000 < len(first) < 1400


def test_load_has_all_classes_and_both_kinds_of_clients() -> None:
    random = Random(1)
    schedule = arrivals(LoadSpec(impatient=0.5), customers(LoadSpec(), 3, random), S * 5, random)
    assert {arrival.request_class for arrival in schedule} == set(CLASSES)
    assert {arrival.abandon_fraction < 1 for arrival in schedule} == {True, False}
    assert [arrival.at_us for arrival in schedule] == sorted(arrival.at_us for arrival in schedule)
