"""Bounds the time at which a log position was applied, by a sparse list of positions and entry times.

The time of entries never decreases. A position before a mark was therefore applied at the time of the mark or
earlier.
"""

from typing import Annotated

from msgspec import Meta

from molereach.coordination.interface.identifiers import Position, WireStruct
from molereach.upkeep.requests.work_item import TimestampMs

MAX_MARKS = 32
MARKS_PER_WAIT = 16  # how many marks cover the wait


class TimeMark(WireStruct, frozen=True, array_like=True):
    """The position and time of an entry of this state machine."""

    position: Position
    at_ms: TimestampMs


TimeMarks = Annotated[tuple[TimeMark, ...], Meta(max_length=MAX_MARKS)]


def add_mark(marks: tuple[TimeMark, ...], position: int, at_ms: int, wait_ms: int) -> tuple[TimeMark, ...]:
    """Appends a mark, unless the last one is too recent."""
    if marks and at_ms < marks[-1].at_ms + max(1, wait_ms // MARKS_PER_WAIT):
        return marks
    return (*marks, TimeMark(position, at_ms))[-MAX_MARKS:]


def wait_elapsed(marks: tuple[TimeMark, ...], position: int, at_ms: int, wait_ms: int) -> bool:
    """Whether the entry at `position` is certainly `wait_ms` old, even if it precedes the first mark."""
    first = next((mark for mark in marks if mark.position > position), None)
    return first is not None and at_ms - first.at_ms >= wait_ms
