"""What the servers of a cell are told of a split, and what they say.

Each order carries the position of the entry that it rests on. A server takes an order of a split only with a
higher position than the last it took, so an order of a leader that was stopped, or is none any more, changes
nothing when it comes late; the same again is answered again. Each holds for the earlier ones of its split
that were missed. What a server owes under each:

- COPY, to the old cell: copies the range to the new one, and what is written meanwhile; says COPIED once it
  is no more than a moment behind.
- CLOSE, to the old cell: turns all requests of the range away (`-BUSY`, they never ran); says CLOSED, with
  the bytes of the range, once all that ran before is at the new cell.
- OPEN, to the new cell: takes requests of the range, which it turned away before, and no more copies of it.
- HANDED, to the old cell: a keyed request of the range that was tried before is answered from memory if it
  ran here, and else passed to the new cell, which drops it if it ran there. All others are turned away.
- DROP, to the old cell: forgets the range, and turns all away.
- UNDO, to both: the old cell has the range as before; the new one forgets it.
"""

from dataclasses import dataclass
from enum import Enum

from molereach.shards.map.shard_map import Home
from molereach.shards.splits.record import Record
from molereach.shards.splits.states import State


class Order(Enum):
    COPY = "copy"
    CLOSE = "close"
    OPEN = "open"
    HANDED = "handed"
    DROP = "drop"
    UNDO = "undo"


@dataclass(frozen=True, slots=True)
class Tell:
    """Action: say this to the servers of a cell, until they have answered it."""

    home: Home
    order: Order
    split: Record


@dataclass(frozen=True, slots=True)
class Done:
    """Event: the servers of a cell have done what they were told by the entry at `position`; `moved` is of
    CLOSE, the bytes of the range."""

    home: Home
    order: Order
    id: str
    position: int
    moved: int = 0


def owed(split: Record) -> tuple[tuple[Home, Order], ...]:
    """Which orders a split in this state rests on."""
    match split.state:
        case State.PLANNED:
            return ()
        case State.COPYING:
            return ((split.home, Order.COPY),)
        case State.CLOSING:
            return ((split.home, Order.CLOSE),)
        case State.HANDED:
            return ((split.to, Order.OPEN), (split.home, Order.HANDED))
        case State.CLEARED:
            return ((split.to, Order.OPEN), (split.home, Order.DROP))
        case State.UNDONE:
            return ((split.home, Order.UNDO), (split.to, Order.UNDO))
