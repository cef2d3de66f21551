"""Each hard case by itself: a leader dies at each step, front doors apart, growth that turns, two at once."""

import pytest

from molereach.coordination.interface.clearance import ClearanceEvidence
from molereach.coordination.interface.core import Tick
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import Restored
from molereach.policy.interface.settings import Idempotency
from molereach.shards.map.shard_map import MEMBERS, Home
from molereach.shards.proof import Word
from molereach.shards.splits import bodies
from molereach.shards.splits.bodies import Clear, Close, Copy, Found, GiveUp, Hand, Plan
from molereach.shards.splits.commands import Done, Order
from molereach.shards.splits.driver import Begin, Unneeded
from molereach.shards.splits.record import Record
from molereach.shards.splits.registry import MOST_OPEN
from molereach.shards.splits.router import DoorShards, Learn
from molereach.shards.splits.states import State
from tests.shards.generated import HOMES, drawn_by, even_map
from tests.shards.splits.simulated_cells import Cell
from tests.shards.splits.simulation import WINDOW_MS, Kinds, World, plan

A = NodeInstance("a", 1)
MOVED = MEMBERS // 2 - 1  # of the first shard, in the upper half


def begun(shards: int = 2) -> tuple[World, Plan]:
    world = World(drawn_by(1), Kinds(), shards)
    found = world.truth.shards.map
    assert found
    return world, plan(found, "s")


def put(world: World, body: bodies.Body) -> str:
    return world.add(bodies.MACHINE, bodies.encode(body), A).error


def said(world: World, position: int) -> tuple[Word, ...]:
    return tuple(
        Word(session.fencing_token, ClearanceEvidence.REPORTED, position)
        for session in world.truth.sessions.active_sessions()
    )


def at(world: World) -> int:
    return world.truth.shards.book.open["s"].position


def asks(world: World) -> None:
    for name in "abc":
        for effect in Idempotency:
            world.ask(name, effect, MOVED)
            world.ask(name, effect, 5)


@pytest.mark.parametrize("step", range(1, 24))
def test_a_leader_that_dies_at_any_step_is_followed_by_one_that_ends_the_split(step: int) -> None:
    world, wanted = begun()
    world.lead("a", 1)
    for reader in world.readers.values():
        world.catch_up(reader)
    world.drive(world.readers["a"], Begin(wanted))

    def dies(round: int) -> None:
        if round < 60:
            asks(world)
        if round == step:
            world.readers["a"].stopped = True
            world.over("a")
            world.lead("b", 2)
            if world.truth.shards.book.get("s") is None:
                world.drive(world.readers["b"], Begin(wanted))

    world.fair(300, dies)
    assert world.state("s") is State.CLEARED
    world.fair(3)
    world.check_stores()


def test_front_doors_that_are_cut_off_hold_nothing_up_and_send_nothing_astray() -> None:
    world, wanted = begun()
    world.lead("a", 1)
    cut_off = world.readers["c"]
    world.catch_up(cut_off)
    world.drive(world.readers["a"], Begin(wanted))
    cut_off.stopped = True
    world.fair(40)
    assert world.state("s") is State.COPYING  # its word is missing
    world.over("c")
    world.fair(60)
    assert world.state("s") is State.HANDED
    cut_off.stopped = False  # it goes on by its old map, and hears nothing of the log
    before = len(world.answers)
    place = cut_off.door.place(world.now_us, MOVED, Idempotency.NON_IDEMPOTENT)
    assert place and place.cell == "c0"
    world.ask("c", Idempotency.NON_IDEMPOTENT, MOVED)
    under_way, world.pool = world.pool, []
    for one in under_way:
        one()
    assert [answer.busy for answer in world.answers[before:]] == [True]
    assert world.sides["r1"] == {"c0"}  # turned away there, it is sent nowhere else
    world.open(cut_off)
    world.fair(200)
    assert world.state("s") is State.CLEARED
    world.check_stores()


@pytest.mark.parametrize("rounds", [2, 4, 5, 6, 7, 8])
def test_growth_that_turns_gives_it_up_before_the_hand_over_and_all_is_as_it_was(rounds: int) -> None:
    world, wanted = begun()
    world.lead("a", 1)
    world.drive(world.readers["a"], Begin(wanted))
    world.fair(rounds, lambda _: asks(world))
    state = world.state("s")
    world.drive(world.readers["a"], Unneeded("s", "growth turned"))
    world.fair(300, lambda round: asks(world) if round < 40 else None)
    world.fair(3)
    found = world.truth.shards.map
    assert found and state
    turned = state in (State.PLANNED, State.COPYING)
    assert world.state("s") in ((State.UNDONE, State.CLEARED) if turned else (State.CLEARED,))
    assert rounds > 4 or world.state("s") is State.UNDONE
    assert (found.version == 1) is (world.state("s") is State.UNDONE)
    world.check_stores()


