"""Whether an answer on its way may be kept: not if its member was purged since its request was sent.

The ticket is taken before the request leaves, and compared when the answer comes, however long this process
was stopped between: purges that it has not heard of yet are applied before anything is answered from memory,
and forbid the reading then. Answers are not shared among requests that wait: who asks later would get what
was read before it asked. Source: Nishtala et al., "Scaling Memcache at Facebook" (NSDI 2013), section 3.2.1,
the lease that a delete voids.
"""

from enum import Enum

from molereach.cache.fills.ticket import Ticket
from molereach.cache.readings.marks import Marks
from molereach.cache.readings.reading import Reading
from molereach.cache.readings.settings import MOST_ASKED_BYTES
from molereach.cache.readings.store import Store


class Fate(Enum):
    """What became of an answer."""

    KEPT = "kept"
    PURGED = "purged"  # its member was purged since its request was sent
    NOT_KEPT = "not kept"  # too large, too old, or a later one is here


class Fills:
    """Takes tickets and answers; keeps nothing of its own."""

    def __init__(self, store: Store, marks: Marks) -> None:
        self.store, self.marks = store, marks
        self.fates = dict.fromkeys(Fate, 0)  # since the start

    def begin(self, now_us: int, member: str, class_name: str, asked: bytes, applied: int) -> Ticket | None:
        """Before the request is sent, with the log applied up to `applied`; None where its answer is not to
        be kept."""
        if class_name not in self.store.settings.ages_us or len(asked) > MOST_ASKED_BYTES:
            return None
        return Ticket(member, class_name, asked, now_us, applied)

    def end(self, now_us: int, ticket: Ticket, value: bytes) -> Fate:
        """Its answer came: kept or not."""
        fate = self._judge(now_us, ticket, value)
        self.fates[fate] += 1
        return fate

    def _judge(self, now_us: int, ticket: Ticket, value: bytes) -> Fate:
        if ticket.applied < self.marks.newest(ticket.member, ticket.class_name):
            return Fate.PURGED
        reading = Reading(
            ticket.member, ticket.class_name, ticket.asked, value, ticket.sent_us, ticket.applied
        )
        return Fate.KEPT if self.store.put(now_us, reading) else Fate.NOT_KEPT
