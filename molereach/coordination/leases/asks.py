"""A holder's asks that have no grant yet: which grant renews, and from when.

A grant is for one ask, by its number; it renews from the time of that ask and is used once. Numbers are never
used again within a life, so a grant that is old, doubled or for an ask that was forgotten finds nothing.
"""

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.leases.words import RenewalGrant, RenewalRequest

MOST_ASKS = 16  # remembered without a grant


class Asks:
    """The asks of one front door's one life."""

    def __init__(self, life: NodeInstance) -> None:
        self._life = life
        self._number = 0
        self._open: dict[
            int, tuple[int, RenewalRequest]
        ] = {}  # when it was made; by number, so the oldest is the first

    def make(self, now_us: int, fence: int, applied: int, clear: int) -> RenewalRequest:
        """Make the next ask; the oldest is forgotten when there are too many."""
        self._number += 1
        ask = RenewalRequest(
            self._life.name, self._life.number, fence, self._number, applied, max(0, applied - clear)
        )
        self._open[ask.number] = now_us, ask
        if len(self._open) > MOST_ASKS:
            del self._open[next(iter(self._open))]
        return ask

    def granted(self, grant: RenewalGrant) -> tuple[int, RenewalRequest] | None:
        """When the ask was made that this grant is for; it and all before it are then forgotten."""
        if (grant.name, grant.instance_number) != (
            self._life.name,
            self._life.number,
        ) or grant.number not in self._open:
            return None
        made_us, ask = self._open[grant.number]
        if ask.fencing_token != grant.fencing_token:
            return None
        self._open = {number: made for number, made in self._open.items() if number > grant.number}
        return made_us, ask

    def forget(self) -> None:
        """Of a session that is over; its numbers are not used again all the same."""
        self._open.clear()
