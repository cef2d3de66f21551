"""Which asks and ends wait for which `Confirm`. A round that is confirmed confirms those sent before it.

Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014), section 6.4: a read is served after a round
of heartbeats that began after the read came; so is a renewal here.
"""

from dataclasses import dataclass

from molereach.coordination.leases.words import RenewalRequest

MOST_ROUNDS = 4  # without an answer; the oldest is then forgotten, and its asks are made anew


@dataclass(frozen=True, slots=True)
class Round:
    """One `Confirm` that is out."""

    sent_us: int
    asks: tuple[RenewalRequest, ...]  # that had come before it was sent, and after the one before


class Rounds:
    """The asks of one leader's time, newest by name, each bound to the first round after it."""

    def __init__(self) -> None:
        self._waiting: dict[str, RenewalRequest] = {}
        self._out: dict[int, Round] = {}
        self._token = 0

    def clear(self) -> None:
        """Void all; tokens go on, so that an answer to an earlier one is for nothing."""
        self._waiting.clear()
        self._out.clear()

    def ask(self, ask: RenewalRequest) -> None:
        earlier = self._waiting.get(ask.name)
        if earlier is None or earlier.fencing_token < ask.fencing_token or earlier.number < ask.number:
            self._waiting[ask.name] = ask

    def begin(self, now_us: int) -> int:
        """Bind what waits to a new round; its token."""
        if len(self._out) >= MOST_ROUNDS:
            del self._out[min(self._out)]
        self._token += 1
        self._out[self._token] = Round(now_us, tuple(self._waiting.values()))
        self._waiting.clear()
        return self._token

    def confirmed(self, token: int) -> Round | None:
        """What a round's answer lets pass: its own asks and those of rounds before it."""
        if token not in self._out:
            return None
        sent_us = self._out[token].sent_us
        passed = [self._out.pop(earlier) for earlier in sorted(self._out) if earlier <= token]
        return Round(sent_us, tuple(ask for each in passed for ask in each.asks))

    @property
    def waiting(self) -> bool:
        return bool(self._waiting)

    @property
    def last_us(self) -> int | None:
        """When the last round began that is not answered."""
        return self._out[max(self._out)].sent_us if self._out else None
