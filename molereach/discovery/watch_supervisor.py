"""Decides which watches on discovery have failed, which to close, and when to open the next one.

Discovery sends a heartbeat every 2 s, and a proxy has to know a change at most 6 s after its watch fell
silent. A watch on a local discovery agent costs discovery no work, so it is replaced early: it has failed
after one missed heartbeat and half an interval, 3 s. The 3 s that remain are enough for a connect that hangs
for its full second and for another one. Where the list must be polled, each request costs discovery work, so
a watch has failed only after two missed heartbeats and half a second. The rest is enough for one hung
connect.

A local agent answers immediately, unless discovery is down. Then the agent is silent, and once discovery is
up again, a proxy has to know at once what the agent receives. It cannot tell whether a request sent meanwhile
will be answered or was dropped. So an attempt without a response stays open for a while, and every half
second another one is opened beside it (hedged requests: Dean and Barroso, The Tail at Scale, 2013). Two stay
open: when a third is opened, all but the oldest and the newest are closed. The oldest keeps its full time, in
case its response is slow. The first attempt that receives anything is kept and the other is closed.

Where the list must be polled, requests may wait in discovery's queue, and a change has to be known 6 s after
discovery became reachable. A failed request proves that discovery was unreachable only at the time when it
was sent, so the next one is due `POLL_INTERVAL_LIMIT_S` after that time, whether it was rejected, dropped or
is answered slowly. The older request stays open, as it is ahead in the queue: proxies that abandon and
resend requests before they are processed fill the queue with requests that no proxy waits for.
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

HEARTBEAT_INTERVAL_S = 2.0  # discovery sends an empty line while nothing changes
# A watch has failed if its response brings no byte for so long, from a local agent or from polled discovery.
LOCAL_DISCOVERY_SILENCE_TIMEOUT_S = 1.5 * HEARTBEAT_INTERVAL_S
POLLED_SILENCE_TIMEOUT_S = 2 * HEARTBEAT_INTERVAL_S + 0.5
LOCAL_DISCOVERY_OBJECT_TIMEOUT_S = 5.0  # likewise if it brings bytes, but no object and no empty line
LOCAL_DISCOVERY_RESPONSE_TIMEOUT_S = 5.0  # until the first byte of a response
POLLED_RESPONSE_TIMEOUT_S = 30.0  # longer, as the request may wait in discovery's queue
LOCAL_DISCOVERY_HEDGE_DELAY_S = 0.5  # until another attempt is opened beside one without a response
MAX_OPEN_ATTEMPTS = 2


@dataclass(slots=True)
class WatchAttempt:
    """An open watch: when it was opened and when it last received anything, in seconds."""

    opened_at_s: float
    last_byte_at_s: float | None = None  # of the response; None if it has not begun
    last_object_at_s: float = 0.0  # of the last object or empty line, or of the response's first byte

    def expires_at_s(self, must_poll: bool) -> float:
        """When the attempt has failed unless it receives something before."""
        if self.last_byte_at_s is None:
            timeout_s = POLLED_RESPONSE_TIMEOUT_S if must_poll else LOCAL_DISCOVERY_RESPONSE_TIMEOUT_S
            return self.opened_at_s + timeout_s
        silence_timeout_s = POLLED_SILENCE_TIMEOUT_S if must_poll else LOCAL_DISCOVERY_SILENCE_TIMEOUT_S
        # A list that must be polled is polled again after this interval, so no object is awaited for longer.
        object_timeout_s = POLL_INTERVAL_LIMIT_S if must_poll else LOCAL_DISCOVERY_OBJECT_TIMEOUT_S
        return min(self.last_byte_at_s + silence_timeout_s, self.last_object_at_s + object_timeout_s)


class WatchSupervisor:
    """Tracks open attempts by their ids, which are never reused. All times are in seconds of one clock."""

    def __init__(self, backoff: PollBackoff, draw: Callable[[], float]) -> None:
        """`draw` returns uniformly distributed random numbers between 0 and 1."""
        self.backoff = backoff
        self.draw = draw
        self.open_attempts: dict[int, WatchAttempt] = {}  # the oldest first
        self.opened_count = 0
        self.next_open_at_s = 0.0
        self.hedge_delay_s = POLL_INTERVAL_LIMIT_S if backoff.must_poll else LOCAL_DISCOVERY_HEDGE_DELAY_S
        # By when a response must begin, to bring what a failed watch missed; 0 if there is no such time.
        self.response_due_at_s = 0.0

    def wait_s(self, now_s: float) -> float:
        """Time until an attempt expires or the next one is due, if nothing is received before."""
        must_poll = self.backoff.must_poll
        expiries_s = [attempt.expires_at_s(must_poll) for attempt in self.open_attempts.values()]
        return max(0.0, min([self.next_open_at_s, *expiries_s]) - now_s)

    def expired(self, now_s: float) -> list[int]:
        """Attempts that timed out; the caller closes each and records its failure."""
        must_poll = self.backoff.must_poll
        return [
            attempt_id
            for attempt_id, attempt in self.open_attempts.items()
            if now_s >= attempt.expires_at_s(must_poll)
        ]

    def open_if_due(self, now_s: float) -> int | None:
        """Register a new attempt if one is due; returns its id. Attempts in `surplus` may then be closed."""
        if now_s < self.next_open_at_s:
            return None
        self.opened_count += 1
        self.open_attempts[self.opened_count] = WatchAttempt(now_s)
        self.next_open_at_s = now_s + self.hedge_delay_s
        return self.opened_count

    def surplus(self) -> list[int]:
        """Attempts beyond the maximum, which may be closed.

        They begin with the second oldest: the oldest keeps its full time, for a slow response, and the newest
        has just been opened.
        """
        surplus_count = max(0, len(self.open_attempts) - MAX_OPEN_ATTEMPTS)
        return list(self.open_attempts)[1 : 1 + surplus_count]

    def record_bytes(self, attempt_id: int, now_s: float) -> None:
        """Record that an attempt received bytes of its response.

        Another attempt is then due only if no object follows within `POLL_INTERVAL_LIMIT_S`: from the first
        byte of the response or, where the list must be polled, from the opening of the newest attempt.
        """
        attempt = self.open_attempts.get(attempt_id)
        if attempt and attempt.last_byte_at_s is None:
            attempt.last_object_at_s = now_s
            if not self.backoff.must_poll and not self.has_response():
                self.next_open_at_s = now_s + POLL_INTERVAL_LIMIT_S
        if attempt:
            attempt.last_byte_at_s = now_s

    def has_response(self) -> bool:
        """Whether a response has begun on any open attempt."""
        return any(attempt.last_byte_at_s is not None for attempt in self.open_attempts.values())

    def record_object(self, attempt_id: int, now_s: float) -> list[int]:
        """Record a whole or partial object or an empty line; returns the other attempts, which may be closed.

        Failures are reset only by `record_applied`, as the object may still be malformed.
        """
        self.record_bytes(attempt_id, now_s)
        self.open_attempts[attempt_id].last_object_at_s = now_s
        self.next_open_at_s = math.inf
        self.response_due_at_s = 0.0
        return [other for other in self.open_attempts if other != attempt_id]

    def record_applied(self) -> None:
        """Record that a received object was applied, or that an empty line was received."""
        self.backoff.reset()

    def forget_attempt(self, attempt_id: int) -> None:
        """Remove an attempt that is no longer needed, without counting a failure."""
        self.open_attempts.pop(attempt_id, None)

    def open_now(self, now_s: float) -> None:
        """Make the next attempt due now."""
        self.next_open_at_s = now_s

    def record_failure(self, attempt_id: int, now_s: float) -> None:
        """Remove an attempt that failed or whose connection was closed.

        The next one is due after the backoff's delay, unless another open attempt has a response. Where the
        list must be polled, any other open attempt is enough: the time for one beside it is already set.
        """
        attempt = self.open_attempts.pop(attempt_id, None)
        if attempt is None or self.has_response():
            return
        must_poll = self.backoff.must_poll
        has_expired = now_s >= attempt.expires_at_s(must_poll)
        # The delay of an only proxy, which needs no jitter; computed before the failure is counted.
        earliest_s = now_s + self.backoff.single_proxy_delay_s()
        delay_s = self.backoff.record_failure(self.draw())
        if not must_poll:
            retry_at_s = now_s + (0.0 if has_expired else delay_s)  # after a timeout, no further delay
            self.next_open_at_s = min(self.next_open_at_s, retry_at_s)
        elif not self.open_attempts:
            self.next_open_at_s = max(now_s, min(now_s + delay_s, self.latest_poll_at_s(attempt, earliest_s)))

    def latest_poll_at_s(self, failed: WatchAttempt, earliest_s: float) -> float:
        """Latest time of the next poll after a failed attempt.

        A change must be known 6 s after discovery became reachable, which may have been right after a failed
        watch last received something, or after a failed request was sent. The time returned leaves enough of
        the 6 s for a hung connect and a response. If a watch that had a response fails, its 6 s also bind the
        attempts after it: while they last, the next one is due earlier, but not before `earliest_s`.
        """
        if failed.last_byte_at_s is not None:
            last_received_s = min(failed.last_byte_at_s, failed.last_object_at_s)
            self.response_due_at_s = last_received_s + NOTIFICATION_LIMIT_S - RESPONSE_TIME_S
            return last_received_s + POLL_INTERVAL_LIMIT_S
        latest_s = failed.opened_at_s + POLL_INTERVAL_LIMIT_S
        if earliest_s < self.response_due_at_s + RESPONSE_TIME_S:
            response_by_s = self.response_due_at_s - HUNG_CONNECT_S - RECONNECT_MARGIN_S
            latest_s = min(latest_s, max(earliest_s, response_by_s))
        return latest_s
