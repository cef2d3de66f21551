"""A proposal that is made again, under one id, until it has an answer.

What hangs on when it was made counts from the first time: any of its copies may be the one that is settled.
"""

from dataclasses import dataclass

from molereach.coordination.interface.log import Propose
from molereach.coordination.leases.bodies import MACHINE, Body, encode

PROPOSAL_TIMEOUT_INTERVALS = 4  # after which the log says UNKNOWN


@dataclass(slots=True)
class RetriedProposal:
    """One of the holder's. Times by its own clock."""

    id: str
    body: Body
    first_proposed_us: int
    last_proposed_us: int = 0  # when it was made last

    def propose(self, now_us: int, beat_us: int) -> Propose:
        self.last_proposed_us = now_us
        return Propose(MACHINE, self.id, encode(self.body), PROPOSAL_TIMEOUT_INTERVALS * beat_us)
