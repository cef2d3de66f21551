"""Subsets of all proxies: how many include each backend, and what changes when one joins or leaves."""

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
from tests.subsetting.model import DRAINING, endpoint, entries_of, index_of, member_names, naive_min_distance

CELL_KEYS = (cell_of,)
ZONE_AND_CELL_KEYS = (zone_of, cell_of)
MAX_CHANGE_FACTOR = 4  # member changes for one backend, by the minimum; also of `python -m benchmarks view`


def select_subsets(index: EndpointIndex, proxy_count: int, size: int) -> list[Subset]:
    subsets = [
        Subset(proxy_position(number), min_subset_distance(number, proxy_count), size)
        for number in range(proxy_count)
    ]
    for subset in subsets:
        subset.select(index)
    return subsets


def change_counts(before: list[Subset], after: list[Subset]) -> list[int]:
    """Number of members that each proxy's subset gained or lost."""
    return [len(member_names(old) ^ member_names(new)) for old, new in zip(before, after, strict=False)]


@settings(max_examples=60)
@given(
    st.integers(1, 30),
    st.integers(0, 60),
    st.integers(1, 8),
    st.sampled_from(((), CELL_KEYS, ZONE_AND_CELL_KEYS)),
)
def test_each_backend_is_in_enough_subsets_and_no_subset_is_larger_than_needed(
    proxy_count: int, count: int, size: int, scope_keys: tuple[object, ...]
) -> None:
    endpoints = [endpoint(number) for number in range(count)]
    index = index_of(endpoints, scope_keys)  # type: ignore[arg-type]
    subsets = select_subsets(index, proxy_count, size)
    subset_counts = Counter(name for subset in subsets for name in subset.members)
    assert len(subset_counts) == count
    assert all(number >= min(MIN_PROXIES_PER_BACKEND, proxy_count) for number in subset_counts.values())
    for proxy_index, subset in enumerate(subsets):
        min_distance = naive_min_distance(proxy_index, proxy_count)
        required = sum(
            distance_behind(position, subset.proxy_position) < min_distance
            for position, _, _ in entries_of(endpoints)
        )
        # Each step adds at most one backend and its substitutes; above the size, only within min_distance.
        assert len(subset.members) < size + max(1, required) * (1 + SUBSTITUTE_COUNT * len(scope_keys))
        assert len(subset.members) <= max(size, required + 1) + SUBSTITUTE_COUNT * len(scope_keys) * (
            required + 1
        )
        assert scope_keys or len(subset.members) <= max(size, required)


@pytest.mark.parametrize("proxy_count", [1, 2, 3, 5, 40, 200])
def test_proxies_are_far_apart_and_cover_the_distance_to_the_second_one_behind(proxy_count: int) -> None:
    positions = sorted(proxy_position(number) for number in range(proxy_count))
    assert len(set(positions)) == proxy_count
    arcs = [
        distance_behind(position, following) or RING_SIZE
        for position, following in zip(positions, positions[1:] + positions[:1], strict=True)
    ]
    assert proxy_count == 1 or max(arcs) / min(arcs) < 2.7  # three lengths, by powers of the golden ratio
    assert [min_subset_distance(number, proxy_count) for number in range(proxy_count)] == [
        naive_min_distance(number, proxy_count) for number in range(proxy_count)
    ]


def test_position_of_a_name_does_not_change() -> None:
    """All proxies must compute the same one, including proxies of other versions."""
    assert backend_position(b"b0") == 0x937BA9E9D7C38717
    assert distance_behind(5, 3) == RING_SIZE - 2 and distance_behind(3, 5) == 2


@pytest.mark.parametrize("scope_keys", [(), CELL_KEYS, ZONE_AND_CELL_KEYS])
def test_subset_has_the_substitutes_of_its_nearest_members(scope_keys: tuple[object, ...]) -> None:
    endpoints = [endpoint(number, cells=60, zones=7) for number in range(600)]
    index = index_of(endpoints, scope_keys)  # type: ignore[arg-type]
    for subset in select_subsets(index, 9, 20):
        by_distance = sorted(
            entries_of(endpoints), key=lambda entry: distance_behind(entry[0], subset.proxy_position)
        )
        for _, record, _ in by_distance[:5]:
            for scope_of in scope_keys:
                group = [other for other in subset.members.values() if scope_of(other) == scope_of(record)]  # type: ignore[operator]
                assert len(group) > SUBSTITUTE_COUNT


@pytest.mark.parametrize("scope_keys", [(), CELL_KEYS])
def test_backend_that_leaves_changes_little_and_only_subsets_that_have_it(
    scope_keys: tuple[object, ...],
) -> None:
    endpoints = [endpoint(number, cells=100, zones=7) for number in range(2_000)]
    index, proxy_count = index_of(endpoints, scope_keys), 40  # type: ignore[arg-type]
    before, change_count, subset_count = select_subsets(index, proxy_count, 100), 0, 0
    for leaving in endpoints[:25]:
        (position, draining, _), (_, record, _) = entries_of([replace(leaving, state=DRAINING), leaving])
        index.put(position, draining)
        after = select_subsets(index, proxy_count, 100)
        counts, was_member = (
            change_counts(before, after),
            [leaving.name in member_names(subset) for subset in before],
        )
        # Without groups: the backend itself, and the next one behind if the minimum distance needs fewer.
        exact = all(
            1 <= count <= 2 if had else not count for count, had in zip(counts, was_member, strict=True)
        )
        assert exact or scope_keys
        change_count, subset_count = change_count + sum(counts), subset_count + sum(was_member)
        index.put(position, record)
    # Once all backends are up again, the subsets are as before.
    assert change_counts(before, select_subsets(index, proxy_count, 100)) == [0] * proxy_count
    assert subset_count <= change_count <= MAX_CHANGE_FACTOR * subset_count


@pytest.mark.parametrize(("proxy_count", "size"), [(8, 50), (60, 100)])
def test_proxy_that_leaves_changes_the_subsets_of_at_most_two_others(proxy_count: int, size: int) -> None:
    """These are the next ones after it, which have to cover more; none changes if subsets overlap enough."""
    index = index_of(endpoint(number) for number in range(2_000))
    before, after = select_subsets(index, proxy_count, size), select_subsets(index, proxy_count - 1, size)
    counts = [count for count in change_counts(before, after) if count]
    assert len(counts) <= (MIN_PROXIES_PER_BACKEND if proxy_count == 8 else 0)
    assert all(len(new.members) >= len(old.members) for old, new in zip(before, after, strict=False))
