"""The Paxos acceptor of one voter: its promise and its vote.

Source: Lamport, "Paxos Made Simple" (2001), sections 2.2 and 3. A promise holds for all undecided positions;
the vote is for one batch, which starts at the first of them. A batch is accepted completely or not at all,
and the next leader proposes the one with the highest ballot completely, so entries may be learned
individually: if only some entries of a batch were learned, the rest is still an accepted value. The caller
writes both to disk before it answers, and calls only for the position after its last decided entry.
"""

from collections.abc import Sequence
from itertools import pairwise

from molereach.coordination.interface.log import Entry
from molereach.coordination.replicated_log.messages import NOBODY, Ballot


class Acceptor:
    """The promise and the vote of one disk."""

    def __init__(
        self, promised: Ballot = NOBODY, accepted_at: Ballot = NOBODY, accepted: Sequence[Entry] = ()
    ) -> None:
        self.promised = promised
        self.accepted_at = accepted_at
        self.accepted = tuple(accepted)

    def promise(self, ballot: Ballot) -> bool:
        """Promise a ballot; return whether it is promised, also where it already was.

        Of two ballots with the same number only one is promised, so at most one of them is elected.
        """
        if not self.would_promise(ballot):
            return False
        self.promised = ballot
        return True

    def would_promise(self, ballot: Ballot) -> bool:
        """Whether `promise` would succeed for this ballot; nothing changes."""
        return ballot == self.promised or ballot.number > self.promised.number

    def accept(self, ballot: Ballot, entries: Sequence[Entry]) -> bool:
        """Accept a batch, which also promises the ballot; return whether it was accepted."""
        if not self.promise(ballot):
            return False
        self.accepted_at = ballot
        self.accepted = tuple(entries)
        return True

    def adopt(self, promised: Ballot, accepted_at: Ballot, accepted: Sequence[Entry]) -> bool:
        """Raise the promise and the vote to those of another voter; return whether either changed.

        Adopting a vote that this voter did not cast is safe: its batch was proposed, and the vote is reported
        only to later candidates, never to the proposer of the batch.
        """
        higher_vote = bool(accepted) and accepted_at > self.accepted_at
        if higher_vote:
            self.accepted_at = accepted_at
            self.accepted = tuple(accepted)
        higher_promise = max(promised, accepted_at) > self.promised
        if higher_promise:
            self.promised = max(promised, accepted_at)
        return higher_vote or higher_promise

    def discard_decided(self, last: Entry) -> None:
        """Drop the accepted entries up to `last`, which are decided."""
        self.accepted = undecided_rest(self.accepted, last)
        if not self.accepted:
            self.accepted_at = NOBODY


def undecided_rest(accepted: Sequence[Entry], last: Entry) -> tuple[Entry, ...]:
    """Return the undecided rest of an accepted batch when all entries up to `last` are decided.

    If another entry was decided at one of its positions, no majority accepted the batch. It is void, as its
    rest may be older than the decided entries.
    """
    if any(entry.position == last.position and entry != last for entry in accepted):
        return ()
    return tuple(entry for entry in accepted if entry.position > last.position)


def are_consecutive(entries: Sequence[Entry], after: int) -> bool:
    """Whether the entries follow position `after` without a gap, and their times do not decrease."""
    if any(entry.position != after + 1 + index for index, entry in enumerate(entries)):
        return False
    return all(entry.at_ms >= before.at_ms for before, entry in pairwise(entries))
