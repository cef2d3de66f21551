"""Which renewal requests wait for which leadership confirmation.

A confirmed round confirms all rounds sent before it. Source: Ongaro, "Consensus: Bridging Theory and
Practice" (2014), section 6.4: a read is served after a round of heartbeats that began after the read came; so
is a renewal here.
"""

from dataclasses import dataclass

from molereach.coordination.interface.sessions import RenewalRequest

MAX_ROUNDS = 4  # without an answer; the oldest is then dropped, and its holders send their requests anew


@dataclass(frozen=True, slots=True)
class ConfirmationRound:
    """One leadership confirmation under way; `sent_us` is in microseconds of the leader's clock."""

    sent_us: int
    requests: tuple[RenewalRequest, ...]  # received before it was sent, and after the round before


class RenewalConfirmationRounds:
    """The renewal requests of one leader's term, the newest of each node, each bound to the next round."""

    def __init__(self) -> None:
        self._waiting: dict[str, RenewalRequest] = {}
        self._unanswered: dict[int, ConfirmationRound] = {}
        self._token = 0

    def clear(self) -> None:
        """Drop all; tokens go on, so that an answer to an earlier round matches nothing."""
        self._waiting.clear()
        self._unanswered.clear()

    def add(self, request: RenewalRequest) -> None:
        """Let a request wait for the next round, unless a newer one of its node waits already."""
        earlier = self._waiting.get(request.name)
        if (
            earlier is None
            or earlier.fencing_token < request.fencing_token
            or earlier.number < request.number
        ):
            self._waiting[request.name] = request

    def begin(self, now_us: int) -> int:
        """Bind the waiting requests to a new round; returns its token."""
        if len(self._unanswered) >= MAX_ROUNDS:
            del self._unanswered[min(self._unanswered)]
        self._token += 1
        self._unanswered[self._token] = ConfirmationRound(now_us, tuple(self._waiting.values()))
        self._waiting.clear()
        return self._token

    def complete(self, token: int) -> ConfirmationRound | None:
        """The confirmed round with the requests of all rounds up to it; None for an unknown token."""
        if token not in self._unanswered:
            return None
        sent_us = self._unanswered[token].sent_us
        confirmed = [
            self._unanswered.pop(earlier) for earlier in sorted(self._unanswered) if earlier <= token
        ]
        requests = tuple(request for each in confirmed for request in each.requests)
        return ConfirmationRound(sent_us, requests)

    @property
    def has_waiting(self) -> bool:
        """Whether a request waits for a round to begin."""
        return bool(self._waiting)

    @property
    def last_sent_us(self) -> int | None:
        """When the last unanswered round began; None without one."""
        return self._unanswered[max(self._unanswered)].sent_us if self._unanswered else None
