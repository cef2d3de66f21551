"""Each proposal is applied once, however often it was sent and by whom.

The log keeps the ids of the newest entries with their outcomes as part of its state, so all nodes judge a
repeat alike. Their number is bounded, so an id that has dropped out is unknown. Therefore a request says what
its proposer had applied when it first sent it, and the leader rejects one from before the window: a message
that was delayed for long has no effect a second time. An id that its owner reuses after the window (4,096
entries) is a new proposal.
"""

from collections.abc import Iterable
from typing import Annotated

from msgspec import Meta

from molereach.coordination.interface.identifiers import Id, Position, WireStruct
from molereach.coordination.interface.log import Entry, Outcome

REPEATED_ERROR = "a repeat of the entry at {}"
REUSED_ERROR = "an id used for something else"


class AppliedProposal(WireStruct, frozen=True):
    """What the first entry with an id came to."""

    id: Id
    machine: Annotated[str, Meta(max_length=64)]
    body: Annotated[bytes, Meta(max_length=16)]  # its BLAKE2b
    position: Position
    outcome: Outcome


class DeduplicationTable:
    """The newest ids, in the order of their entries."""

    def __init__(self, max_ids: int, done: Iterable[AppliedProposal] = (), floor: int = 0) -> None:
        # `floor`: the position of the newest that was dropped
        self.max_ids = max_ids
        self.floor = floor
        self.proposals = {each.id: each for each in done}

    def find(self, entry_id: str) -> AppliedProposal | None:
        """The proposal that was applied under an id, or None."""
        return self.proposals.get(entry_id)

    def add(self, entry: Entry, body: bytes, outcome: Outcome) -> None:
        """Remember an entry and its outcome; the oldest ids drop out."""
        self.proposals[entry.id] = AppliedProposal(entry.id, entry.machine, body, entry.position, outcome)
        while len(self.proposals) > self.max_ids:
            oldest = next(iter(self.proposals))
            self.floor = self.proposals.pop(oldest).position

    def covers(self, since: int) -> bool:
        """Whether a proposal first sent at this position would be in the table, had it been applied."""
        return since >= self.floor
