"""Simulated cells, which store bytes by member and carry out commands as `splits.commands` describes them."""

from dataclasses import dataclass, field

from molereach.policy.interface.settings import Idempotency
from molereach.shards.map.shard_map import CellId, ShardMap
from molereach.shards.splits.commands import CellCommand, CommandDone
from molereach.shards.splits.record import SplitRecord


@dataclass(frozen=True)
class Attempt:
    """An attempt of a write."""

    id: str
    member: int
    idempotency: Idempotency
    is_repeat: bool  # it may have been tried before
    size: int


@dataclass(frozen=True)
class Answer:
    """A cell's answer to an attempt."""

    executed: bool  # by this attempt
    busy: bool  # rejected, never executed
    shard: int = 0  # to which it was written


BUSY = Answer(False, True)


@dataclass
class SimulatedCell:
    """All backends of one cell, as one."""

    cell: CellId
    cells: "dict[str, SimulatedCell]"
    ranges: list[tuple[int, int, int]] = field(default_factory=list)  # first, end, shard
    stored: dict[int, int] = field(default_factory=dict)  # bytes by member
    memory: dict[str, int] = field(default_factory=dict)  # members of executed keyed requests, by ID
    positions: dict[str, int] = field(default_factory=dict)  # of the last command of each split
    closed: dict[str, SplitRecord] = field(default_factory=dict)
    handed_over: dict[str, SplitRecord] = field(default_factory=dict)
    copies: dict[str, dict[int, int]] = field(default_factory=dict)  # of ranges that are not open here yet
    executed: list[Attempt] = field(default_factory=list)
    by_shard: dict[int, int] = field(default_factory=dict)  # bytes

    def is_closed(self, member: int) -> bool:
        """Whether the member's range is closed by a split."""
        return any(split.in_range(member) for split in self.closed.values())

    def handle(self, attempt: Attempt) -> Answer:
        """Execute an attempt, answer it from memory, pass it on, or reject it."""
        for split in self.handed_over.values():
            if split.in_range(attempt.member):
                return self.pass_on(split, attempt)
        shard = next((shard for first, end, shard in self.ranges if first <= attempt.member < end), None)
        if shard is None or self.is_closed(attempt.member):
            return BUSY
        if attempt.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and attempt.id in self.memory:
            return Answer(False, False, shard)
        if attempt.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
            self.memory[attempt.id] = attempt.member
        self.executed.append(attempt)
        self.stored[attempt.member] = self.stored.get(attempt.member, 0) + attempt.size
        self.by_shard[shard] = self.by_shard.get(shard, 0) + attempt.size
        return Answer(True, False, shard)

    def pass_on(self, split: SplitRecord, attempt: Attempt) -> Answer:
        """Handle an attempt for a range that was handed over."""
        if attempt.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY or not attempt.is_repeat:
            return BUSY
        if attempt.id in self.memory:
            return Answer(False, False, split.shard)
        return self.cells[split.target.name].handle(attempt)

    def is_newer(self, split: SplitRecord) -> bool:
        """Whether a command's position is higher than that of the last one of its split."""
        return split.position > self.positions.get(split.id, -1)

    def execute(self, command: CellCommand, split: SplitRecord) -> CommandDone | None:
        """Carry out a command; None if it is outdated."""
        done = CommandDone(self.cell, command, split.id, split.position)
        if split.position == self.positions.get(split.id) and command is not CellCommand.CLOSE:
            return done
        if not self.is_newer(split) and split.position != self.positions.get(split.id):
            return None
        self.positions[split.id] = split.position
        in_range = {member: size for member, size in self.stored.items() if split.in_range(member)}
        match command:
            case CellCommand.CLOSE:
                self.closed[split.id] = split
                target = self.cells[split.target.name]
                if split.position > target.positions.get(split.id, -1):
                    target.copies[split.id] = in_range
                return CommandDone(self.cell, command, split.id, split.position, sum(in_range.values()))
            case CellCommand.OPEN:
                if all(shard != split.new_shard for _, _, shard in self.ranges):
                    self.ranges.append((split.split_point, split.end, split.new_shard))
                for member, size in self.copies.pop(split.id, {}).items():
                    self.stored[member] = self.stored.get(member, 0) + size
            case CellCommand.HANDED_OVER | CellCommand.DROP:
                self.closed.pop(split.id, None)
                if command is CellCommand.HANDED_OVER:
                    self.handed_over[split.id] = split
                else:
                    self.handed_over.pop(split.id, None)
                    self.memory = {
                        id: member for id, member in self.memory.items() if not split.in_range(member)
                    }
                self.ranges = [
                    (first, split.split_point if shard == split.shard else end, shard)
                    for first, end, shard in self.ranges
                ]
                self.stored = {member: size for member, size in self.stored.items() if member not in in_range}
            case CellCommand.UNDO:
                self.closed.pop(split.id, None)
                self.copies.pop(split.id, None)
        return done


def cells_of(shard_map: ShardMap, kind: type[SimulatedCell] = SimulatedCell) -> dict[str, SimulatedCell]:
    """The cells of a map by name, each with its ranges."""
    cells: dict[str, SimulatedCell] = {}
    for index, each in enumerate(shard_map.ranges):
        cell = cells.setdefault(each.cell.name, kind(each.cell, cells))
        cell.ranges.append((each.first, shard_map.range_end(index), each.shard))
    return cells
