"""Model servers of cells, which keep stores by range and owe what `orders` says."""

from dataclasses import dataclass, field

from molereach.policy.interface.settings import Idempotency
from molereach.shards.map.shard_map import Home, ShardMap
from molereach.shards.splits.commands import Done, Order
from molereach.shards.splits.record import Record


@dataclass(frozen=True)
class Attempt:
    id: str
    member: int
    effect: Idempotency
    again: bool  # it may have been tried before
    size: int


@dataclass(frozen=True)
class Answer:
    ran: bool  # now
    busy: bool  # and never ran
    shard: int = 0  # to which it was written


BUSY = Answer(False, True)


@dataclass
class Cell:
    """The servers of one cell, as one."""

    home: Home
    cells: "dict[str, Cell]"
    owns: list[tuple[int, int, int]] = field(default_factory=list)  # first, end, shard
    stored: dict[int, int] = field(default_factory=dict)  # bytes by member
    memory: dict[str, int] = field(default_factory=dict)  # keyed requests that ran, and their members
    taken: dict[str, int] = field(default_factory=dict)  # the last position at which an order was taken
    closed: dict[str, Record] = field(default_factory=dict)
    pinned: dict[str, Record] = field(default_factory=dict)
    staged: dict[str, dict[int, int]] = field(default_factory=dict)
    ran: list[Attempt] = field(default_factory=list)
    by_shard: dict[int, int] = field(default_factory=dict)

    def moved_away(self, member: int) -> bool:
        return any(split.moves(member) for split in self.closed.values())

    def handle(self, attempt: Attempt) -> Answer:
        for split in self.pinned.values():
            if split.moves(attempt.member):
                return self.pass_on(split, attempt)
        shard = next((shard for first, end, shard in self.owns if first <= attempt.member < end), None)
        if shard is None or self.moved_away(attempt.member):
            return BUSY
        if attempt.effect is Idempotency.IDEMPOTENT_WITH_KEY and attempt.id in self.memory:
            return Answer(False, False, shard)
        if attempt.effect is Idempotency.IDEMPOTENT_WITH_KEY:
            self.memory[attempt.id] = attempt.member
        self.ran.append(attempt)
        self.stored[attempt.member] = self.stored.get(attempt.member, 0) + attempt.size
        self.by_shard[shard] = self.by_shard.get(shard, 0) + attempt.size
        return Answer(True, False, shard)

    def pass_on(self, split: Record, attempt: Attempt) -> Answer:
        if attempt.effect is not Idempotency.IDEMPOTENT_WITH_KEY or not attempt.again:
            return BUSY
        if attempt.id in self.memory:
            return Answer(False, False, split.shard)
        return self.cells[split.to.cell].handle(attempt)

    def newer(self, split: Record) -> bool:
        return split.position > self.taken.get(split.id, -1)

    def tell(self, order: Order, split: Record) -> Done | None:
        done = Done(self.home, order, split.id, split.position)
        if split.position == self.taken.get(split.id) and order is not Order.CLOSE:
            return done
        if not self.newer(split) and split.position != self.taken.get(split.id):
            return None
        self.taken[split.id] = split.position
        inside = {member: size for member, size in self.stored.items() if split.moves(member)}
        match order:
            case Order.CLOSE:
                self.closed[split.id] = split
                new = self.cells[split.to.cell]
                if split.position > new.taken.get(split.id, -1):
                    new.staged[split.id] = inside
                return Done(self.home, order, split.id, split.position, sum(inside.values()))
            case Order.OPEN:
                if all(shard != split.new for _, _, shard in self.owns):
                    self.owns.append((split.cut, split.end, split.new))
                for member, size in self.staged.pop(split.id, {}).items():
                    self.stored[member] = self.stored.get(member, 0) + size
            case Order.HANDED | Order.DROP:
                self.closed.pop(split.id, None)
                if order is Order.HANDED:
                    self.pinned[split.id] = split
                else:
                    self.pinned.pop(split.id, None)
                    self.memory = {id: at for id, at in self.memory.items() if not split.moves(at)}
                self.owns = [
                    (first, split.cut if shard == split.shard else end, shard)
                    for first, end, shard in self.owns
                ]
                self.stored = {member: size for member, size in self.stored.items() if member not in inside}
            case Order.UNDO:
                self.closed.pop(split.id, None)
                self.staged.pop(split.id, None)
        return done


def cells_of(found: ShardMap, kind: type[Cell] = Cell) -> dict[str, Cell]:
    cells: dict[str, Cell] = {}
    for index, piece in enumerate(found.pieces):
        cell = cells.setdefault(piece.home.cell, kind(piece.home, cells))
        cell.owns.append((piece.first, found.end(index), piece.shard))
    return cells
