"""Deduplication of proposals by id: each is applied once, however often and by whichever node it was sent.

The log keeps the ids of the newest entries with their outcomes as part of its state, so all nodes treat a
repeated proposal alike. The number of ids is bounded. A request therefore names the position that its
proposer had applied when it first sent the proposal, and the leader ignores a request from before the window
of known ids: a message that was delayed for a long time has no effect a second time. An id that is reused
after the window (4,096 entries) is a new proposal.
"""

from collections.abc import Iterable
from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.coordination.interface.identifiers import Id, Position, WireStruct
from molereach.coordination.interface.log import Entry, Outcome

REPEATED_ERROR = "a repeat of the entry at {}"
REUSED_ERROR = "an id used for something else"


class AppliedProposal(WireStruct, frozen=True):
    """The first entry with an id, and its outcome."""

    id: Id
    machine: Annotated[str, Meta(max_length=64)]
    body_digest: Annotated[bytes, Meta(max_length=16)] = msgspec.field(name="body")  # BLAKE2b
    position: Position
    outcome: Outcome


class DeduplicationTable:
    """The newest applied proposals by id, in the order of their entries."""

    def __init__(self, max_ids: int, proposals: Iterable[AppliedProposal] = (), floor: int = 0) -> None:
        # `floor` is the position of the newest proposal that was dropped.
        self.max_ids = max_ids
        self.floor = floor
        self.proposals = {proposal.id: proposal for proposal in proposals}

    def find(self, entry_id: str) -> AppliedProposal | None:
        """Return the proposal that was applied under an id, or None."""
        return self.proposals.get(entry_id)

    def add(self, entry: Entry, body_digest: bytes, outcome: Outcome) -> None:
        """Record an entry and its outcome; beyond the bound, the oldest ids are dropped."""
        self.proposals[entry.id] = AppliedProposal(
            entry.id, entry.machine, body_digest, entry.position, outcome
        )
        while len(self.proposals) > self.max_ids:
            oldest = next(iter(self.proposals))
            self.floor = self.proposals.pop(oldest).position

    def covers(self, since: int) -> bool:
        """Whether a proposal first sent at this position would be in the table if it had been applied."""
        return since >= self.floor
