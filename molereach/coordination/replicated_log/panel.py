"""Who accepts: the seats, and how an entry of the log changes them.

The panel of a position is what the entries before it say, so a change is an entry like any other (Lamport,
"Paxos Made Simple", section 3, with a window of one). Panels in turn need no seat in common: nothing is
proposed under the new one before a majority of *it* has promised, and whoever votes at a position has all
entries before it. Sizes stay odd, so the changes are: one seat for another, two more, or two less.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.coordination.interface.identifiers import WireStruct
from molereach.coordination.interface.log import VOTER_COUNTS, Outcome
from molereach.coordination.replicated_log.words import Panel, Seat

Pair = Annotated[tuple[Seat, ...], Meta(min_length=2, max_length=2)]


class PanelChange(WireStruct, frozen=True, tag_field="kind", tag=str.lower):
    """The body of an entry of the log's own (machine "")."""


class Replace(PanelChange, frozen=True):
    """One seat for another: another front door, or the same with another disk."""

    out: Seat
    into: Seat


class Grow(PanelChange, frozen=True):
    seats: Pair


class Shrink(PanelChange, frozen=True):
    seats: Pair


Change = Replace | Grow | Shrink
_decoder = msgspec.json.Decoder(Change)


def check(panel: Panel) -> str:
    """What is wrong with a panel in one line; empty for nothing."""
    if len(panel) not in VOTER_COUNTS:
        return f"a panel has {', '.join(map(str, VOTER_COUNTS))} seats, not {len(panel)}"
    if len({seat.name for seat in panel}) < len(panel) or len({seat.disk for seat in panel}) < len(panel):
        return "a front door and a disk have one seat each"
    return ""


def changed(panel: Panel, body: bytes) -> tuple[Panel, Outcome]:
    """The panel after an entry, and what the entry came to."""
    try:
        change = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return panel, Outcome("not a change of the panel")
    gone: tuple[Seat, ...]
    new: tuple[Seat, ...]
    match change:
        case Replace(out, into):
            gone, new = (out,), (into,)
        case Grow(seats):
            gone, new = (), seats
        case Shrink(seats):
            gone, new = seats, ()
    if any(seat not in panel for seat in gone):
        return panel, Outcome("no such seat")
    after = tuple(sorted({*(seat for seat in panel if seat not in gone), *new}))
    if len(after) != len(panel) - len(gone) + len(new):
        return panel, Outcome("the seat is taken")
    if error := check(after):
        return panel, Outcome(error)
    return after, Outcome()


def majority(panel: Panel) -> int:
    return len(panel) // 2 + 1


def seat_of(panel: Panel, disk: str) -> Seat | None:
    return next((seat for seat in panel if seat.disk == disk), None)
