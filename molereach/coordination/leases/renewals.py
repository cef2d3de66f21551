"""A lease holder's pending renewal requests, matched with grants by their number.

A grant renews the session from the time at which its request was made, and is used once. Numbers are never
repeated within an instance, so an old grant, a duplicate or one for a dropped request matches nothing.
"""

from typing import NamedTuple

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.sessions import RenewalGrant, RenewalRequest

MAX_PENDING_RENEWALS = 16  # requests without a grant; beyond it the oldest is dropped


class SentRenewal(NamedTuple):
    """A renewal request and when it was made, in microseconds of the holder's clock."""

    sent_at_us: int
    request: RenewalRequest


class PendingRenewals:
    """The unanswered renewal requests of one instance of a node."""

    def __init__(self, instance: NodeInstance) -> None:
        self._instance = instance
        self._number = 0
        self._pending: dict[int, SentRenewal] = {}  # by number in ascending order, so the oldest comes first

    def create(
        self, now_us: int, fencing_token: int, applied_position: int, clear_position: int
    ) -> RenewalRequest:
        """Create the next request; the oldest pending one is dropped when there are too many."""
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
        """The request that a grant answers, or None; a match drops that request and all earlier ones."""
        if (grant.name, grant.instance_number) != (self._instance.name, self._instance.number):
            return None
        sent = self._pending.get(grant.number)
        if sent is None or sent.request.fencing_token != grant.fencing_token:
            return None
        self._pending = {
            number: pending for number, pending in self._pending.items() if number > grant.number
        }
        return sent

    def clear(self) -> None:
        """Drop all requests when their session ends; their numbers are not reused."""
        self._pending.clear()
