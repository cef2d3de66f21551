"""Over all front doors: who sees a backend, and what moves when one comes or goes."""

from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from molereach.subsetting.idempotency_groups import SUBSTITUTE_COUNT
from molereach.subsetting.packed_records import cell_of, zone_of
from molereach.subsetting.placement import (
    MIN_PROXIES_PER_BACKEND,
    RING_SIZE,
    backend_position,
    distance_behind,
    min_subset_distance,
    proxy_position,
)
from molereach.subsetting.subset import EndpointIndex, Subset
from tests.subsetting.model import DRAINING, entries_of, index_of, naive_min_distance, names_of, server

CELLS = (cell_of,)
BOTH = (zone_of, cell_of)
MOST_MOVED = 4  # for one backend, times the least possible: as `python -m benchmarks view` asks


def subsets(whole: EndpointIndex, doors: int, size: int) -> list[Subset]:
    all_of_them = [Subset(proxy_position(me), min_subset_distance(me, doors), size) for me in range(doors)]
    for view in all_of_them:
        view.select(whole)
    return all_of_them


def moved(before: list[Subset], after: list[Subset]) -> list[int]:
    """Members that each front door gained or lost."""
    return [len(names_of(old) ^ names_of(new)) for old, new in zip(before, after, strict=False)]


@settings(max_examples=60)
@given(st.integers(1, 30), st.integers(0, 60), st.integers(1, 8), st.sampled_from(((), CELLS, BOTH)))
def test_every_backend_has_the_fewest_proxies_and_no_subset_is_larger_than_it_must(
    doors: int, count: int, size: int, kinds: tuple[object, ...]
) -> None:
    servers = [server(number) for number in range(count)]
    whole = index_of(servers, kinds)  # type: ignore[arg-type]
    all_of_them = subsets(whole, doors, size)
    seen = Counter(name for view in all_of_them for name in view.members)
    assert len(seen) == count
    assert all(number >= min(MIN_PROXIES_PER_BACKEND, doors) for number in seen.values())
    for me, view in enumerate(all_of_them):
        reach = naive_min_distance(me, doors)
        asked = sum(
            distance_behind(place, view.proxy_position) < reach for place, _, _ in entries_of(servers)
        )
        # At each step at most one and its stand-ins; past the size only what the reach asks for.
        assert len(view.members) < size + max(1, asked) * (1 + SUBSTITUTE_COUNT * len(kinds))
        assert len(view.members) <= max(size, asked + 1) + SUBSTITUTE_COUNT * len(kinds) * (asked + 1)
        assert kinds or len(view.members) <= max(size, asked)


@pytest.mark.parametrize("doors", [1, 2, 3, 5, 40, 200])
def test_proxies_are_far_apart_and_look_back_to_the_second_one_behind(doors: int) -> None:
    places = sorted(proxy_position(me) for me in range(doors))
    assert len(set(places)) == doors
    arcs = [
        distance_behind(here, after) or RING_SIZE
        for here, after in zip(places, places[1:] + places[:1], strict=True)
    ]
    assert doors == 1 or max(arcs) / min(arcs) < 2.7  # three lengths, of golden ratio each to the next
    assert [min_subset_distance(me, doors) for me in range(doors)] == [
        naive_min_distance(me, doors) for me in range(doors)
    ]


def test_position_of_a_name_stays_as_it_is() -> None:
    """All front doors, also of other versions, must see it at the same one."""
    assert backend_position(b"b0") == 0x937BA9E9D7C38717
    assert distance_behind(5, 3) == RING_SIZE - 2 and distance_behind(3, 5) == 2


@pytest.mark.parametrize("kinds", [(), CELLS, BOTH])
def test_substitutes_of_each_direct_member_are_there(kinds: tuple[object, ...]) -> None:
    servers = [server(number, cells=60, zones=7) for number in range(600)]
    whole = index_of(servers, kinds)  # type: ignore[arg-type]
    for view in subsets(whole, 9, 20):
        up = sorted(entries_of(servers), key=lambda entry: distance_behind(entry[0], view.proxy_position))
        for _, record, _ in up[:5]:
            for of in kinds:
                alike = [other for other in view.members.values() if of(other) == of(record)]  # type: ignore[operator]
                assert len(alike) > SUBSTITUTE_COUNT


@pytest.mark.parametrize("kinds", [(), CELLS])
def test_backend_that_leaves_moves_little_and_only_where_it_was_seen(kinds: tuple[object, ...]) -> None:
    servers = [server(number, cells=100, zones=7) for number in range(2_000)]
    whole, doors = index_of(servers, kinds), 40  # type: ignore[arg-type]
    before, moves, seen = subsets(whole, doors, 100), 0, 0
    for gone in servers[:25]:
        (place, draining, _), (_, record, _) = entries_of([replace(gone, state=DRAINING), gone])
        whole.put(place, draining)
        after = subsets(whole, doors, 100)
        counts, has = moved(before, after), [gone.name in names_of(view) for view in before]
        # Without groups: it, and the next one behind where the reach alone does not ask for all.
        exact = all(1 <= count <= 2 if had else not count for count, had in zip(counts, has, strict=True))
        assert exact or kinds
        moves, seen = moves + sum(counts), seen + sum(has)
        whole.put(place, record)
    assert moved(before, subsets(whole, doors, 100)) == [0] * doors  # it came back: all as before
    assert seen <= moves <= MOST_MOVED * seen


@pytest.mark.parametrize(("doors", "size"), [(8, 50), (60, 100)])
def test_proxy_that_leaves_changes_the_subsets_of_two_others_at_most(doors: int, size: int) -> None:
    """Of those that must now see further back, as they stand next after it; none where views overlap."""
    whole = index_of(server(number) for number in range(2_000))
    before, after = subsets(whole, doors, size), subsets(whole, doors - 1, size)
    counts = [count for count in moved(before, after) if count]
    assert len(counts) <= (MIN_PROXIES_PER_BACKEND if doors == 8 else 0)
    assert all(len(new.members) >= len(old.members) for old, new in zip(before, after, strict=False))
