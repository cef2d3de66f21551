"""The policy gets the subset of the reference model, after any full list and any changes."""

from collections.abc import Sequence
from dataclasses import replace
from itertools import pairwise
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointListReceived
from molereach.policy.interface.settings import DeduplicationScope
from molereach.subsetting import endpoint_subsetting as module
from molereach.subsetting import staging
from molereach.subsetting.endpoint_subsetting import LONG_LIST_FACTOR, run_to_end
from molereach.subsetting.interface import EndpointListError, SubsetUpdate
from molereach.subsetting.packed_records import encode_name
from molereach.subsetting.placement import MIN_PROXIES_PER_BACKEND
from tests.subsetting.model import (
    DRAINING,
    REMOVED,
    UP,
    SubsettingModel,
    address_of,
    addresses_of,
    endpoint,
    settings_with,
)

FULL, SAVED, CHANGES, FAILED = (
    EndpointListKind.FULL,
    EndpointListKind.SAVED,
    EndpointListKind.CHANGES,
    EndpointListKind.FAILED,
)
SCOPES = (
    (),
    (DeduplicationScope.CELL,),
    (DeduplicationScope.ZONE, DeduplicationScope.CELL),
    (DeduplicationScope.ALL,),
)
ENDPOINT_COUNT = 40
MAX_STEP_ENTRIES = 500  # applied in one turn of the event loop
# What changes, the number of the endpoint, and a parameter of the change.
CHANGE = st.tuples(
    st.sampled_from(("up", "drain", "restart", "move", "remove", "unknown")),
    st.integers(0, ENDPOINT_COUNT - 1),
    st.integers(0, 4),
)
# Kind, changes, and the number of parts in which they are staged (0: unstaged).
UPDATE = st.one_of(
    st.tuples(st.just(CHANGES), st.lists(CHANGE, max_size=6), st.integers(0, 3)),
    st.tuples(st.just(CHANGES), st.lists(CHANGE, min_size=20, max_size=60), st.integers(0, 3)),
    st.tuples(st.sampled_from((FULL, SAVED)), st.lists(CHANGE, max_size=40), st.integers(0, 3)),
)


def changed_endpoint(model: SubsettingModel, change: tuple[str, int, int]) -> Endpoint:
    kind, number, parameter = change
    before = model.listed.get(f"b{number}", (endpoint(number), None))[0]
    return {
        "up": replace(before, state=UP),
        "drain": replace(before, state=DRAINING),
        "restart": replace(before, state=UP, started_us=100 + parameter),
        "move": replace(before, zone=parameter % 3, cell=parameter),
        "remove": replace(before, state=REMOVED),
        "unknown": endpoint(1_000 + number, state=REMOVED),
    }[kind]


def without_duplicates(endpoints: Sequence[Endpoint]) -> list[Endpoint]:
    """The last endpoint of each name, as a full list has each name only once."""
    return list({listed.name: listed for listed in endpoints}.values())


def apply_and_check(
    model: SubsettingModel, kind: EndpointListKind, endpoints: list[Endpoint], part_count: int
) -> None:
    """Apply one update, and compare the state of the policy with the reference model."""
    before, was_long = model.expected, model.is_long
    update, _ = model.apply(kind, endpoints, part_count)
    in_order = (
        [listed for number in range(part_count) for listed in endpoints[number::part_count]]
        if part_count
        else endpoints
    )
    model.update_model(kind, in_order)
    expected = model.expected
    model.report(update)
    assert model.reported == expected
    assert model.subsetting.count == len(model.listed)
    if model.is_long:
        check_subset(model, kind, update, was_long, before)
    elif not part_count and not was_long:
        assert (
            update is not None
            and update.event.endpoints == tuple(endpoints)
            and not update.event.sharing_proxies
        )


def check_subset(
    model: SubsettingModel,
    kind: EndpointListKind,
    update: SubsetUpdate | None,
    was_long: bool,
    before: object,
) -> None:
    expected = model.expected
    assert all(member.state is UP for member, _ in expected.values())
    if kind is CHANGES and was_long:
        assert (update is None) == (before == expected)  # an update only if the subset changes
    else:
        assert update is not None and update.event.kind is (FULL if kind is CHANGES else kind)
        assert {member.name for member in update.event.endpoints} == set(expected)
    up = sum(listed.state is UP for listed, _ in model.listed.values())
    proxy_count = model.settings.proxy_count
    if update:
        assert update.event.sharing_proxies == min(
            proxy_count, max(MIN_PROXIES_PER_BACKEND, round(proxy_count * len(expected) / max(1, up)))
        )


