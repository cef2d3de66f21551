"""When a position had been applied, at the latest, by the times of entries: some marks, thinned out.

An entry's time is never lower than that of one before. So what was settled before a mark was settled by its
time.
"""

from typing import Annotated

from msgspec import Meta

from molereach.coordination.interface.identifiers import Position, WireStruct
from molereach.upkeep.requests.work_item import Ms

MOST_MARKS = 32
SPACES = 16  # into which the time that is waited for is cut


class Mark(WireStruct, frozen=True, array_like=True):
    """An entry of this machine."""

    position: Position
    at_ms: Ms


Marks = Annotated[tuple[Mark, ...], Meta(max_length=MOST_MARKS)]


def marked(marks: tuple[Mark, ...], position: int, at_ms: int, wait_ms: int) -> tuple[Mark, ...]:
    if marks and at_ms < marks[-1].at_ms + max(1, wait_ms // SPACES):
        return marks
    return (*marks, Mark(position, at_ms))[-MOST_MARKS:]


def waited(marks: tuple[Mark, ...], position: int, at_ms: int, wait_ms: int) -> bool:
    """Whether what was settled at `position` is surely `wait_ms` old; also where the marks do not go that
    far back."""
    first = next((mark for mark in marks if mark.position > position), None)
    return first is not None and at_ms - first.at_ms >= wait_ms
