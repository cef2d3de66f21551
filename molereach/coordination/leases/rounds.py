"""Assigns renewal requests to the leadership confirmation rounds that they wait for.

A confirmed round also confirms all rounds sent before it. Source: Ongaro, "Consensus: Bridging Theory and
Practice" (2014), section 6.4: a leader serves a read only after a round of heartbeats that began after the
read arrived. A renewal is granted by the same rule.
"""

from dataclasses import dataclass

from molereach.coordination.interface.sessions import RenewalRequest

MAX_UNANSWERED_ROUNDS = 4  # beyond it the oldest is dropped, and its holders repeat their requests


@dataclass(frozen=True, slots=True)
class ConfirmationRound:
    """A leadership confirmation and its requests; `sent_us` is in microseconds of the leader's clock."""

    sent_us: int
    requests: tuple[RenewalRequest, ...]  # received after the previous round began and before this one did


class RenewalConfirmationRounds:
    """The renewal requests of one leader's term: the newest of each node waits for the next round."""

    def __init__(self) -> None:
        self._waiting: dict[str, RenewalRequest] = {}
        self._unanswered: dict[int, ConfirmationRound] = {}
        self._token = 0

    def clear(self) -> None:
        """Drop all rounds and requests; tokens are not reused, so late answers match nothing."""
        self._waiting.clear()
        self._unanswered.clear()

    def add(self, request: RenewalRequest) -> None:
        """Queue a request for the next round, unless a newer one of the same node is already queued."""
        queued = self._waiting.get(request.name)
        if queued is None or queued.fencing_token < request.fencing_token or queued.number < request.number:
            self._waiting[request.name] = request

    def begin(self, now_us: int) -> int:
        """Start a round for the waiting requests; returns the token of the round."""
        if len(self._unanswered) >= MAX_UNANSWERED_ROUNDS:
            del self._unanswered[min(self._unanswered)]
        self._token += 1
        self._unanswered[self._token] = ConfirmationRound(now_us, tuple(self._waiting.values()))
        self._waiting.clear()
        return self._token

    def complete(self, token: int) -> ConfirmationRound | None:
        """Remove the confirmed round and all earlier ones.

        Returns it with the requests of all of them, or None for an unknown token.
        """
        if token not in self._unanswered:
            return None
        sent_us = self._unanswered[token].sent_us
        confirmed = [
            self._unanswered.pop(sent_token) for sent_token in sorted(self._unanswered) if sent_token <= token
        ]
        requests = tuple(request for confirmed_round in confirmed for request in confirmed_round.requests)
        return ConfirmationRound(sent_us, requests)

    @property
    def has_waiting(self) -> bool:
        """Whether a request waits for the next round."""
        return bool(self._waiting)

    @property
    def last_sent_us(self) -> int | None:
        """When the newest unanswered round was sent; None if there is none."""
        return self._unanswered[max(self._unanswered)].sent_us if self._unanswered else None