@settings(max_examples=100)
@given(
    st.integers(1, 6),
    st.integers(0, 5),
    st.sampled_from(SCOPES),
    st.integers(2, 8),
    st.lists(UPDATE, max_size=8),
)
def test_policy_has_the_subset_of_the_model_after_any_update(
    proxy_count: int,
    proxy_index: int,
    scopes: Sequence[DeduplicationScope],
    size: int,
    updates: list[tuple[EndpointListKind, list[tuple[str, int, int]], int]],
) -> None:
    model = SubsettingModel(settings_with(proxy_index % proxy_count, proxy_count, scopes), size)
    with mock.patch.object(module, "STEP_ENTRIES", 7):
        apply_and_check(model, FULL, [endpoint(number) for number in range(3 * size)], 0)
        for kind, changes, part_count in updates:
            endpoints = [changed_endpoint(model, change) for change in changes]
            apply_and_check(
                model, kind, endpoints if kind is CHANGES else without_duplicates(endpoints), part_count
            )


@settings(max_examples=60)
@given(
    st.integers(1, 5),
    st.sampled_from(SCOPES),
    st.integers(2, 6),
    st.integers(1, 9),
    st.lists(UPDATE, max_size=6),
)
def test_policy_has_the_subset_of_the_model_if_names_share_positions(
    proxy_count: int,
    scopes: Sequence[DeduplicationScope],
    size: int,
    position_count: int,
    updates: list[tuple[EndpointListKind, list[tuple[str, int, int]], int]],
) -> None:
    def position_of(name: bytes) -> int:
        return int(name[1:]) % position_count * ((1 << 64) // position_count) + 5

    model = SubsettingModel(settings_with(0, proxy_count, scopes), size, position_of=position_of)
    with mock.patch.object(staging, "backend_position", position_of):
        apply_and_check(model, FULL, [endpoint(number) for number in range(3 * size)], 0)
        for kind, changes, part_count in updates:
            endpoints = [changed_endpoint(model, change) for change in changes]
            apply_and_check(
                model, kind, endpoints if kind is CHANGES else without_duplicates(endpoints), part_count
            )


def test_endpoint_at_the_position_of_a_removed_one_is_reported_with_the_removal() -> None:
    with mock.patch.object(staging, "backend_position", lambda name: 5):
        model = SubsettingModel(settings_with(), 2, position_of=lambda name: 5)
        apply_and_check(model, FULL, [endpoint(number) for number in range(7)], 1)
        for number in range(3):
            apply_and_check(model, CHANGES, [endpoint(number, state=REMOVED), endpoint(10 + number)], 0)


def test_updates_of_a_short_list_are_passed_through_unchanged() -> None:
    model = SubsettingModel(settings_with(scopes=(DeduplicationScope.CELL,)), 4)
    first = EndpointListReceived(FULL, 1, tuple(endpoint(number) for number in range(8)))
    for event in (
        first,
        EndpointListReceived(CHANGES, 2, (endpoint(3, state=DRAINING), endpoint(2, state=REMOVED))),
        EndpointListReceived(FAILED, 2),
        EndpointListReceived(SAVED, 3, (endpoint(1),)),
        first,
    ):
        update = model.subsetting.apply(event, addresses_of(event.endpoints))
        assert update is not None and update.event is event
        assert update.addresses == addresses_of(event.endpoints)


def test_failed_poll_is_passed_through_and_the_subset_stays() -> None:
    model = SubsettingModel(settings_with(), 4)
    apply_and_check(model, FULL, [endpoint(number) for number in range(30)], 0)
    event = EndpointListReceived(FAILED, 0)
    update = model.subsetting.apply(event, {})
    model.report(update)
    assert update is not None and update.event is event and model.reported == model.expected


def test_list_becomes_long_and_short_at_different_lengths() -> None:
    model, size = SubsettingModel(settings_with(), 10), 10
    was_long = []
    for length in (
        LONG_LIST_FACTOR * size,
        LONG_LIST_FACTOR * size + 1,
        size + 1,
        size,
        LONG_LIST_FACTOR * size,
        LONG_LIST_FACTOR * size + 1,
    ):
        previous_length = len(model.listed)
        endpoints = [endpoint(number) for number in range(previous_length, length)]
        endpoints += [endpoint(number, state=REMOVED) for number in range(length, previous_length)]
        apply_and_check(model, CHANGES, endpoints, 0)
        was_long.append(model.is_long)
        assert (model.subsetting.short_list is None) == model.is_long
    assert was_long == [False, True, True, False, False, True]


def test_lost_zone_is_replaced_by_other_backends_in_the_same_update() -> None:
    model = SubsettingModel(settings_with(proxy_count=200, scopes=(DeduplicationScope.CELL,)), 30)
    apply_and_check(model, FULL, [endpoint(number, zones=4, cells=40) for number in range(400)], 0)
    before = set(model.reported)
    lost = [listed for listed, _ in model.listed.values() if listed.zone == 1]
    assert before & {listed.name for listed in lost}
    apply_and_check(model, CHANGES, [replace(listed, state=REMOVED) for listed in lost], 3)
    assert len(model.reported) >= 30 and all(member.zone != 1 for member, _ in model.reported.values())
    assert set(model.reported) - before


@pytest.mark.parametrize("count", [3, 50])
@pytest.mark.parametrize(
    "fault", ["duplicate", "duplicate unstaged", "too long", "too long unstaged", "record"]
)
def test_invalid_list_is_rejected_and_the_previous_list_stays(count: int, fault: str) -> None:
    model = SubsettingModel(settings_with(), 5, max_entries=60)
    apply_and_check(model, FULL, [endpoint(number) for number in range(count)], 0)
    reported, list_length = model.reported, model.subsetting.count
    endpoints = [endpoint(number) for number in range(100, 100 + (70 if "too long" in fault else 40))]
    if "duplicate" in fault:
        endpoints[30] = endpoints[3]
    if fault == "record":
        endpoints[30] = replace(endpoints[30], name="n" * 70_000)
    with pytest.raises(EndpointListError) as error:
        model.apply(FULL, endpoints, 0 if "unstaged" in fault else 2)
    text = str(error.value)
    assert "\n" not in text and len(text) < 300
    assert model.reported == reported and model.subsetting.count == list_length
    apply_and_check(model, CHANGES, [endpoint(1, state=REMOVED), endpoint(2, started_us=9)], 0)
    apply_and_check(model, FULL, [endpoint(number) for number in range(20, 70)], 2)


@pytest.mark.parametrize("part_count", [0, 2])
@pytest.mark.parametrize("count", [8, 55])
def test_changes_that_exceed_the_maximum_are_rejected_and_can_be_received_again(
    count: int, part_count: int
) -> None:
    model = SubsettingModel(settings_with(), 5, max_entries=60)
    apply_and_check(model, FULL, [endpoint(number) for number in range(count)], 0)
    before = model.reported
    with pytest.raises(EndpointListError):
        model.apply(CHANGES, [endpoint(number) for number in range(100, 160)], part_count)
    assert model.reported == before
    # The changes since the same version again; most of these endpoints have been removed meanwhile.
    repeated = [endpoint(number) for number in range(100, 105)]
    repeated += [endpoint(number, state=REMOVED) for number in range(105, 160)]
    apply_and_check(model, CHANGES, repeated, part_count)


def test_changes_may_exceed_the_maximum_in_between_if_they_end_within_it() -> None:
    model = SubsettingModel(settings_with(), 5, max_entries=60)
    apply_and_check(model, FULL, [endpoint(number) for number in range(60)], 0)
    apply_and_check(model, CHANGES, [endpoint(100), endpoint(3, state=REMOVED)], 0)
    apply_and_check(model, CHANGES, [endpoint(101), endpoint(4, state=REMOVED)], 1)


def test_changes_of_an_abandoned_takeover_are_included_in_the_next_update() -> None:
    model = SubsettingModel(settings_with(scopes=(DeduplicationScope.CELL,)), 5)
    with mock.patch.object(staging, "STEP_ENTRIES", 4):
        apply_and_check(model, FULL, [endpoint(number) for number in range(60)], 1)
        removals = [endpoint(number, state=REMOVED) for number in range(30)]
        for kind, endpoints in (
            (CHANGES, removals),
            (FULL, [endpoint(number) for number in range(200, 260)]),
        ):
            staged = model.subsetting.stage()
            staged.add(endpoints, addresses_of(endpoints))
            steps, before = model.subsetting.take_over(staged, kind, 9), model.reported
            next(steps)
            next(steps)
            steps.close()
            assert model.reported == before
        apply_and_check(model, CHANGES, removals, 0)


@pytest.mark.parametrize("kind", [FULL, CHANGES])
@pytest.mark.parametrize("count", [0, 300])
def test_steps_of_a_takeover_are_limited_in_size(kind: EndpointListKind, count: int) -> None:
    model = SubsettingModel(settings_with(proxy_count=100), 200, max_entries=9_000)
    apply_and_check(model, FULL, [endpoint(number) for number in range(count)], 0)
    staged = model.subsetting.stage()
    endpoints = [endpoint(number) for number in range(1_000, 4_700)]
    staged.add(endpoints, addresses_of(endpoints))
    steps, max_step_entries, step_entries = model.subsetting.take_over(staged, kind, 2), 0, 0
    put = module.EndpointIndex.put

    def counting_put(index: module.EndpointIndex, position: int, record: bytes) -> bytes | None:
        nonlocal step_entries
        step_entries += 1
        return put(index, position, record)

    with mock.patch.object(module.EndpointIndex, "put", counting_put):
        while True:
            step_entries = 0
            try:
                next(steps)
            except StopIteration as stopped:
                model.report(stopped.value)
                break
            finally:
                max_step_entries = max(max_step_entries, step_entries)
    assert 0 < max_step_entries <= MAX_STEP_ENTRIES
    model.update_model(kind, endpoints)
    assert model.reported == model.expected


def test_draining_member_is_reported_as_removed_and_returns_when_up() -> None:
    model = SubsettingModel(settings_with(), 4)
    apply_and_check(model, FULL, [endpoint(number) for number in range(30)], 0)
    name = next(iter(model.reported))
    member = model.listed[name][0]
    update, _ = model.apply(CHANGES, [replace(member, state=DRAINING)])
    assert update is not None and (name, REMOVED) in {
        (each.name, each.state) for each in update.event.endpoints
    }
    assert name not in update.addresses
    model.update_model(CHANGES, [replace(member, state=DRAINING)])
    model.report(update)
    apply_and_check(model, CHANGES, [member], 0)
    assert name in model.reported


def test_unusual_names_and_numbers_are_reported_unchanged() -> None:
    model = SubsettingModel(settings_with(), 1)
    unusual = [Endpoint(name, -1, -1, 0, UP, 0.25, -7) for name in ("\ud800", "é" * 40, "", "a b")]
    apply_and_check(model, FULL, unusual, 1)
    assert model.reported == model.expected and all(encode_name(name) for name in model.reported if name)
    assert run_to_end(model.subsetting.take_over(model.subsetting.stage(), FULL, 1)) is not None
    assert address_of(unusual[0]) is not None


@pytest.mark.parametrize("proxy_count", [1, 2, 3])
def test_new_backend_is_reported_if_the_subset_covers_more_than_its_last_member(proxy_count: int) -> None:
    """If there are few proxies, a subset covers a fixed part of the ring, also beyond its last member."""
    model = SubsettingModel(settings_with(0, proxy_count), 2)
    apply_and_check(model, FULL, [endpoint(number) for number in range(6)], 0)
    for number in range(6, 40):
        apply_and_check(model, CHANGES, [endpoint(number)], 0)
    assert len(model.reported) == 40 or proxy_count == 3


def test_selection_reads_few_records_if_most_backends_drain() -> None:
    model = SubsettingModel(settings_with(proxy_count=1_000), 8, max_entries=9_000)
    endpoints = [endpoint(number, state=UP if number % 500 == 0 else DRAINING) for number in range(8_000)]
    apply_and_check(model, FULL, endpoints, 1)
    model.subsetting.index.ring.examined = 0
    apply_and_check(model, CHANGES, [endpoint(500, state=DRAINING)], 0)
    assert len(model.reported) == 8 and model.subsetting.index.ring.examined < 200


def test_staged_entries_and_the_replaced_list_are_released_in_steps() -> None:
    """Freeing either of them at once blocked the event loop for 37 ms."""
    model = SubsettingModel(settings_with(proxy_count=100), 100, max_entries=9_000)
    apply_and_check(model, FULL, [endpoint(number) for number in range(3_000)], 0)
    replaced, staged = model.subsetting.index.ring, model.subsetting.stage()
    endpoints = [endpoint(number) for number in range(1_000, 5_000)]
    staged.add(endpoints, addresses_of(endpoints))
    slice_counts, bucket_counts = (
        [len(staged.slices)],
        [sum(bucket is not None for bucket in replaced.buckets)],
    )
    assert slice_counts[0] == 8 and bucket_counts[0] > 1_000
    for _ in model.subsetting.take_over(staged, FULL, 2):
        slice_counts.append(len(staged.slices))
        bucket_counts.append(sum(bucket is not None for bucket in replaced.buckets))
    assert slice_counts[-1] == bucket_counts[-1] == 0
    assert max(before - after for before, after in pairwise(slice_counts)) == 1
    assert max(before - after for before, after in pairwise(bucket_counts)) <= 256


@pytest.mark.parametrize("kind", [FULL, CHANGES])
def test_takeover_abandoned_at_any_step_counts_nothing_as_reported(kind: EndpointListKind) -> None:
    """An endpoint that counts as reported, but was not, would never be reported to the policy."""
    for step_count in range(1, 100):
        model = SubsettingModel(settings_with(proxy_count=100), 20, max_entries=9_000)
        apply_and_check(model, FULL, [endpoint(number) for number in range(600)], 0)
        before = dict(model.subsetting.reported)
        staged = model.subsetting.stage()
        endpoints = [endpoint(number) for number in range(600, 1_300)]
        staged.add(endpoints, addresses_of(endpoints))
        steps = model.subsetting.take_over(staged, kind, 2)
        try:
            for _ in range(step_count):
                next(steps)
        except StopIteration:
            return
        steps.close()
        assert model.subsetting.reported == before
    raise AssertionError("the takeover has no last step")
