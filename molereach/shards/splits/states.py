"""The way of a split, as a table. What is not in it is refused.

Up to the hand-over it can be given up; the map has not changed, and the old cell has all that was written.
After it there is no way back, only on: the old cell keeps the range's memory of keyed requests until no
front door sends any there. The closing is short: the old cell turns the range's requests away, and the last
of its writes are copied, before any front door may send to the new cell.
"""

from enum import Enum


class State(Enum):
    PLANNED = "planned"
    COPYING = "copying"  # the coming map is known; all goes to the old cell, and what it writes is copied
    CLOSING = "closing"  # the old cell takes nothing of the range any more
    HANDED = "handed"  # the new cell has the range, by the map's next version
    CLEARED = "cleared"  # the old cell has forgotten the range
    UNDONE = "undone"  # given up before the hand-over


class Step(Enum):
    COPY = "copy"
    CLOSE = "close"
    HAND = "hand"
    CLEAR = "clear"
    GIVE_UP = "give up"


TABLE: dict[tuple[State, Step], State] = {
    (State.PLANNED, Step.COPY): State.COPYING,
    (State.COPYING, Step.CLOSE): State.CLOSING,
    (State.CLOSING, Step.HAND): State.HANDED,
    (State.HANDED, Step.CLEAR): State.CLEARED,
    (State.PLANNED, Step.GIVE_UP): State.UNDONE,
    (State.COPYING, Step.GIVE_UP): State.UNDONE,
    (State.CLOSING, Step.GIVE_UP): State.UNDONE,
}
FINAL = frozenset({State.CLEARED, State.UNDONE})
AT_WORK = frozenset({State.COPYING, State.CLOSING, State.HANDED})  # upkeep leaves both cells alone
BEFORE = frozenset({State.PLANNED, State.COPYING, State.CLOSING})  # the hand-over
