"""What one voter has promised and accepted: one value at each position, whoever proposes.

Source: Lamport, "Paxos Made Simple" (2001), sections 2.2 and 3. A promise holds for all positions after
what is decided; what is accepted is one batch, which starts at the first of them. A batch is accepted as a
whole or not at all, and the next leader proposes the highest one as a whole, so entries need not be learned
in batches: of one that was learned in part the rest is still an accepted value. The caller has both on the
disk before it answers, and calls only about the position that follows all it has decided.
"""

from collections.abc import Sequence
from itertools import pairwise

from molereach.coordination.interface.log import Entry
from molereach.coordination.replicated_log.messages import NOBODY, Ballot


class Acceptor:
    """Promise and vote of one disk."""

    def __init__(
        self, promised: Ballot = NOBODY, accepted_at: Ballot = NOBODY, accepted: Sequence[Entry] = ()
    ) -> None:
        self.promised = promised
        self.accepted_at = accepted_at
        self.accepted = tuple(accepted)

    def promise(self, ballot: Ballot) -> bool:
        """Whether it is promised; the same again is. A number is promised once: no two lead with it."""
        if not self.would_promise(ballot):
            return False
        self.promised = ballot
        return True

    def would_promise(self, ballot: Ballot) -> bool:
        """Whether `promise` would accept this ballot; nothing changes."""
        return ballot == self.promised or ballot.number > self.promised.number

    def accept(self, ballot: Ballot, entries: Sequence[Entry]) -> bool:
        """Whether it is accepted. It is a promise as well."""
        if not self.promise(ballot):
            return False
        self.accepted_at = ballot
        self.accepted = tuple(entries)
        return True

    def adopt(self, promised: Ballot, accepted_at: Ballot, accepted: Sequence[Entry]) -> bool:
        """Be no lower than another voter; whether anything was new.

        A vote that was not cast here harms nothing: it was proposed, and it is reported to those who lead
        next only. It is not answered to who proposed it.
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
        """All up to `last` is decided: nothing is open there."""
        self.accepted = undecided_rest(self.accepted, last)
        if not self.accepted:
            self.accepted_at = NOBODY


def undecided_rest(accepted: Sequence[Entry], last: Entry) -> tuple[Entry, ...]:
    """What is still open of an accepted batch when all up to `last` is decided.

    Where another entry was decided at one of its positions, no majority accepted the batch: it is void, and
    what follows may be older than what was decided.
    """
    if any(entry.position == last.position and entry != last for entry in accepted):
        return ()
    return tuple(entry for entry in accepted if entry.position > last.position)


def are_consecutive(entries: Sequence[Entry], after: int) -> bool:
    """Whether they are the positions that follow, without a gap, and times do not go back."""
    if any(entry.position != after + 1 + index for index, entry in enumerate(entries)):
        return False
    return all(entry.at_ms >= before.at_ms for before, entry in pairwise(entries))
