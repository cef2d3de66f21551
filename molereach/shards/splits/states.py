"""The states of a split and the allowed transitions; all others are rejected.

Until the hand-over a split can be abandoned: the map has not changed, and the source cell has all writes.
After it the split can only go on, and the source cell remembers the range's keyed requests until no front
door sends any there. Between closing and hand-over the source cell rejects the range's requests while its
last writes are copied, before any front door may send to the target cell; this lasts only briefly.
"""

from enum import Enum


class State(Enum):
    """The state of a split."""

    PLANNED = "planned"
    COPYING = "copying"  # the coming map is known; the source cell still serves all, and copies the range
    CLOSING = "closing"  # the source cell rejects the range's requests
    HANDED_OVER = "handed"  # the target cell has the range, by the next version of the map
    CLEARED = "cleared"  # the source cell has deleted the range
    ABANDONED = "undone"  # before the hand-over


class Step(Enum):
    """A step that leads from one state to another."""

    COPY = "copy"
    CLOSE = "close"
    HAND_OVER = "hand"
    CLEAR = "clear"
    ABANDON = "give up"


TRANSITIONS: dict[tuple[State, Step], State] = {
    (State.PLANNED, Step.COPY): State.COPYING,
    (State.COPYING, Step.CLOSE): State.CLOSING,
    (State.CLOSING, Step.HAND_OVER): State.HANDED_OVER,
    (State.HANDED_OVER, Step.CLEAR): State.CLEARED,
    (State.PLANNED, Step.ABANDON): State.ABANDONED,
    (State.COPYING, Step.ABANDON): State.ABANDONED,
    (State.CLOSING, Step.ABANDON): State.ABANDONED,
}
FINAL = frozenset({State.CLEARED, State.ABANDONED})
IN_PROGRESS = frozenset({State.COPYING, State.CLOSING, State.HANDED_OVER})  # upkeep leaves both cells alone
BEFORE_HAND_OVER = frozenset({State.PLANNED, State.COPYING, State.CLOSING})
