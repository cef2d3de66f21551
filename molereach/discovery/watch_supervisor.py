"""Which calls to discovery are out, which of them have failed, and when the next one is due: a core.

Discovery gives a sign of life every 2 s, and what it has to tell counts as told 6 s after a watch has fallen
silent. A call to an agent on the own machine costs nothing: its watch is given up when it has missed one sign
and half of the time to the next, which leaves 3 s for a dial that hangs for its full second and for one more.
Where the list must be asked for, a call costs discovery work, and none is made on a guess: two signs must be
missed, and half a second more, which leaves time for one dial that hangs.

Where the address is an agent on the own machine, it answers at once and at no cost; only while discovery is
down it is silent, and what it gets when that returns counts at that moment. Then nobody can know whether a
call that was made meanwhile will be answered or has been forgotten. So a call that has no answer yet is left
open for a while, as it may be the one that is answered, and every half second another is made beside it (a
hedged request: Dean and Barroso, The Tail at Scale, 2013), two at most; the first that says anything is kept,
and the other is closed. A slow answer comes by the elder one.

Where the list must be asked for, calls cost discovery work and may wait in its line, and a change still
counts as told 6 s after discovery could be reached. A call proves that it could not be reached only for
the moment at which it was made; so another is due `CALL_BY_S` after that, whether it was refused, forgotten
or trickles. The elder one stays meanwhile: its place in the line is the better one, and a tier whose calls
are given up and made again before their turn comes fills the line with calls that nobody waits for.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from molereach.discovery.poll_backoff import (
    HUNG_CONNECT_S,
    NOTIFICATION_LIMIT_S,
    POLL_INTERVAL_LIMIT_S,
    RECONNECT_MARGIN_S,
    RESPONSE_TIME_S,
    PollBackoff,
)

HEARTBEAT_INTERVAL_S = 2.0  # discovery's sign of life, an empty line while nothing changes
AGENT_SILENCE_TIMEOUT_S = (
    1.5 * HEARTBEAT_INTERVAL_S
)  # an answer of an agent that brings no byte for so long is dead
POLLED_SILENCE_TIMEOUT_S = 2 * HEARTBEAT_INTERVAL_S + 0.5  # one of a discovery that must be asked
AGENT_OBJECT_TIMEOUT_S = 5.0  # and so is one that brings bytes, but neither an object nor an empty line
AGENT_RESPONSE_TIMEOUT_S = 5.0  # how long a call may wait for its answer to begin
POLLED_RESPONSE_TIMEOUT_S = 30.0  # in the line of a discovery that must be asked, with another beside it
AGENT_HEDGE_DELAY_S = 0.5  # after a call that is still without an answer
MAX_OPEN_ATTEMPTS = 2  # calls at a time


@dataclass(slots=True)
class WatchAttempt:
    """A call that is out, by the times in seconds at which it was made and last brought something."""

    opened_at_s: float
    last_byte_at_s: float | None = None  # a byte of an answer; None: it has not begun
    last_object_at_s: float = 0.0  # an object or an empty line, or the answer's beginning

    def expires_at_s(self, must_ask: bool) -> float:
        """When it has failed, if it brings nothing more."""
        if self.last_byte_at_s is None:
            return self.opened_at_s + (POLLED_RESPONSE_TIMEOUT_S if must_ask else AGENT_RESPONSE_TIMEOUT_S)
        silent_s, whole_s = (
            (POLLED_SILENCE_TIMEOUT_S, POLL_INTERVAL_LIMIT_S)
            if must_ask
            else (AGENT_SILENCE_TIMEOUT_S, AGENT_OBJECT_TIMEOUT_S)
        )
        return min(self.last_byte_at_s + silent_s, self.last_object_at_s + whole_s)


class WatchSupervisor:
    """All times are of one clock, in seconds; calls go by numbers, which do not come again."""

    def __init__(self, pacing: PollBackoff, draw: Callable[[], float]) -> None:
        self.backoff, self.draw = pacing, draw
        self.open_attempts: dict[int, WatchAttempt] = {}  # the eldest first
        self.opened_count = 0
        self.next_open_at_s = 0.0  # when the next call is
        self.hedge_delay_s = POLL_INTERVAL_LIMIT_S if pacing.must_poll else AGENT_HEDGE_DELAY_S
        self.response_due_at_s = 0.0  # by when an answer must begin, for what the last watch misses

    def wait_s(self, now_s: float) -> float:
        """How long until something has to be done, if nothing is heard before."""
        ends_s = [call.expires_at_s(self.backoff.must_poll) for call in self.open_attempts.values()]
        return max(0.0, min([self.next_open_at_s, *ends_s]) - now_s)

    def expired(self, now_s: float) -> list[int]:
        """Calls that have brought nothing for too long; each is then to be ended."""
        return [
            number
            for number, call in self.open_attempts.items()
            if now_s >= call.expires_at_s(self.backoff.must_poll)
        ]

    def open_if_due(self, now_s: float) -> int | None:
        """The number of the call that is to be made now, if one is due. `surplus` may then be closed."""
        if now_s < self.next_open_at_s:
            return None
        self.opened_count += 1
        self.open_attempts[self.opened_count] = WatchAttempt(now_s)
        self.next_open_at_s = now_s + self.hedge_delay_s
        return self.opened_count

    def surplus(self) -> list[int]:
        """The younger ones of too many calls: the eldest keeps its whole time, for an answer that is slow."""
        return list(self.open_attempts)[1 : 1 + max(0, len(self.open_attempts) - MAX_OPEN_ATTEMPTS)]

    def record_bytes(self, number: int, now_s: float) -> None:
        """A call has brought bytes of an answer that has begun: none is needed beside it but where no word
        follows in time. Where the list must be asked for, that time runs from the call."""
        call = self.open_attempts.get(number)
        if call and call.last_byte_at_s is None:
            call.last_object_at_s = now_s
            if not self.backoff.must_poll and not self.has_response():
                self.next_open_at_s = now_s + POLL_INTERVAL_LIMIT_S
        if call:
            call.last_byte_at_s = now_s

    def has_response(self) -> bool:
        """Whether an answer has begun on any call that is out."""
        return any(call.last_byte_at_s is not None for call in self.open_attempts.values())

    def record_object(self, number: int, now_s: float) -> list[int]:
        """A call has brought an object, part of one or an empty line: it is the one that is kept. The others.

        Failures are forgotten only by `taken`: an object may still make no sense.
        """
        self.record_bytes(number, now_s)
        self.open_attempts[number].last_object_at_s = now_s
        self.next_open_at_s, self.response_due_at_s = math.inf, 0.0
        return [other for other in self.open_attempts if other != number]

    def record_applied(self) -> None:
        """What a call has brought was good."""
        self.backoff.reset()

    def complete(self, number: int) -> None:
        """A call has done what it was made for, or was closed as surplus: it has not failed."""
        self.open_attempts.pop(number, None)

    def open_now(self, now_s: float) -> None:
        """The next call is due now."""
        self.next_open_at_s = now_s

    def record_failure(self, number: int, now_s: float) -> None:
        """A call has ended by itself, or has failed: the next one is due after the pacing's wait, unless
        another is being answered, or waits in a line with the time for one beside it already set."""
        call = self.open_attempts.pop(number, None)
        if call is None or self.has_response():
            return
        silent, alone_s = now_s >= call.expires_at_s(self.backoff.must_poll), self.backoff.own_delay_s()
        wait_s = self.backoff.record_failure(self.draw())
        if not self.backoff.must_poll:
            self.next_open_at_s = min(
                self.next_open_at_s, now_s + (0.0 if silent else wait_s)
            )  # silent: it has waited enough
        elif not self.open_attempts:
            self.next_open_at_s = max(now_s, min(now_s + wait_s, self.poll_by_s(call, now_s + alone_s)))

    def poll_by_s(self, call: WatchAttempt, least_s: float) -> float:
        """When to ask again after that call at the latest: a dial that hangs and an answer fit in before 6 s
        are over from when discovery can have been reached again. The 6 s of a watch that has told something
        run on while calls after it fail, the next of them at `least_s` at the soonest."""
        if call.last_byte_at_s is not None:
            unheard_s = min(call.last_byte_at_s, call.last_object_at_s)
            self.response_due_at_s = unheard_s + NOTIFICATION_LIMIT_S - RESPONSE_TIME_S
            return unheard_s + POLL_INTERVAL_LIMIT_S
        by_s = call.opened_at_s + POLL_INTERVAL_LIMIT_S
        if least_s < self.response_due_at_s + RESPONSE_TIME_S:
            by_s = min(by_s, max(least_s, self.response_due_at_s - HUNG_CONNECT_S - RECONNECT_MARGIN_S))
        return by_s
