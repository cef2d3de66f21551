"""The voters, which are the acceptors of the log, and the entries that change them.

The voters of a position are determined by the entries before it, so a change is an entry like any other
(Lamport, "Paxos Made Simple", section 3, with a window of one). Successive groups of voters need not overlap:
nothing is proposed to the new group before a majority of *it* has promised, and a voter at a position has all
entries before it. The number of voters stays odd, so a change replaces one voter, adds two or removes two.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.coordination.interface.identifiers import WireStruct
from molereach.coordination.interface.log import VOTER_COUNTS, Outcome
from molereach.coordination.replicated_log.messages import Voter, Voters

VoterPair = Annotated[tuple[Voter, ...], Meta(min_length=2, max_length=2)]


class VoterChange(WireStruct, frozen=True, tag_field="kind"):
    """Base class of the bodies of entries that change the voters."""


class ReplaceVoter(VoterChange, frozen=True, tag="replace"):
    """Replaces a voter by another node, or by the same node with another disk."""

    removed: Voter = msgspec.field(name="out")
    added: Voter = msgspec.field(name="into")


class AddVoters(VoterChange, frozen=True, tag="grow"):
    """Adds two voters."""

    voters: VoterPair = msgspec.field(name="seats")


class RemoveVoters(VoterChange, frozen=True, tag="shrink"):
    """Removes two voters."""

    voters: VoterPair = msgspec.field(name="seats")


Change = ReplaceVoter | AddVoters | RemoveVoters
_decoder = msgspec.json.Decoder(Change)


def voters_error(voters: Voters) -> str:
    """Return why a group of voters is invalid, in one line, or an empty string if it is valid."""
    if len(voters) not in VOTER_COUNTS:
        return f"a panel has {', '.join(map(str, VOTER_COUNTS))} seats, not {len(voters)}"
    if len({voter.name for voter in voters}) < len(voters) or len({voter.disk for voter in voters}) < len(
        voters
    ):
        return "a front door and a disk have one seat each"
    return ""


def apply_change(voters: Voters, body: bytes) -> tuple[Voters, Outcome]:
    """Return the voters after an entry with this body, and the outcome of the entry."""
    try:
        change = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return voters, Outcome("not a change of the panel")
    removed: tuple[Voter, ...]
    added: tuple[Voter, ...]
    match change:
        case ReplaceVoter(removed_voter, added_voter):
            removed = (removed_voter,)
            added = (added_voter,)
        case AddVoters(voter_pair):
            removed = ()
            added = voter_pair
        case RemoveVoters(voter_pair):
            removed = voter_pair
            added = ()
    if any(voter not in voters for voter in removed):
        return voters, Outcome("no such seat")
    new_voters = tuple(sorted({*(voter for voter in voters if voter not in removed), *added}))
    if len(new_voters) != len(voters) - len(removed) + len(added):
        return voters, Outcome("the seat is taken")
    if error := voters_error(new_voters):
        return voters, Outcome(error)
    return new_voters, Outcome()


def majority(voters: Voters) -> int:
    """Return the number of voters in a majority."""
    return len(voters) // 2 + 1


def voter_of_disk(voters: Voters, disk: str) -> Voter | None:
    """Return the voter with this disk, or None."""
    return next((voter for voter in voters if voter.disk == disk), None)
