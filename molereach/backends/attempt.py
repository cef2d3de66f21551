"""One command for one backend, and its exactly one outcome.

Whether an attempt may have run is decided here, and only by whether its last byte was handed to the kernel:
before that it never ran, after that it may have.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from molereach.clock import now_us
from molereach.policy.interface.events import AttemptResult, LoadReport

OnFinished = Callable[["Attempt", AttemptResult, bytes | None, LoadReport | None], None]


class AttemptConnection(Protocol):
    """The connection on which an attempt was written."""

    def abandon(self, attempt: "Attempt") -> None:
        """Serve the attempt no more, if it is still the one on the connection."""


class AttemptPool(Protocol):
    """The pool that an attempt was given to."""

    def remove_waiting(self, attempt: "Attempt") -> None:
        """Let the attempt wait for a connection no more."""

    def suspect_silence(self, since_us: int) -> None:
        """An attempt sent at `since_us` timed out without an answer."""


class Attempt:
    """One command for one backend; `on_finished` is called once, with its result, value and load report."""

    __slots__ = (
        "connection",
        "is_finished",
        "is_written",
        "number",
        "on_finished",
        "payload",
        "pool",
        "request_id",
        "sent_us",
        "server",
        "timers",
        "write_deadline_us",
    )

    def __init__(
        self,
        request_id: str,
        number: int,
        server: str,
        payload: bytes,
        on_finished: OnFinished,
        write_deadline_us: int = 0,
    ) -> None:
        """The last byte is written before `write_deadline_us`, or never; 0 is no such bound."""
        self.request_id = request_id
        self.number = number
        self.server = server
        self.payload = payload
        self.on_finished = on_finished
        self.write_deadline_us = write_deadline_us
        self.sent_us = now_us()
        self.is_finished = False
        self.is_written = False
        self.connection: AttemptConnection | None = None
        self.pool: AttemptPool | None = None
        self.timers: list[asyncio.TimerHandle] = []

    def start_timers(self, timeout_us: int) -> None:
        """Start its timeout, and that of its write deadline."""
        call_later = asyncio.get_running_loop().call_later
        self.timers.append(call_later(timeout_us / 1e6, self.on_timeout))
        if self.write_deadline_us:
            left_us = max(0, self.write_deadline_us - now_us())
            self.timers.append(call_later(left_us / 1e6, self.withdraw, AttemptResult.NOT_SENT))

    def is_past_write_deadline(self) -> bool:
        """Whether nothing of it may be written any more; its timer may fire later than this becomes true."""
        return 0 < self.write_deadline_us <= now_us()

    def finish(
        self, result: AttemptResult, value: bytes | None = None, report: LoadReport | None = None
    ) -> None:
        """Report the outcome; any further one is ignored."""
        if self.is_finished:
            return
        self.is_finished = True
        for timer in self.timers:
            timer.cancel()
        self.on_finished(self, result, value, report)

    def cancel(self) -> None:
        """Stop waiting for an answer."""
        self.give_up(AttemptResult.CANCELLED)

    def on_timeout(self) -> None:
        """Its time is over."""
        if self.is_written and self.pool:
            self.pool.suspect_silence(self.sent_us)
        self.give_up(AttemptResult.TIMEOUT if self.is_written else AttemptResult.CONNECT_FAILED)

    def withdraw(self, result: AttemptResult) -> None:
        """Take it back where its last byte is not written: it never runs, whatever connects later."""
        if not self.is_written:
            self.give_up(result)

    def give_up(self, result: AttemptResult) -> None:
        """End it from this side; its connection, if any, is not used again."""
        if self.pool:
            self.pool.remove_waiting(self)  # the connection that was dialled for it serves another one
        connection = self.connection
        self.connection = None
        if connection:
            connection.abandon(self)
        self.finish(result)
