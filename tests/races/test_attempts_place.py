"""Where a keyed request may be repeated: in the group of its first attempt, as that stood then."""

from dataclasses import replace

import pytest

from molereach.policy import interface as i
from tests.helpers import MS, SETTINGS, S, World, of, servers

FLEET = servers(4)  # s0 and s2 in zone 0, s0 and s1 in cell 0
KEYED = i.RequestClass(2 * S, 6 * S, effect=i.Effect.KEYED, window_us=3 * S)


def sent(world: World) -> list[str]:
    return [action.server for _, action in world.log if isinstance(action, i.Send)]


@pytest.mark.parametrize(
    ("group", "moved", "only"),
    [(i.Group.ZONE, {"zone": 1}, "s2"), (i.Group.CELL, {"cell": 1}, "s1")],
)
@pytest.mark.parametrize("restarted", [False, True])
def test_repeat_stays_in_the_group_that_the_first_server_was_in(
    group: i.Group, moved: dict[str, int], only: str, restarted: bool
) -> None:
    """Its entry changes while the attempt is out: what it did is known where it was."""
    world = World(replace(SETTINGS, classes=(replace(KEYED, group=group),)), FLEET[:1])
    world.ask("a")
    assert sent(world) == ["s0"]
    first = replace(FLEET[0], started_us=int(restarted), **moved)
    world.tell(i.ServerList(i.ListKind.FULL, 2, (first, *FLEET[1:])))
    world.run(10 * MS)
    world.answer("a", i.Result.RESET)
    assert sent(world) == ["s0", only]


def test_no_repeat_where_the_group_has_no_other_server_by_then() -> None:
    world = World(replace(SETTINGS, classes=(replace(KEYED, group=i.Group.ZONE),)), FLEET[:1])
    world.ask("a")
    world.tell(i.ServerList(i.ListKind.FULL, 2, (replace(FLEET[0], zone=1), FLEET[1])))
    assert of(i.Fail, world.answer("a", i.Result.RESET)) and sent(world) == ["s0"]


@pytest.mark.parametrize(
    ("first", "second", "more"),
    [
        ([i.Result.CONNECT_FAILED], i.Result.RESET, 0),
        ([i.Result.FULL], i.Result.TIMEOUT, 0),
        ([i.Result.CONNECT_FAILED, i.Result.FULL], i.Result.CONNECT_FAILED, 1),
        ([], i.Result.RESET, 0),
        ([], i.Result.TIMEOUT, 0),
        ([], i.Result.ERROR, 0),
        ([], i.Result.SPOILT, 0),
    ],
)
def test_unsafe_request_is_never_sent_again_once_in_doubt(
    first: list[i.Result], second: i.Result, more: int
) -> None:
    unsafe = i.RequestClass(2 * S, 6 * S, effect=i.Effect.UNSAFE)
    world = World(replace(SETTINGS, classes=(unsafe,), max_attempts=9), FLEET)
    world.ask("a")
    for number, result in enumerate([*first, second]):
        world.answer("a", result, number)
    world.run(5 * S)
    assert len(sent(world)) == len(first) + 1 + more
    assert len(of(i.Refuse, [action for _, action in world.log])) == 0
    assert len(of(i.Fail, [action for _, action in world.log])) == 1 - more or more
