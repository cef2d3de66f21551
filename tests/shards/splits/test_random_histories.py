"""Drawn histories: requests go on through splits while front doors lag, stop, die, and more than one leads.

An unsafe request is never sent to both sides, a keyed one runs once, each write is where the map says, no
cell is in two splits or in a split and in upkeep, and what each step needs is there when it is taken.
"""

from collections.abc import Sequence

import msgspec
import pytest

from molereach.coordination.interface.core import Tick
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.leases import bodies as leases
from molereach.policy.interface.settings import Idempotency
from molereach.shards.map.shard_map import MEMBERS, Home, Piece
from molereach.shards.splits import bodies
from molereach.shards.splits.bodies import Plan, Proof
from molereach.shards.splits.driver import Begin, Unneeded
from molereach.shards.splits.machine import Shards
from molereach.shards.splits.record import Record
from molereach.shards.splits.router import DoorShards
from molereach.shards.splits.routing_interface import Place
from molereach.shards.splits.states import State
from tests.shards.generated import HOMES, drawn_by
from tests.shards.splits.simulated_cells import Answer, Attempt, Cell
from tests.shards.splits.simulation import STEP_US, UPKEEP, Kinds, Reader, World, plan

EVENTS = 1500


def drawn_step(world: World, ballots: list[int]) -> None:
    draw = world.draw
    name = "abc"[int(draw() * 3)]
    reader, chance = world.readers[name], draw()
    world.step_time()
    if chance < 0.15:
        member = int(draw() * MEMBERS) if draw() < 0.3 else int(draw() * 64) * (MEMBERS // 64)
        world.ask(name, list(Idempotency)[int(draw() * 3)], member, 1 + int(draw() * 9))
    elif chance < 0.22 and world.keyed:
        world.repeat(name, world.keyed[-1 - int(draw() * min(30, len(world.keyed)))])
    elif chance < 0.58 and world.pool:
        one = world.pool[int(draw() * len(world.pool))]
        fate = draw()
        if fate < 0.75 or one in world.once:
            world.pool.remove(one)
        if fate > 0.04:
            one()
    elif chance < 0.72 and not reader.stopped:
        world.catch_up(reader, 1 + int(draw() * 6))
        world.say(reader)
    elif chance < 0.86:
        world.drive(reader, Tick())
    elif chance < 0.88:
        trouble(world, reader, ballots)
    elif chance < 0.89:
        home = HOMES[int(draw() * 4)]
        if draw() < (0.3 if home.cell in world.truth.upkeep.out else 0.6):
            world.add(UPKEEP, msgspec.json.encode(home), reader.me)
    elif chance < 0.96 and world.truth.shards.book.open:
        opened = list(world.truth.shards.book.open.values())
        world.wild(opened[int(draw() * len(opened))])
    else:
        want(world, reader)


def trouble(world: World, reader: Reader, ballots: list[int]) -> None:
    draw, name = world.draw, reader.me.name
    match int(draw() * 6):
        case 0:
            reader.stopped = True  # and its session is over, now or later
        case 1:
            reader.stopped = False
            opened = world.truth.sessions.active_session(name)
            if not opened or opened.instance != reader.me:
                world.open(reader)
        case 2:
            world.over(name)
        case 3:  # dies, and starts anew
            life = NodeInstance(name, reader.me.number + 1)
            world.readers[name].stopped = True
            world.start(life)
        case _:  # another is elected; the one before may not know
            ballots.append(len(ballots))
            world.lead(name, len(ballots))


def want(world: World, reader: Reader) -> None:
    found, draw = world.truth.shards.map, world.draw
    assert found
    if draw() < 0.12 and world.truth.shards.book.open:
        id = next(iter(world.truth.shards.book.open))
        world.drive(reader, Unneeded(id, "growth turned"))
    elif len(found.pieces) < 12:
        wanted = plan(found, f"s{len(world.entries)}", int(draw() * len(found.pieces)), 0.2 + 0.6 * draw())
        if draw() < 0.5:
            world.add(bodies.MACHINE, bodies.encode(wanted), reader.me)
        else:
            world.drive(reader, Begin(wanted))


def history(seed: int, kinds: Kinds = Kinds()) -> World:  # noqa: B008
    world, ballots = World(drawn_by(seed), kinds), [0]
    world.lead("a", 1)
    for _ in range(EVENTS):
        drawn_step(world, ballots)
    for name in "abc":  # the trouble ends, and what is open comes to its end
        reader = world.readers[name]
        reader.stopped, reader.driver = False, None
        world.catch_up(reader)
        opened = world.truth.sessions.active_session(name)
        if not opened or opened.instance != reader.me:
            world.open(reader)
    for cell in list(world.truth.upkeep.out):
        home = next(home for home in HOMES if home.cell == cell)
        world.add(UPKEEP, msgspec.json.encode(home), NodeInstance("a", 1))
    world.lead("b", len(ballots) + 1)
    world.fair(250, lambda _: world.wait(2 * STEP_US))
    book = world.truth.shards.book
    assert not book.open, "a split never ends"
    world.check_stores()
    before = len(world.answers)
    for name in "abc":
        for member in range(0, MEMBERS, MEMBERS // 16):
            world.ask(name, Idempotency.NON_IDEMPOTENT, member)
    world.fair(3)
    assert not any(answer.busy for answer in world.answers[before:]), "requests are turned away for ever"
    world.check_stores()
    for reader in world.readers.values():
        assert reader.shards.snapshot() == world.truth.shards.snapshot()
    return world


@pytest.mark.parametrize("seed", range(18))
def test_drawn_histories(seed: int) -> None:
    history(seed)


def test_the_histories_come_through_all_states() -> None:
    past = [split for seed in range(2) for split in history(seed).truth.shards.book.past.values()]
    assert sum(split.state is State.CLEARED for split in past) >= 4
    assert sum(split.state is State.UNDONE for split in past) >= 2


class AnyProof(Shards):
    def fault(self, proof: Proof, begun: int) -> str:
        return ""


class TwoOfOneCell(Shards):
    def in_the_way(self, home: Home) -> str:
        return ""


class NoRooms(Shards):
    def no_room(self, record: Record, at_ms: int) -> str:
        return ""


class UnsafeAnywhere(DoorShards):
    def unsafe(self, piece: Piece, tried: Place | None) -> Place | None:
        return self._at(piece)


class KeyedByTheMap(DoorShards):
    def keyed(self, piece: Piece, pin: Record | None, is_repeat: bool, tried: Place | None) -> Place | None:
        return self._at(piece)


class RepeatsByTheMap(DoorShards):
    def keyed(self, piece: Piece, pin: Record | None, is_repeat: bool, tried: Place | None) -> Place | None:
        return super().keyed(piece, None, is_repeat, tried)


class OldMap(DoorShards):
    """A map is used after its version."""

    def _follow(self, now_us: int) -> None:
        if self._lookup is None:
            super()._follow(now_us)


class ClearAtOnce(DoorShards):
    @property
    def clear(self) -> int:
        return self._applied


class AnyOrder(Cell):
    """Takes orders of those who lead no more."""

    def newer(self, split: Record) -> bool:
        return True


class KeepsOpen(Cell):
    """Takes requests of the range after it said that it closed."""

    def moved_away(self, member: int) -> bool:
        return False


class RunsRepeats(Cell):
    """Runs what it is asked again and does not remember, where it ought to pass it on."""

    def pass_on(self, split: Record, attempt: Attempt) -> Answer:
        if (
            attempt.effect is Idempotency.IDEMPOTENT_WITH_KEY
            and attempt.again
            and attempt.id not in self.memory
        ):
            self.ran.append(attempt)
            return Answer(True, False, split.shard)
        return super().pass_on(split, attempt)


def seeds_that_find(kinds: Kinds, seeds: Sequence[int]) -> bool:
    for seed in seeds:
        try:
            history(seed, kinds)
        except (AssertionError, ValueError, KeyError):
            return True
    return False


@pytest.mark.parametrize(
    "kinds",
    [
        Kinds(shards=AnyProof),
        Kinds(shards=TwoOfOneCell),
        Kinds(shards=NoRooms),
        Kinds(door=UnsafeAnywhere),
        Kinds(door=KeyedByTheMap),
        Kinds(door=RepeatsByTheMap),
        Kinds(door=OldMap),
        Kinds(cell=AnyOrder),
        Kinds(cell=KeepsOpen),
        Kinds(cell=RunsRepeats),
        Kinds(door=ClearAtOnce),
    ],
    ids=lambda kinds: next(
        kind.__name__
        for kind in (kinds.shards, kinds.door, kinds.cell)
        if kind not in (Shards, DoorShards, Cell)
    ),
)
def test_a_broken_rule_is_found(kinds: Kinds) -> None:
    assert seeds_that_find(kinds, range(30))


def test_the_order_that_a_plan_and_a_reader_see_is_one() -> None:
    world = history(3)
    again = Reader(NodeInstance("z", 9), world.kinds)
    for entry in world.entries:
        again.take(0, entry)
    assert again.shards.snapshot() == world.truth.shards.snapshot()
    assert any(entry.machine == leases.MACHINE for entry in world.entries)
    assert isinstance(bodies.decode(bodies.encode(plan(world.truth.shards.map, "x"))), Plan)  # type: ignore
