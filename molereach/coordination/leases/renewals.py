"""A lease holder's renewal requests without a grant: which grant renews the session, and from when.

A grant answers one request, by number; it renews from the time of that request and is used once. Numbers are
never repeated within an instance, so a grant that is old, duplicated or for a dropped request finds nothing.
"""

from typing import NamedTuple

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.sessions import RenewalGrant, RenewalRequest

MAX_PENDING_RENEWALS = 16  # requests that are remembered without a grant


class SentRenewal(NamedTuple):
    """A renewal request and when it was made, in microseconds of the holder's clock."""

    sent_at_us: int
    request: RenewalRequest


class PendingRenewals:
    """The unanswered renewal requests of one instance of a node."""

    def __init__(self, instance: NodeInstance) -> None:
        self._instance = instance
        self._number = 0
        self._pending: dict[int, SentRenewal] = {}  # by number, so the oldest is the first

    def create(
        self, now_us: int, fencing_token: int, applied_position: int, clear_position: int
    ) -> RenewalRequest:
        """Make the next request; the oldest is dropped when there are too many."""
        self._number += 1
        request = RenewalRequest(
            self._instance.name,
            self._instance.number,
            fencing_token,
            self._number,
            applied_position,
            max(0, applied_position - clear_position),
        )
        self._pending[request.number] = SentRenewal(now_us, request)
        if len(self._pending) > MAX_PENDING_RENEWALS:
            del self._pending[next(iter(self._pending))]
        return request

    def match_grant(self, grant: RenewalGrant) -> SentRenewal | None:
        """The request that a grant answers, or None; it and all before it are dropped then."""
        if (grant.name, grant.instance_number) != (self._instance.name, self._instance.number):
            return None
        sent = self._pending.get(grant.number)
        if sent is None or sent.request.fencing_token != grant.fencing_token:
            return None
        self._pending = {number: later for number, later in self._pending.items() if number > grant.number}
        return sent

    def clear(self) -> None:
        """Drop all requests, as their session is over; their numbers are not used again all the same."""
        self._pending.clear()
