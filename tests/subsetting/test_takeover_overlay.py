"""Changes that are told while a whole list of another address is taken over in steps."""

from dataclasses import replace

import pytest

from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointState
from molereach.subsetting.interface import EndpointListError
from molereach.subsetting.packed_records import unpack
from tests.subsetting.model import DRAINING, GONE, UP, World, addresses_of, server, settings_of

MOST_AT_ONCE = 500  # entries taken over in one turn of the loop
FULL, CHANGES = EndpointListKind.FULL, EndpointListKind.CHANGES
NEW = [server(number, started_us=50) for number in range(1_500)]


def listed(world: World) -> dict[str, Endpoint]:
    assert world.routing.short_list is None
    return {entry.name: entry for entry, _ in map(unpack, world.routing.index.ring)}


def move(world: World, told: dict[int, list[Endpoint]], parts: bool = False) -> int:
    """The new list in steps, and what the old address tells before each of them. How many they were."""
    staged = world.routing.stage()
    staged.add(NEW, addresses_of(NEW))
    steps, at = world.routing.take_over(staged, FULL, 9), 0
    while True:
        if at in told:
            world.hear(world.give(CHANGES, told[at], parts=int(parts))[0])
        try:
            next(steps)
        except StopIteration as done:
            world.hear(done.value)
            return at
        at += 1


def world_of(count: int) -> World:
    world = World(settings_of(doors=2), 20, most=2_000)  # two doors see all
    before = [server(number, started_us=50) for number in range(count)]
    world.hear(world.give(FULL, before)[0])
    return world


@pytest.mark.parametrize("parts", [False, True])
@pytest.mark.parametrize("count", [10, 600])
@pytest.mark.parametrize("at", [1, 2, 3])
@pytest.mark.parametrize(("state", "started_us"), [(DRAINING, 50), (GONE, 50), (UP, 60), (DRAINING, 60)])
def test_what_ends_or_starts_a_backend_is_later_than_the_list(
    count: int, at: int, state: EndpointState, started_us: int, parts: bool
) -> None:
    """It was told when the list had come whole, and is true of the new list as well."""
    world = world_of(count)
    change = server(5, state=state, started_us=started_us)
    move(world, {at: [change]}, parts)
    there = listed(world)
    assert there.get("b5") == (None if state is GONE else change)
    assert len(there) == 1_500 - (state is GONE)
    told = world.told.get("b5")
    assert (told and told[0]) == (change if state is UP else None)


@pytest.mark.parametrize("count", [10, 600])
@pytest.mark.parametrize(
    "change",
    [
        server(5, started_us=50),
        server(5, state=DRAINING, started_us=40),
        server(5, started_us=40),
        server(1_700),
        server(1_700, state=DRAINING),
        server(1_700, state=GONE),
    ],
)
def test_what_the_new_list_does_not_name_or_knows_better_is_left_to_its_own_changes(
    count: int, change: Endpoint
) -> None:
    """What it never names again would stay for ever."""
    world = world_of(count)
    move(world, {2: [change]})
    assert listed(world) == {entry.name: entry for entry in NEW}


@pytest.mark.parametrize("count", [10, 600])
def test_steps_are_bounded_also_where_much_is_reported_meanwhile(count: int) -> None:
    world = world_of(count)
    drained = [replace(entry, state=DRAINING) for entry in NEW[:1_200]]
    alone, long = move(world_of(count), {}), move(world, {1: drained[:600], 2: drained[600:]})
    assert long - alone >= 1_200 // MOST_AT_ONCE  # the last of them comes with the step behind
    assert [entry.state for entry in listed(world).values()].count(DRAINING) == 1_200


def test_list_is_rejected_where_more_is_reported_meanwhile_than_a_list_may_have() -> None:
    world = world_of(600)
    drained = [replace(entry, state=DRAINING) for entry in NEW[:600]]
    with pytest.raises(EndpointListError, match="during the takeover"):
        move(world, {1: drained, 2: drained * 2, 3: drained})
    assert len(listed(world)) == 600 and not world.routing.overlay.recordings


def test_nothing_is_recorded_once_the_new_list_counts() -> None:
    """While the list before is let go of, changes are to the new one, whatever they say."""
    world = world_of(600)
    staged = world.routing.stage()
    staged.add(NEW, addresses_of(NEW))
    steps = world.routing.take_over(staged, FULL, 9)
    while world.routing.count != len(NEW):
        next(steps)
    assert not world.routing.overlay.recordings
    world.hear(world.give(CHANGES, [server(1_700)])[0])
    for _ in steps:
        pass
    assert "b1700" in listed(world)
