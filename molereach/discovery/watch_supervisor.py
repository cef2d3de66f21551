"""Which watches on discovery are open, which of them have failed, and when to open the next one.

Discovery sends a heartbeat every 2 s, and a change that it has to announce counts as known 6 s after a watch
has fallen silent. A watch on a local discovery process costs nothing: it is given up when it has missed one
heartbeat and half of the time to the next, which leaves 3 s for a connect that hangs for its full second and
for one more. Where the list must be polled for, a request costs discovery work, and none is made on a guess:
two heartbeats must be missed, and half a second more, which leaves time for one connect that hangs.

A local discovery process answers at once and at no cost; only while discovery is down it is silent, and
what it gets when that returns counts at that moment. Then nobody can know whether a request that was made
meanwhile will be answered or has been forgotten. So an attempt that has no response yet is left open for a
while, as it may be the one that is answered, and every half second another is made beside it (a hedged
request: Dean and Barroso, The Tail at Scale, 2013), two at most; the first that brings anything is kept, and
the other is closed. A slow response comes by the elder one.

Where the list must be polled for, requests cost discovery work and may wait in its queue, and a change still
counts as known 6 s after discovery could be reached. A request proves that it could not be reached only for
the moment at which it was made; so another is due `POLL_INTERVAL_LIMIT_S` after that, whether it was
rejected, forgotten or trickles. The elder one stays meanwhile: its place in the queue is the better one, and
a tier whose requests are given up and made again before their turn comes fills the queue with requests that
nobody waits for.
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

HEARTBEAT_INTERVAL_S = 2.0  # of discovery: an empty line while nothing changes
# A response without a byte for so long is dead: of an agent, and of a discovery that must be polled.
LOCAL_DISCOVERY_SILENCE_TIMEOUT_S = 1.5 * HEARTBEAT_INTERVAL_S
POLLED_SILENCE_TIMEOUT_S = 2 * HEARTBEAT_INTERVAL_S + 0.5
LOCAL_DISCOVERY_OBJECT_TIMEOUT_S = 5.0  # so is one that brings bytes, but neither an object nor an empty line
LOCAL_DISCOVERY_RESPONSE_TIMEOUT_S = 5.0  # how long an attempt may wait for its response to begin
POLLED_RESPONSE_TIMEOUT_S = 30.0  # in the queue of a discovery that must be polled, with another beside it
LOCAL_DISCOVERY_HEDGE_DELAY_S = 0.5  # after an attempt that is still without a response
MAX_OPEN_ATTEMPTS = 2


@dataclass(slots=True)
class WatchAttempt:
    """An open watch, by the times in seconds at which it was opened and last brought something."""

    opened_at_s: float
    last_byte_at_s: float | None = None  # of the response; None: it has not begun
    last_object_at_s: float = 0.0  # an object or an empty line, or the response's beginning

    def expires_at_s(self, must_poll: bool) -> float:
        """When it has failed, if it brings nothing more."""
        if self.last_byte_at_s is None:
            timeout_s = POLLED_RESPONSE_TIMEOUT_S if must_poll else LOCAL_DISCOVERY_RESPONSE_TIMEOUT_S
            return self.opened_at_s + timeout_s
        silence_timeout_s = POLLED_SILENCE_TIMEOUT_S if must_poll else LOCAL_DISCOVERY_SILENCE_TIMEOUT_S
        object_timeout_s = POLL_INTERVAL_LIMIT_S if must_poll else LOCAL_DISCOVERY_OBJECT_TIMEOUT_S
        return min(self.last_byte_at_s + silence_timeout_s, self.last_object_at_s + object_timeout_s)


class WatchSupervisor:
    """Decides on watches by their numbers, which are never used twice. All times are of one clock, in
    seconds.
    """

    def __init__(self, backoff: PollBackoff, draw: Callable[[], float]) -> None:
        """`draw`: the random source, evenly distributed from 0 to 1."""
        self.backoff = backoff
        self.draw = draw
        self.open_attempts: dict[int, WatchAttempt] = {}  # the eldest first
        self.opened_count = 0
        self.next_open_at_s = 0.0
        self.hedge_delay_s = POLL_INTERVAL_LIMIT_S if backoff.must_poll else LOCAL_DISCOVERY_HEDGE_DELAY_S
        self.response_due_at_s = 0.0  # by when a response must begin, for what the last watch misses

    def wait_s(self, now_s: float) -> float:
        """How long until something has to be done, if nothing is received before."""
        must_poll = self.backoff.must_poll
        expiries_s = [attempt.expires_at_s(must_poll) for attempt in self.open_attempts.values()]
        return max(0.0, min([self.next_open_at_s, *expiries_s]) - now_s)

    def expired(self, now_s: float) -> list[int]:
        """Attempts that have brought nothing for too long; each is then to be closed, and its failure to be
        recorded.
        """
        must_poll = self.backoff.must_poll
        return [
            number
            for number, attempt in self.open_attempts.items()
            if now_s >= attempt.expires_at_s(must_poll)
        ]

    def open_if_due(self, now_s: float) -> int | None:
        """The number of the attempt that is to be made now, if one is due. `surplus` may then be closed."""
        if now_s < self.next_open_at_s:
            return None
        self.opened_count += 1
        self.open_attempts[self.opened_count] = WatchAttempt(now_s)
        self.next_open_at_s = now_s + self.hedge_delay_s
        return self.opened_count

    def surplus(self) -> list[int]:
        """The younger ones of too many attempts: the eldest keeps its full time, for a response that is
        slow.
        """
        surplus_count = max(0, len(self.open_attempts) - MAX_OPEN_ATTEMPTS)
        return list(self.open_attempts)[1 : 1 + surplus_count]

    def record_bytes(self, number: int, now_s: float) -> None:
        """An attempt has brought bytes of a response that has begun.

        None is needed beside it unless no object follows in time. Where the list must be polled for, that
        time runs from the attempt.
        """
        attempt = self.open_attempts.get(number)
        if attempt and attempt.last_byte_at_s is None:
            attempt.last_object_at_s = now_s
            if not self.backoff.must_poll and not self.has_response():
                self.next_open_at_s = now_s + POLL_INTERVAL_LIMIT_S
        if attempt:
            attempt.last_byte_at_s = now_s

    def has_response(self) -> bool:
        """Whether a response has begun on any open attempt."""
        return any(attempt.last_byte_at_s is not None for attempt in self.open_attempts.values())

    def record_object(self, number: int, now_s: float) -> list[int]:
        """An attempt has brought an object, entries of one or an empty line: it is kept. The others.

        Failures are forgotten only by `record_applied`: an object may still be malformed.
        """
        self.record_bytes(number, now_s)
        self.open_attempts[number].last_object_at_s = now_s
        self.next_open_at_s = math.inf
        self.response_due_at_s = 0.0
        return [other for other in self.open_attempts if other != number]

    def record_applied(self) -> None:
        """What an attempt has brought was good."""
        self.backoff.reset()

    def complete(self, number: int) -> None:
        """An attempt has done what it was made for, or was closed as surplus: it has not failed."""
        self.open_attempts.pop(number, None)

    def open_now(self, now_s: float) -> None:
        """Make the next attempt due now."""
        self.next_open_at_s = now_s

    def record_failure(self, number: int, now_s: float) -> None:
        """An attempt has ended by itself, or has failed.

        The next one is due after the backoff's delay, unless another has a response, or waits in a queue with
        the time for one beside it already set.
        """
        attempt = self.open_attempts.pop(number, None)
        if attempt is None or self.has_response():
            return
        must_poll = self.backoff.must_poll
        has_expired = now_s >= attempt.expires_at_s(must_poll)
        earliest_s = now_s + self.backoff.single_proxy_delay_s()  # read before the failure is counted
        delay_s = self.backoff.record_failure(self.draw())
        if not must_poll:
            retry_at_s = now_s + (0.0 if has_expired else delay_s)  # one that expired has waited enough
            self.next_open_at_s = min(self.next_open_at_s, retry_at_s)
        elif not self.open_attempts:
            self.next_open_at_s = max(now_s, min(now_s + delay_s, self.poll_by_s(attempt, earliest_s)))

    def poll_by_s(self, failed: WatchAttempt, earliest_s: float) -> float:
        """When to poll at the latest after an attempt that failed.

        A connect that hangs and a response fit in before 6 s are over from when discovery can have been
        reached again. The 6 s of a watch that has brought an update run on while attempts after it fail, the
        next of them at `earliest_s` at the soonest.
        """
        if failed.last_byte_at_s is not None:
            last_received_s = min(failed.last_byte_at_s, failed.last_object_at_s)
            self.response_due_at_s = last_received_s + NOTIFICATION_LIMIT_S - RESPONSE_TIME_S
            return last_received_s + POLL_INTERVAL_LIMIT_S
        poll_by_s = failed.opened_at_s + POLL_INTERVAL_LIMIT_S
        if earliest_s < self.response_due_at_s + RESPONSE_TIME_S:
            response_by_s = self.response_due_at_s - HUNG_CONNECT_S - RECONNECT_MARGIN_S
            poll_by_s = min(poll_by_s, max(earliest_s, response_by_s))
        return poll_by_s
