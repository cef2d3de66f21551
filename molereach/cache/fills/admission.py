"""Whether an answer may be stored: not if its member was purged since its request was sent.

The ticket is taken before the request is sent and checked when the answer arrives. That holds for any pause
of the process in between: purges that it has not received yet are applied before any reading is shown, and
then invalidate the reading. Requests that wait do not share one answer: a later request would get data that
was read before it was made. Source: Nishtala et al., "Scaling Memcache at Facebook" (NSDI 2013), section
3.2.1, the lease that a delete invalidates.
"""

from enum import Enum

from molereach.cache.fills.ticket import Ticket
from molereach.cache.readings.marks import Marks
from molereach.cache.readings.reading import Reading
from molereach.cache.readings.settings import MAX_REQUEST_BYTES
from molereach.cache.readings.store import Store


class FillResult(Enum):
    """What became of an answer."""

    STORED = "kept"
    PURGED = "purged"  # its member was purged since its request was sent
    NOT_STORED = "not kept"  # too large, expired, or older than the stored reading


class FillAdmission:
    """Issues tickets and checks answers against them; keeps neither."""

    def __init__(self, store: Store, marks: Marks) -> None:
        self.store, self.marks = store, marks
        self.result_counts = dict.fromkeys(FillResult, 0)  # since the start

    def begin(
        self, now_us: int, member: str, class_name: str, request: bytes, applied_position: int
    ) -> Ticket | None:
        """Called before the request is sent; None if its answer is not to be stored.

        The log is applied here up to `applied_position`.
        """
        if class_name not in self.store.settings.ages_us or len(request) > MAX_REQUEST_BYTES:
            return None
        return Ticket(member, class_name, request, now_us, applied_position)

    def finish(self, now_us: int, ticket: Ticket, value: bytes) -> FillResult:
        """Called when the answer has arrived; stores it if it is admitted."""
        result = self._admit(now_us, ticket, value)
        self.result_counts[result] += 1
        return result

    def _admit(self, now_us: int, ticket: Ticket, value: bytes) -> FillResult:
        if ticket.applied_position < self.marks.newest_position(ticket.member, ticket.class_name):
            return FillResult.PURGED
        reading = Reading(
            ticket.member, ticket.class_name, ticket.request, value, ticket.sent_us, ticket.applied_position
        )
        return FillResult.STORED if self.store.put(now_us, reading) else FillResult.NOT_STORED
