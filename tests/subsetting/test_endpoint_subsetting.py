"""What the module hears is the view by the letter, after any list and any change."""

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
    GONE,
    UP,
    World,
    address_of,
    addresses_of,
    server,
    settings_of,
)

FULL, SAVED, CHANGES, FAILED = (
    EndpointListKind.FULL,
    EndpointListKind.SAVED,
    EndpointListKind.CHANGES,
    EndpointListKind.FAILED,
)
GROUPS = (
    (),
    (DeduplicationScope.CELL,),
    (DeduplicationScope.ZONE, DeduplicationScope.CELL),
    (DeduplicationScope.ALL,),
)
NUMBERS = 40
MOST_AT_ONCE = 500  # entries taken over in one turn of the loop
# What becomes of one, which one, and a figure to it.
CHANGE = st.tuples(
    st.sampled_from(("up", "drain", "restart", "move", "gone", "unknown")),
    st.integers(0, NUMBERS - 1),
    st.integers(0, 4),
)
NEWS = st.one_of(
    st.tuples(st.just(CHANGES), st.lists(CHANGE, max_size=6), st.integers(0, 3)),
    st.tuples(st.just(CHANGES), st.lists(CHANGE, min_size=20, max_size=60), st.integers(0, 3)),
    st.tuples(st.sampled_from((FULL, SAVED)), st.lists(CHANGE, max_size=40), st.integers(0, 3)),
)


def changed(world: World, change: tuple[str, int, int]) -> Endpoint:
    what, number, figure = change
    before = world.known.get(f"b{number}", (server(number), None))[0]
    return {
        "up": replace(before, state=UP),
        "drain": replace(before, state=DRAINING),
        "restart": replace(before, state=UP, started_us=100 + figure),
        "move": replace(before, zone=figure % 3, cell=figure),
        "gone": replace(before, state=GONE),
        "unknown": server(1_000 + number, state=GONE),
    }[what]


def by_name(servers: Sequence[Endpoint]) -> list[Endpoint]:
    """Each once, as a whole list names them."""
    return list({entry.name: entry for entry in servers}.values())


def play(world: World, kind: EndpointListKind, entries: list[Endpoint], parts: int) -> None:
    """One piece of news, and what must hold after it."""
    before, was_long = world.wanted, world.long
    seen, _ = world.give(kind, entries, parts)
    in_order = [entry for part in range(parts) for entry in entries[part::parts]] if parts else entries
    world.change(kind, in_order)
    wanted = world.wanted
    world.hear(seen)
    assert world.told == wanted
    assert world.routing.count == len(world.known)
    if world.long:
        check_subset(world, kind, seen, was_long, before)
    elif not parts and not was_long:
        assert seen is not None and seen.event.endpoints == tuple(entries) and not seen.event.sharing_proxies


def check_subset(
    world: World, kind: EndpointListKind, seen: SubsetUpdate | None, was_long: bool, before: object
) -> None:
    wanted = world.wanted
    assert all(entry.state is UP for entry, _ in wanted.values())
    if kind is CHANGES and was_long:
        assert (seen is None) == (before == wanted)  # nothing that concerns it, no word
    else:
        assert seen is not None and seen.event.kind is (FULL if kind is CHANGES else kind)
        assert {entry.name for entry in seen.event.endpoints} == set(wanted)
    up = sum(entry.state is UP for entry, _ in world.known.values())
    doors = world.settings.proxy_count
    if seen:
        assert seen.event.sharing_proxies == min(
            doors, max(MIN_PROXIES_PER_BACKEND, round(doors * len(wanted) / max(1, up)))
        )


