"""The cache as the decision module sees it: protocols that its own interface can take over unchanged.

Nothing here decides: whether a reading is shown, what a hit counts and which requests are turned away stays
with the decisions. The front door's I/O shell follows the rules for writing that `ReadingHit.is_usable`
states.
"""

from typing import Protocol


class ReadingHit(Protocol):
    """A cached reading on its way to a client."""

    @property
    def value(self) -> bytes:
        """The answer's bytes."""
        ...

    def age_us(self, now_us: int) -> int:
        """The age that the client is told with the answer."""

    def is_usable(self, now_us: int) -> bool:
        """Whether the reading may be written now.

        The shell asks twice: when it carries out the decision, and right before the write, each time with the
        clock read just then and without waiting in between.

        The write is all or nothing: it happens only on a connection whose turn it is (no earlier command
        waits for its answer) and whose write buffer is empty, and the connection is aborted if any of the
        value stays in the buffer, as the rest would be sent later without a check. Only classes that are safe
        to repeat are cached, so the client loses one attempt and no more.

        Where the answer is no, the request goes on as if there had been no reading: the decisions get
        `ReadingGone` and send it to a server in what is left of its time.
        """


class ReadingCache(Protocol):
    """The usable readings at this gateway; a core without I/O. Without one, every request goes to a server.

    The decisions settle, for each request whose class is cached (named in the operator file, and of
    `Effect.SAFE`):

    - Whether a hit is used. `usable_age_us` only permits it. The decisions send a request to a server if it
      is a repeat because its client doubts the answer, or if it asks for fresh data. Where a hit is used, the
      action is `Show(id)` in place of `Send`, and no attempt is under way.
    - What it counts. A hit takes no server: it counts neither towards the cap, `accepted` and the retries nor
      in any server's figures, and takes nothing of a ceiling, which protects servers. It is still a request
      of its customer: it takes its units of the quota, as a quota is sold by requests, and has the value of
      an answer. Units are taken once: if the hit is no longer usable at the write, the request goes on with
      those that it has.
    - Who is turned away. A request that its quota refuses is refused even if there is a reading, or the cache
      would be a way round a quota. A request that the cap or the ceiling would hold or refuse is shown the
      reading instead, so that the cache relieves servers under overload. A reading's age is no reason to
      refuse it: the age is bounded for each class.

    An answer may be cached if the attempt ended `Result.OK` with its whole value, and it was the request's
    first such answer; a corrupt or streamed answer never is.
    """

    def usable_age_us(self, now_us: int, customer: str, class_index: int, request_id: str) -> int | None:
        """The age of a reading that this request may be shown now; None if there is none.

        The call changes nothing. Its result holds for this event alone.
        """
