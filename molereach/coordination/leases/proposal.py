"""A proposal that is repeated under the same id until its result is known.

A duration that starts with the proposal counts from the first attempt, because any attempt may be the one
that is chosen.
"""

from dataclasses import dataclass

from molereach.coordination.interface.log import Propose
from molereach.coordination.leases.bodies import MACHINE, Body, encode

PROPOSAL_TIMEOUT_INTERVALS = 4  # renewal intervals until the log reports UNKNOWN


@dataclass(slots=True)
class RetriedProposal:
    """A proposal of a lease holder. Times are in microseconds of the holder's clock."""

    id: str
    body: Body
    first_proposed_us: int
    last_proposed_us: int = 0

    def propose(self, now_us: int, renewal_interval_us: int) -> Propose:
        """Return the event that makes the proposal, as a first attempt or a repetition."""
        self.last_proposed_us = now_us
        timeout_us = PROPOSAL_TIMEOUT_INTERVALS * renewal_interval_us
        return Propose(MACHINE, self.id, encode(self.body), timeout_us)
