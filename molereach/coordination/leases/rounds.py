"""Which asks and ends wait for which `Confirm`. A round that is confirmed confirms those sent before it.

Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014), section 6.4: a read is served after a round
of heartbeats that began after the read came; so is a renewal here.
"""

from dataclasses import dataclass

from molereach.coordination.interface.sessions import RenewalRequest

MAX_ROUNDS = 4  # without an answer; the oldest is then forgotten, and its asks are made anew


@dataclass(frozen=True, slots=True)
class ConfirmationRound:
    """One `Confirm` that is out."""

    sent_us: int
    requests: tuple[RenewalRequest, ...]  # that had come before it was sent, and after the one before


class ConfirmationRounds:
    """The asks of one leader's time, newest by name, each bound to the first round after it."""

    def __init__(self) -> None:
        self._waiting: dict[str, RenewalRequest] = {}
        self._unanswered: dict[int, ConfirmationRound] = {}
        self._token = 0

    def clear(self) -> None:
        """Void all; tokens go on, so that an answer to an earlier one is for nothing."""
        self._waiting.clear()
        self._unanswered.clear()

    def add(self, ask: RenewalRequest) -> None:
        earlier = self._waiting.get(ask.name)
        if earlier is None or earlier.fencing_token < ask.fencing_token or earlier.number < ask.number:
            self._waiting[ask.name] = ask

    def begin(self, now_us: int) -> int:
        """Bind what waits to a new round; its token."""
        if len(self._unanswered) >= MAX_ROUNDS:
            del self._unanswered[min(self._unanswered)]
        self._token += 1
        self._unanswered[self._token] = ConfirmationRound(now_us, tuple(self._waiting.values()))
        self._waiting.clear()
        return self._token

    def complete(self, token: int) -> ConfirmationRound | None:
        """What a round's answer lets pass: its own asks and those of rounds before it."""
        if token not in self._unanswered:
            return None
        sent_us = self._unanswered[token].sent_us
        passed = [self._unanswered.pop(earlier) for earlier in sorted(self._unanswered) if earlier <= token]
        return ConfirmationRound(sent_us, tuple(ask for each in passed for ask in each.requests))

    @property
    def has_waiting(self) -> bool:
        return bool(self._waiting)

    @property
    def last_sent_us(self) -> int | None:
        """When the last round began that is not answered."""
        return self._unanswered[max(self._unanswered)].sent_us if self._unanswered else None