@pytest.mark.parametrize(
    ("mute", "ends"), [(Order.COPY, State.COPYING), (Order.CLOSE, State.UNDONE), (Order.OPEN, State.CLEARED)]
)
def test_a_cell_that_does_not_answer(mute: Order, ends: State) -> None:
    class Mute(Cell):
        def tell(self, order: Order, split: Record) -> Done | None:
            done = super().tell(order, split)
            return None if order is mute else done

    world = World(drawn_by(1), Kinds(cell=Mute))
    found = world.truth.shards.map
    assert found
    world.lead("a", 1)
    world.drive(world.readers["a"], Begin(plan(found, "s")))
    world.fair(300, lambda round: asks(world) if round < 60 else None)
    assert world.state("s") is ends
    world.fair(3)
    world.check_stores()


def test_of_two_due_at_once_in_one_building_the_second_takes_other_cells_or_waits() -> None:
    world, wanted = begun()
    found = world.truth.shards.map
    assert found and not put(world, wanted)
    other = found.pieces[1]
    same = Plan("t", other.shard, other.first + 9, wanted.to)
    assert "split s is planned" in put(world, same)
    onto = Plan("t", other.shard, other.first + 9, HOMES[0])
    assert "split s is planned" in put(world, onto)
    assert not put(world, Plan("t", other.shard, other.first + 9, HOMES[3]))
    assert put(world, GiveUp("s", at(world), "")) == ""
    assert not put(world, Plan("u", 1, 99, HOMES[2]))


def test_what_each_step_asks_for() -> None:
    world, wanted = begun()
    assert put(world, Found(even_map(1).pieces, (0,))) == "there is a map"
    assert put(world, Copy("s")) == "id: no split s"
    assert put(world, Plan("s", 1, 0, HOMES[2])).startswith("cut")
    assert put(world, wanted) == put(world, wanted) == ""  # told again
    assert put(world, Hand("s", at(world), 0)) == "step: s is planned"
    world.truth.upkeep.out.add("c2")
    assert put(world, Copy("s")) == "c2: work"
    world.truth.upkeep.out.clear()
    assert world.truth.shards.at_work(HOMES[2]) == "" and put(world, Copy("s")) == ""
    assert world.truth.shards.at_work(HOMES[2]) == "s"
    for reader in world.readers.values():
        world.catch_up(reader)
    copying = at(world)
    assert put(world, Close("s", copying, ())) == "proof: no word of a"
    assert put(world, Close("s", copying, said(world, copying - 1))).startswith("proof: a has said")
    assert put(world, Close("s", copying - 1, said(world, copying))) == f"begun: s is copying by {copying}"
    assert put(world, Close("s", copying, said(world, copying))) == ""
    assert put(world, Hand("s", copying, 7)).startswith("begun")
    assert put(world, Hand("s", at(world), 7)) == ""
    shards = world.truth.shards
    assert (shards.base(1), shards.base(3)) == (-7, 7) and shards.counted(3) and not shards.counted(4)
    assert put(world, GiveUp("s", at(world), "")) == "step: s is handed"
    world.now_us = (WINDOW_MS - 1) * 1000
    assert put(world, Clear("s", at(world), said(world, at(world)))).startswith("window")
    world.now_us += 1000
    for reader in world.readers.values():
        world.catch_up(reader)
        world.say(reader)
    assert put(world, Clear("s", at(world), ())).startswith("proof")
    assert put(world, Copy("s")) == "step: s is handed" and put(world, wanted) == ""
    assert world.add(bodies.MACHINE, b'{"kind":"copy"}', A).error == "not understood"


