"""The commands to the backends of a cell about a split, and their answers.

Each command carries the position of the entry that it rests on. A backend carries out a command of a split
only if its position is higher than that of the last one, so a late command of a former leader changes
nothing; a repeated one is answered again. Each command also implies the earlier ones of its split that the
backend missed. What a backend does on each:

- COPY, to the source cell: copy the range to the target cell, and what is written meanwhile; answer once the
  copy is only a moment behind.
- CLOSE, to the source cell: reject all requests of the range (`-BUSY`, they were not executed); answer, with
  the bytes of the range, once all that was executed before is at the target cell.
- OPEN, to the target cell: accept requests of the range, rejected so far, and accept no more copies of it.
- HANDED_OVER, to the source cell: answer a repeated keyed request of the range from memory if it was executed
  here, else pass it on to the target cell, which drops it if it was executed there. Reject all others.
- DROP, to the source cell: delete the range, and reject all its requests.
- UNDO, to both: the source cell has the range as before; the target cell deletes its copy.
"""

from dataclasses import dataclass
from enum import Enum

from molereach.shards.map.shard_map import CellId
from molereach.shards.splits.record import SplitRecord
from molereach.shards.splits.states import State


class CellCommand(Enum):
    """What the backends of a cell are to do."""

    COPY = "copy"
    CLOSE = "close"
    OPEN = "open"
    HANDED_OVER = "handed"
    DROP = "drop"
    UNDO = "undo"


@dataclass(frozen=True, slots=True)
class SendCommand:
    """Action: send this to the backends of a cell, until they have answered it."""

    cell: CellId
    command: CellCommand
    split: SplitRecord


@dataclass(frozen=True, slots=True)
class CommandDone:
    """Event: the backends of a cell have carried out the command that rests on the entry at `position`.

    `range_bytes` is set for CLOSE: the bytes of the range.
    """

    cell: CellId
    command: CellCommand
    id: str
    position: int
    range_bytes: int = 0


def required_commands(split: SplitRecord) -> tuple[tuple[CellId, CellCommand], ...]:
    """The commands that must be carried out in the state of a split, with their cells."""
    match split.state:
        case State.PLANNED:
            return ()
        case State.COPYING:
            return ((split.source, CellCommand.COPY),)
        case State.CLOSING:
            return ((split.source, CellCommand.CLOSE),)
        case State.HANDED_OVER:
            return ((split.target, CellCommand.OPEN), (split.source, CellCommand.HANDED_OVER))
        case State.CLEARED:
            return ((split.target, CellCommand.OPEN), (split.source, CellCommand.DROP))
        case State.ABANDONED:
            return ((split.source, CellCommand.UNDO), (split.target, CellCommand.UNDO))
