"""Who accepts: the voters, and how an entry of the log changes them.

The voters of a position follow from the entries before it, so a change is an entry like any other (Lamport,
"Paxos Made Simple", section 3, with a window of one). Successive groups need no voter in common: nothing is
proposed under the new group before a majority of *it* has promised, and a voter at a position has all entries
before it. Sizes stay odd, so the changes are: one voter for another, two more, or two less.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.coordination.interface.identifiers import WireStruct
from molereach.coordination.interface.log import VOTER_COUNTS, Outcome
from molereach.coordination.replicated_log.messages import Voter, Voters

VoterPair = Annotated[tuple[Voter, ...], Meta(min_length=2, max_length=2)]


class VoterChange(WireStruct, frozen=True, tag_field="kind"):
    """The body of an entry of the log's own."""


class ReplaceVoter(VoterChange, frozen=True, tag="replace"):
    """One voter for another: another node, or the same with another disk."""

    removed: Voter = msgspec.field(name="out")
    added: Voter = msgspec.field(name="into")


class AddVoters(VoterChange, frozen=True, tag="grow"):
    """Two more voters."""

    voters: VoterPair = msgspec.field(name="seats")


class RemoveVoters(VoterChange, frozen=True, tag="shrink"):
    """Two voters less."""

    voters: VoterPair = msgspec.field(name="seats")


Change = ReplaceVoter | AddVoters | RemoveVoters
_decoder = msgspec.json.Decoder(Change)


def voters_error(voters: Voters) -> str:
    """What is wrong with a group of voters, in one line; empty for nothing."""
    if len(voters) not in VOTER_COUNTS:
        return f"a panel has {', '.join(map(str, VOTER_COUNTS))} seats, not {len(voters)}"
    if len({voter.name for voter in voters}) < len(voters) or len({voter.disk for voter in voters}) < len(
        voters
    ):
        return "a front door and a disk have one seat each"
    return ""


def apply_change(voters: Voters, body: bytes) -> tuple[Voters, Outcome]:
    """The voters after an entry, and its outcome."""
    try:
        change = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return voters, Outcome("not a change of the panel")
    removed: tuple[Voter, ...]
    new: tuple[Voter, ...]
    match change:
        case ReplaceVoter(out, into):
            removed = (out,)
            new = (into,)
        case AddVoters(voter_disks):
            removed = ()
            new = voter_disks
        case RemoveVoters(voter_disks):
            removed = voter_disks
            new = ()
    if any(voter not in voters for voter in removed):
        return voters, Outcome("no such seat")
    after = tuple(sorted({*(voter for voter in voters if voter not in removed), *new}))
    if len(after) != len(voters) - len(removed) + len(new):
        return voters, Outcome("the seat is taken")
    if error := voters_error(after):
        return voters, Outcome(error)
    return after, Outcome()


def majority(voters: Voters) -> int:
    """How many voters are a majority."""
    return len(voters) // 2 + 1


def voter_of_disk(voters: Voters, disk: str) -> Voter | None:
    """The voter with this disk, or None."""
    return next((voter for voter in voters if voter.disk == disk), None)