def test_bounds_and_snapshots() -> None:
    homes = tuple(Home("b", f"d{number}") for number in range(2 * MOST_OPEN + 2))
    world = World(drawn_by(1))
    shards = type(world.truth.shards)(world.truth.shards.settings, world.truth.sessions, world.truth.upkeep)
    world.truth.shards = shards
    first = even_map(MOST_OPEN + 1, homes=homes)
    assert put(world, Found(first.pieces, (0,))).startswith("bytes")
    assert put(world, Found(first.pieces[1:], (0,) * MOST_OPEN)).startswith("pieces")
    assert put(world, Found(first.pieces, (0,) * (MOST_OPEN + 1))) == ""
    for index in range(MOST_OPEN):
        wanted = Plan(f"s{index}", index + 1, first.pieces[index].first + 1, homes[MOST_OPEN + 1 + index])
        assert put(world, wanted) == ""
    last = Plan("more", MOST_OPEN + 1, first.pieces[-1].first + 1, homes[-1])
    assert put(world, last) == f"id: more than {MOST_OPEN} splits are open"
    snapshot = shards.snapshot()
    shards.restore(snapshot)
    assert shards.snapshot() == snapshot
    for broken in (
        b"{}",
        snapshot.replace(b'"state":"planned"', b'"state":"undone"', 1),
        snapshot.replace(b'"id":"s1"', b'"id":"s0"', 1),
        snapshot.replace(b'"d3"', b'"d2"'),
    ):
        with pytest.raises(ValueError):
            shards.restore(broken)
    assert shards.snapshot() == snapshot


def handed() -> tuple[World, DoorShards]:
    world, wanted = begun()
    for body in (wanted, Copy("s")):
        assert put(world, body) == ""
    assert put(world, Close("s", at(world), said(world, at(world)))) == ""
    for reader in world.readers.values():
        world.catch_up(reader)
    return world, world.readers["a"].door


def test_where_a_front_door_sends_each_kind_of_request() -> None:
    world, door = handed()
    old = door.place(0, MOVED, Idempotency.NON_IDEMPOTENT)
    assert old and (old.cell, old.shard, old.version) == ("c0", 1, 1)
    assert put(world, Hand("s", at(world), 0)) == ""
    assert door.place(0, MOVED, Idempotency.IDEMPOTENT) == old  # until it has the entry
    door.turned_away(0, old, 2)
    assert door.handle(0, Tick()) == [Learn(2)] and door.handle(0, Tick()) == []
    world.now_us = 1_000_000
    world.catch_up(world.readers["a"])
    new = door.place(world.now_us, MOVED, Idempotency.IDEMPOTENT)
    assert new and (new.cell, new.shard, new.version) == ("c2", 3, 2)
    door.turned_away(0, new, 2)
    assert door.handle(world.now_us, Tick()) == []

    def cell(member: int, effect: Idempotency, now_us: int, **kinds: object) -> str | None:
        place = door.place(now_us, member, effect, **kinds)  # type: ignore[arg-type]
        return place.cell if place else None

    later = world.now_us + WINDOW_MS * 1000
    assert cell(MOVED, Idempotency.NON_IDEMPOTENT, world.now_us, tried=old) is None
    assert cell(MOVED, Idempotency.NON_IDEMPOTENT, world.now_us) == "c2"
    assert cell(MOVED, Idempotency.IDEMPOTENT, world.now_us, tried=old) == "c2"
    assert cell(MOVED, Idempotency.IDEMPOTENT_WITH_KEY, world.now_us, tried=old) == "c0"
    assert cell(MOVED, Idempotency.IDEMPOTENT_WITH_KEY, world.now_us) == "c2"
    assert cell(MOVED, Idempotency.IDEMPOTENT_WITH_KEY, later - 1, is_repeat=True) == "c0"
    assert cell(MOVED, Idempotency.IDEMPOTENT_WITH_KEY, later, is_repeat=True) == "c2"
    assert cell(5, Idempotency.IDEMPOTENT_WITH_KEY, world.now_us, is_repeat=True, tried=old) == "c0"
    with pytest.raises(ValueError):
        door.place(0, MEMBERS, Idempotency.IDEMPOTENT)


def test_clear_is_said_once_the_window_is_over_also_after_a_snapshot() -> None:
    world, door = handed()
    assert put(world, Hand("s", at(world), 0)) == ""
    position = at(world)
    world.catch_up(world.readers["a"])
    later = world.start(NodeInstance("z", 1)).door
    for each in (door, later):
        assert each.clear == position - 1 and each.wake_us == world.now_us + WINDOW_MS * 1000
        each.handle(each.wake_us - 1, Tick())
        assert each.clear == position - 1
        each.handle(each.wake_us, Tick())
        assert each.clear >= position
    later.handle(0, Restored(position + 5))
    assert later.clear == position + 5


def test_without_a_map_nothing_is_sent() -> None:
    world = World(drawn_by(1))
    empty = type(world.truth.shards)(world.truth.shards.settings, world.truth.sessions, world.truth.upkeep)
    assert DoorShards(empty).place(0, 5, Idempotency.IDEMPOTENT) is None
