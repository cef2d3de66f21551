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
from molereach.coordination.replicated_log.messages import Voter, Voters

VoterPair = Annotated[tuple[Voter, ...], Meta(min_length=2, max_length=2)]


class VoterChange(WireStruct, frozen=True, tag_field="kind"):
    """The body of an entry of the log's own (machine "")."""


class ReplaceVoter(VoterChange, frozen=True, tag="replace"):
    """One seat for another: another front door, or the same with another disk."""

    removed: Voter = msgspec.field(name="out")
    added: Voter = msgspec.field(name="into")


class AddVoters(VoterChange, frozen=True, tag="grow"):
    voters: VoterPair = msgspec.field(name="seats")


class RemoveVoters(VoterChange, frozen=True, tag="shrink"):
    voters: VoterPair = msgspec.field(name="seats")


Change = ReplaceVoter | AddVoters | RemoveVoters
_decoder = msgspec.json.Decoder(Change)


def voters_error(panel: Voters) -> str:
    """What is wrong with a panel in one line; empty for nothing."""
    if len(panel) not in VOTER_COUNTS:
        return f"a panel has {', '.join(map(str, VOTER_COUNTS))} seats, not {len(panel)}"
    if len({seat.name for seat in panel}) < len(panel) or len({seat.disk for seat in panel}) < len(panel):
        return "a front door and a disk have one seat each"
    return ""


def apply_change(panel: Voters, body: bytes) -> tuple[Voters, Outcome]:
    """The panel after an entry, and what the entry came to."""
    try:
        change = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return panel, Outcome("not a change of the panel")
    gone: tuple[Voter, ...]
    new: tuple[Voter, ...]
    match change:
        case ReplaceVoter(out, into):
            gone, new = (out,), (into,)
        case AddVoters(seats):
            gone, new = (), seats
        case RemoveVoters(seats):
            gone, new = seats, ()
    if any(seat not in panel for seat in gone):
        return panel, Outcome("no such seat")
    after = tuple(sorted({*(seat for seat in panel if seat not in gone), *new}))
    if len(after) != len(panel) - len(gone) + len(new):
        return panel, Outcome("the seat is taken")
    if error := voters_error(after):
        return panel, Outcome(error)
    return after, Outcome()


def majority(panel: Voters) -> int:
    return len(panel) // 2 + 1


def voter_of_disk(panel: Voters, disk: str) -> Voter | None:
    return next((seat for seat in panel if seat.disk == disk), None)
