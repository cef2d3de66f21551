"""What the decision module may be handed of readings: a text that its interface can take over as it stands.

Nothing here decides: whether a reading is shown, what that counts and who is turned away stays with the
decisions. The front door's shell keeps to the rules of writing that are stated with `still`.
"""

from typing import Protocol


class Shown(Protocol):
    """A reading on its way to a client."""

    @property
    def value(self) -> bytes: ...

    def age_us(self, now_us: int) -> int:
        """For the client, who is told the age with the answer."""

    def still(self, now_us: int) -> bool:
        """Whether it may be written now. The shell asks twice: when the decision is carried out, and right
        before the write, each time with the clock read just then and nothing waited for since.

        The write is whole or cut: only on a connection whose turn it is (no earlier command waits for its
        answer) and whose write buffer is empty; if any of it is left in the buffer after the write, the
        connection is aborted, as what is left would go out later and unasked. A class that is kept is safe to
        repeat, so the client loses a try and no more. Where it says no, the request goes on as if nothing had
        been at hand: `ReadingGone` to the decisions, which send it to a server in what is left of its time.
        """


class Readings(Protocol):
    """Readings at hand at this gateway; a core without I/O. Without one, every request goes to a server.

    What the decisions settle, for each request whose class is kept (named in the operator file, and of
    `Effect.SAFE`):

    - Whether a hit is used. `at_hand` says only that it may be. A request that is a repeat because its client
      doubts the answer, or that asks for what is new, is the decisions' to send on. With a hit used, the
      action is `Show(id)` in place of `Send`, and no attempt is out.
    - What it counts. A hit takes no server: it is no part of the cap, of `accepted`, of the retries, nor of
      any server's figures, and takes nothing of a ceiling, which guards servers. It is still a request of its
      customer: it takes its units of the quota, as a quota is sold by requests, and its worth is that of an
      answer. Units are taken once: if the hit is gone at the write, the request goes on with what it has.
    - Who is turned away. One that its quota refuses is refused with a reading at hand too, or memory would be
      a way round a quota. One that the cap or the ceiling would hold or refuse is shown the reading instead:
      that is what it is good for in a jam. Age counts against nothing: it is bounded for each class.

    An answer may be kept when the attempt ended `Result.OK` with its whole value, and it was the request's
    first such answer; a spoilt or streamed one never is.
    """

    def at_hand(self, now_us: int, customer: str, class_index: int, request_id: str) -> int | None:
        """The age (us) of a reading that this request may be shown now, None for none. It only reads; the
        answer is good for this event alone."""
