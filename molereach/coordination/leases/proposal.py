"""A proposal that is repeated under one id until it has a result.

Whatever depends on when it was made counts from the first time, as any of its copies may be the chosen one.
"""

from dataclasses import dataclass

from molereach.coordination.interface.log import Propose
from molereach.coordination.leases.bodies import MACHINE, Body, encode

PROPOSAL_TIMEOUT_INTERVALS = 4  # renewal intervals after which the log reports UNKNOWN


@dataclass(slots=True)
class RetriedProposal:
    """A lease holder's proposal. Times are microseconds of the holder's clock."""

    id: str
    body: Body
    first_proposed_us: int
    last_proposed_us: int = 0

    def propose(self, now_us: int, renewal_interval_us: int) -> Propose:
        """The event that proposes it, for the first time or once more."""
        self.last_proposed_us = now_us
        timeout_us = PROPOSAL_TIMEOUT_INTERVALS * renewal_interval_us
        return Propose(MACHINE, self.id, encode(self.body), timeout_us)
