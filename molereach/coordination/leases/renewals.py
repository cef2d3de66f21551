"""A holder's asks that have no grant yet: which grant renews, and from when.

A grant is for one ask, by its number; it renews from the time of that ask and is used once. Numbers are never
used again within a life, so a grant that is old, doubled or for an ask that was forgotten finds nothing.
"""

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.sessions import RenewalGrant, RenewalRequest

MAX_PENDING_RENEWALS = 16  # remembered without a grant


class PendingRenewals:
    """The asks of one front door's one life."""

    def __init__(self, life: NodeInstance) -> None:
        self._incarnation = life
        self._number = 0
        self._pending: dict[
            int, tuple[int, RenewalRequest]
        ] = {}  # when it was made; by number, so the oldest is the first

    def create(self, now_us: int, fence: int, applied: int, clear: int) -> RenewalRequest:
        """Make the next ask; the oldest is forgotten when there are too many."""
        self._number += 1
        ask = RenewalRequest(
            self._incarnation.name,
            self._incarnation.number,
            fence,
            self._number,
            applied,
            max(0, applied - clear),
        )
        self._pending[ask.number] = now_us, ask
        if len(self._pending) > MAX_PENDING_RENEWALS:
            del self._pending[next(iter(self._pending))]
        return ask

    def match_grant(self, grant: RenewalGrant) -> tuple[int, RenewalRequest] | None:
        """When the ask was made that this grant is for; it and all before it are then forgotten."""
        if (grant.name, grant.instance_number) != (
            self._incarnation.name,
            self._incarnation.number,
        ) or grant.number not in self._pending:
            return None
        made_us, ask = self._pending[grant.number]
        if ask.fencing_token != grant.fencing_token:
            return None
        self._pending = {number: made for number, made in self._pending.items() if number > grant.number}
        return made_us, ask

    def clear(self) -> None:
        """Of a session that is over; its numbers are not used again all the same."""
        self._pending.clear()
