"""One command sent to one backend, with exactly one outcome.

This module decides whether an attempt may have been executed. The only criterion is whether its last byte was
passed to the kernel: before that it was not executed, after that it may have been.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from molereach.clock import now_us
from molereach.policy.interface.events import AttemptResult, LoadReport

OnFinished = Callable[["Attempt", AttemptResult, bytes | None, LoadReport | None], None]


class AttemptConnection(Protocol):
    """The connection to which an attempt was written."""

    def abandon(self, attempt: "Attempt") -> None:
        """Stop serving the attempt if it is still in flight on the connection."""


class AttemptPool(Protocol):
    """The pool that an attempt was assigned to."""

    def remove_waiting(self, attempt: "Attempt") -> None:
        """Remove the attempt from the queue for a connection."""

    def on_attempt_timeout(self, sent_us: int) -> None:
        """Handle the timeout of an attempt that was sent at `sent_us` and not answered."""


class Attempt:
    """One command for one backend; `on_finished` is called once with the result, value and load report."""

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
        """The last byte is written before `write_deadline_us` or never; 0 means no deadline."""
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
        """Start the timers of the attempt's timeout and of its write deadline."""
        call_later = asyncio.get_running_loop().call_later
        self.timers.append(call_later(timeout_us / 1e6, self.on_timeout))
        if self.write_deadline_us:
            remaining_us = max(0, self.write_deadline_us - now_us())
            self.timers.append(
                call_later(remaining_us / 1e6, self.cancel_if_unwritten, AttemptResult.NOT_SENT)
            )

    def is_past_write_deadline(self) -> bool:
        """Whether the write deadline has passed; its timer may fire later than that."""
        return 0 < self.write_deadline_us <= now_us()

    def finish(
        self, result: AttemptResult, value: bytes | None = None, report: LoadReport | None = None
    ) -> None:
        """Report the outcome; any later call is ignored."""
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
        """End the attempt at its timeout."""
        if self.is_written and self.pool:
            self.pool.on_attempt_timeout(self.sent_us)
        self.give_up(AttemptResult.TIMEOUT if self.is_written else AttemptResult.CONNECT_FAILED)

    def cancel_if_unwritten(self, result: AttemptResult) -> None:
        """End the attempt with `result` unless its last byte has been written; it is then never executed."""
        if not self.is_written:
            self.give_up(result)

    def give_up(self, result: AttemptResult) -> None:
        """End the attempt without waiting for an answer; its connection, if any, is not reused."""
        if self.pool:
            self.pool.remove_waiting(self)  # a connection being opened for it serves another attempt
        connection = self.connection
        self.connection = None
        if connection:
            connection.abandon(self)
        self.finish(result)