@settings(max_examples=100)
@given(
    st.integers(1, 6),
    st.integers(0, 5),
    st.sampled_from(GROUPS),
    st.integers(2, 8),
    st.lists(NEWS, max_size=8),
)
def test_policy_knows_the_subset_of_the_model_after_any_list_and_any_change(
    doors: int,
    me: int,
    groups: Sequence[DeduplicationScope],
    size: int,
    news: list[tuple[EndpointListKind, list[tuple[str, int, int]], int]],
) -> None:
    world = World(settings_of(me % doors, doors, groups), size)
    with mock.patch.object(module, "STEP_ENTRIES", 7):
        play(world, FULL, [server(number) for number in range(3 * size)], 0)
        for kind, changes, parts in news:
            entries = [changed(world, change) for change in changes]
            play(world, kind, entries if kind is CHANGES else by_name(entries), parts)


@settings(max_examples=60)
@given(
    st.integers(1, 5),
    st.sampled_from(GROUPS),
    st.integers(2, 6),
    st.integers(1, 9),
    st.lists(NEWS, max_size=6),
)
def test_names_that_share_a_position_do_no_harm(
    doors: int,
    groups: Sequence[DeduplicationScope],
    size: int,
    places: int,
    news: list[tuple[EndpointListKind, list[tuple[str, int, int]], int]],
) -> None:
    def place(name: bytes) -> int:
        return int(name[1:]) % places * ((1 << 64) // places) + 5

    world = World(settings_of(0, doors, groups), size, place=place)
    with mock.patch.object(staging, "backend_position", place):
        play(world, FULL, [server(number) for number in range(3 * size)], 0)
        for kind, changes, parts in news:
            entries = [changed(world, change) for change in changes]
            play(world, kind, entries if kind is CHANGES else by_name(entries), parts)


def test_one_that_takes_the_position_of_another_is_reported_and_the_other_gone() -> None:
    with mock.patch.object(staging, "backend_position", lambda name: 5):
        world = World(settings_of(), 2, place=lambda name: 5)
        play(world, FULL, [server(number) for number in range(7)], 1)
        for number in range(3):
            play(world, CHANGES, [server(number, state=GONE), server(10 + number)], 0)


def test_short_list_passes_unchanged() -> None:
    world = World(settings_of(groups=(DeduplicationScope.CELL,)), 4)
    first = EndpointListReceived(FULL, 1, tuple(server(number) for number in range(8)))
    for event in (
        first,
        EndpointListReceived(CHANGES, 2, (server(3, state=DRAINING), server(2, state=GONE))),
        EndpointListReceived(FAILED, 2),
        EndpointListReceived(SAVED, 3, (server(1),)),
        first,
    ):
        seen = world.routing.apply(event, addresses_of(event.endpoints))
        assert seen is not None and seen.event is event
        assert seen.addresses == addresses_of(event.endpoints)


def test_failed_call_passes_and_the_subset_holds() -> None:
    world = World(settings_of(), 4)
    play(world, FULL, [server(number) for number in range(30)], 0)
    event = EndpointListReceived(FAILED, 0)
    seen = world.routing.apply(event, {})
    world.hear(seen)
    assert seen is not None and seen.event is event and world.told == world.wanted


def test_list_turns_long_and_short_at_two_sizes() -> None:
    world, size = World(settings_of(), 10), 10
    long = []
    for count in (
        LONG_LIST_FACTOR * size,
        LONG_LIST_FACTOR * size + 1,
        size + 1,
        size,
        LONG_LIST_FACTOR * size,
        LONG_LIST_FACTOR * size + 1,
    ):
        numbers = len(world.known)
        entries = [server(number) for number in range(numbers, count)]
        entries += [server(number, state=GONE) for number in range(count, numbers)]
        play(world, CHANGES, entries, 0)
        long.append(world.long)
        assert (world.routing.short_list is None) == world.long
    assert long == [False, True, True, False, False, True]


def test_lost_zone_is_filled_up_in_the_same_event() -> None:
    world = World(settings_of(doors=200, groups=(DeduplicationScope.CELL,)), 30)
    play(world, FULL, [server(number, zones=4, cells=40) for number in range(400)], 0)
    before = set(world.told)
    lost = [entry for entry, _ in world.known.values() if entry.zone == 1]
    assert before & {entry.name for entry in lost}
    play(world, CHANGES, [replace(entry, state=GONE) for entry in lost], 3)
    assert len(world.told) >= 30 and all(entry.zone != 1 for entry, _ in world.told.values())
    assert set(world.told) - before


@pytest.mark.parametrize("count", [3, 50])
@pytest.mark.parametrize("bad", ["twice", "twice whole", "over", "over whole", "record"])
def test_malformed_list_is_rejected_and_the_list_before_stays(count: int, bad: str) -> None:
    world = World(settings_of(), 5, most=60)
    play(world, FULL, [server(number) for number in range(count)], 0)
    before, known = world.told, world.routing.count
    entries = [server(number) for number in range(100, 100 + (70 if "over" in bad else 40))]
    if "twice" in bad:
        entries[30] = entries[3]
    if bad == "record":
        entries[30] = replace(entries[30], name="n" * 70_000)
    with pytest.raises(EndpointListError) as error:
        world.give(FULL, entries, 0 if "whole" in bad else 2)
    text = str(error.value)
    assert "\n" not in text and len(text) < 300
    assert world.told == before and world.routing.count == known
    play(world, CHANGES, [server(1, state=GONE), server(2, started_us=9)], 0)
    play(world, FULL, [server(number) for number in range(20, 70)], 2)


@pytest.mark.parametrize("parts", [0, 2])
@pytest.mark.parametrize("count", [8, 55])
def test_changes_beyond_the_bound_are_rejected_and_may_come_again(count: int, parts: int) -> None:
    world = World(settings_of(), 5, most=60)
    play(world, FULL, [server(number) for number in range(count)], 0)
    before = world.told
    with pytest.raises(EndpointListError):
        world.give(CHANGES, [server(number) for number in range(100, 160)], parts)
    assert world.told == before
    # What has come since is said anew from where the list stood: fewer of them, as others have gone.
    again = [server(number) for number in range(100, 105)]
    again += [server(number, state=GONE) for number in range(105, 160)]
    play(world, CHANGES, again, parts)


def test_changes_that_end_within_the_bound_may_exceed_it_in_between() -> None:
    world = World(settings_of(), 5, most=60)
    play(world, FULL, [server(number) for number in range(60)], 0)
    play(world, CHANGES, [server(100), server(3, state=GONE)], 0)
    play(world, CHANGES, [server(101), server(4, state=GONE)], 1)


def test_takeover_left_half_way_is_taken_up_by_the_next() -> None:
    world = World(settings_of(groups=(DeduplicationScope.CELL,)), 5)
    with mock.patch.object(staging, "STEP_ENTRIES", 4):
        play(world, FULL, [server(number) for number in range(60)], 1)
        news = [server(number, state=GONE) for number in range(30)]
        for kind, entries in ((CHANGES, news), (FULL, [server(number) for number in range(200, 260)])):
            staged = world.routing.stage()
            staged.add(entries, addresses_of(entries))
            steps, before = world.routing.take_over(staged, kind, 9), world.told
            next(steps)
            next(steps)
            steps.close()
            assert world.told == before
        play(world, CHANGES, news, 0)


@pytest.mark.parametrize("kind", [FULL, CHANGES])
@pytest.mark.parametrize("count", [0, 300])
def test_steps_of_a_takeover_are_bounded(kind: EndpointListKind, count: int) -> None:
    world = World(settings_of(doors=100), 200, most=9_000)
    play(world, FULL, [server(number) for number in range(count)], 0)
    staged = world.routing.stage()
    entries = [server(number) for number in range(1_000, 4_700)]
    staged.add(entries, addresses_of(entries))
    steps, longest, taken = world.routing.take_over(staged, kind, 2), 0, 0
    put = module.EndpointIndex.put

    def counted(whole: module.EndpointIndex, place: int, record: bytes) -> bytes | None:
        nonlocal taken
        taken += 1
        return put(whole, place, record)

    with mock.patch.object(module.EndpointIndex, "put", counted):
        while True:
            taken = 0
            try:
                next(steps)
            except StopIteration as done:
                world.hear(done.value)
                break
            finally:
                longest = max(longest, taken)
    assert 0 < longest <= MOST_AT_ONCE
    world.change(kind, entries)
    assert world.told == world.wanted


def test_draining_member_is_reported_as_gone_and_comes_back() -> None:
    world = World(settings_of(), 4)
    play(world, FULL, [server(number) for number in range(30)], 0)
    name = next(iter(world.told))
    entry = world.known[name][0]
    seen, _ = world.give(CHANGES, [replace(entry, state=DRAINING)])
    assert seen is not None and (name, GONE) in {(each.name, each.state) for each in seen.event.endpoints}
    assert name not in seen.addresses
    world.change(CHANGES, [replace(entry, state=DRAINING)])
    world.hear(seen)
    play(world, CHANGES, [entry], 0)
    assert name in world.told


def test_names_of_any_text_and_odd_figures_come_through() -> None:
    world = World(settings_of(), 1)
    odd = [Endpoint(name, -1, -1, 0, UP, 0.25, -7) for name in ("\ud800", "é" * 40, "", "a b")]
    play(world, FULL, odd, 1)
    assert world.told == world.wanted and all(encode_name(name) for name in world.told if name)
    assert run_to_end(world.routing.take_over(world.routing.stage(), FULL, 1)) is not None
    assert address_of(odd[0]) is not None


@pytest.mark.parametrize("doors", [1, 2, 3])
def test_new_one_is_reported_to_a_proxy_that_sees_further_than_the_last_it_looked_at(doors: int) -> None:
    """A door of few sees a part of the ring in any case, also past the last that stood there."""
    world = World(settings_of(0, doors), 2)
    play(world, FULL, [server(number) for number in range(6)], 0)
    for number in range(6, 40):
        play(world, CHANGES, [server(number)], 0)
    assert len(world.told) == 40 or doors == 3


def test_subset_of_a_list_of_which_most_drains_looks_at_few() -> None:
    world = World(settings_of(doors=1_000), 8, most=9_000)
    entries = [server(number, state=UP if number % 500 == 0 else DRAINING) for number in range(8_000)]
    play(world, FULL, entries, 1)
    world.routing.index.ring.examined = 0
    play(world, CHANGES, [server(500, state=DRAINING)], 0)
    assert len(world.told) == 8 and world.routing.index.ring.examined < 200


def test_what_a_takeover_is_done_with_is_released_in_steps() -> None:
    """Neither the entries that were staged nor the list before goes at once: that took a turn of 37 ms."""
    world = World(settings_of(doors=100), 100, most=9_000)
    play(world, FULL, [server(number) for number in range(3_000)], 0)
    old, staged = world.routing.index.ring, world.routing.stage()
    entries = [server(number) for number in range(1_000, 5_000)]
    staged.add(entries, addresses_of(entries))
    left, held = [len(staged.slices)], [sum(bucket is not None for bucket in old.buckets)]
    assert left[0] == 8 and held[0] > 1_000
    for _ in world.routing.take_over(staged, FULL, 2):
        left.append(len(staged.slices))
        held.append(sum(bucket is not None for bucket in old.buckets))
    assert left[-1] == held[-1] == 0
    assert max(before - after for before, after in pairwise(left)) == 1
    assert max(before - after for before, after in pairwise(held)) <= 256


@pytest.mark.parametrize("kind", [FULL, CHANGES])
def test_takeover_left_at_any_step_counts_nothing_as_reported(kind: EndpointListKind) -> None:
    """What the module has not heard of must not pass for told: it would never hear of it again."""
    for taken in range(1, 100):
        world = World(settings_of(doors=100), 20, most=9_000)
        play(world, FULL, [server(number) for number in range(600)], 0)
        before = dict(world.routing.reported)
        staged = world.routing.stage()
        entries = [server(number) for number in range(600, 1_300)]
        staged.add(entries, addresses_of(entries))
        steps = world.routing.take_over(staged, kind, 2)
        try:
            for _ in range(taken):
                next(steps)
        except StopIteration:
            return
        steps.close()
        assert world.routing.reported == before
    raise AssertionError("it never ends")
