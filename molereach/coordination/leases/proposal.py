"""A proposal that is made again, under one id, until it has an answer.

What hangs on when it was made counts from the first time: any of its copies may be the one that is settled.
"""

from dataclasses import dataclass

from molereach.coordination.interface.log import Propose
from molereach.coordination.leases.bodies import MACHINE, Body, encode

WITHIN_BEATS = 4  # after which the log says UNKNOWN


@dataclass(slots=True)
class Proposal:
    """One of the holder's. Times by its own clock."""

    id: str
    body: Body
    first_us: int
    tried_us: int = 0  # when it was made last

    def tell(self, now_us: int, beat_us: int) -> Propose:
        self.tried_us = now_us
        return Propose(MACHINE, self.id, encode(self.body), WITHIN_BEATS * beat_us)
