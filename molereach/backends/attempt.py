"""One command for one backend, and its exactly one outcome.

Whether an attempt may have run is decided here, and only by whether its last byte was handed to the kernel:
before that it never ran, after that it may have.
"""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from molereach.clock import now_us
from molereach.policy.interface.events import AttemptResult, LoadReport

if TYPE_CHECKING:
    from molereach.backends.connection import Connection
    from molereach.backends.pool import Pool

Done = Callable[["Attempt", AttemptResult, bytes | None, LoadReport | None], None]


class Attempt:
    """One command for one backend; `done` is called once, with how it ended."""

    __slots__ = (
        "connection",
        "done",
        "number",
        "over",
        "payload",
        "pool",
        "request_id",
        "sent_us",
        "server",
        "timers",
        "whole_by_us",
        "written",
    )

    def __init__(
        self, request_id: str, number: int, server: str, payload: bytes, done: Done, whole_by_us: int = 0
    ) -> None:
        self.request_id, self.number, self.server = request_id, number, server
        self.payload, self.done = payload, done
        self.whole_by_us = whole_by_us  # its last byte is written before then, or never; 0: at any time
        self.sent_us, self.over, self.written = now_us(), False, False
        self.connection: Connection | None = None
        self.timers: list[asyncio.TimerHandle] = []
        self.pool: Pool | None = None

    def limit(self, timeout_us: int) -> None:
        """Count its time from now on."""
        later = asyncio.get_running_loop().call_later
        self.timers.append(later(timeout_us / 1e6, self.time_out))
        if self.whole_by_us:
            left = max(0, self.whole_by_us - now_us())
            self.timers.append(later(left / 1e6, self.withdraw, AttemptResult.NOT_SENT))

    def is_late(self) -> bool:
        """Whether nothing of it may be written any more; the loop may come to its timer only later."""
        return 0 < self.whole_by_us <= now_us()

    def finish(
        self, result: AttemptResult, value: bytes | None = None, report: LoadReport | None = None
    ) -> None:
        if self.over:
            return
        self.over = True
        for timer in self.timers:
            timer.cancel()
        self.done(self, result, value, report)

    def cancel(self) -> None:
        """Stop waiting for it."""
        self.give_up(AttemptResult.CANCELLED)

    def time_out(self) -> None:
        if self.written and self.pool:
            self.pool.doubt(self.sent_us)
        self.give_up(AttemptResult.TIMEOUT if self.written else AttemptResult.CONNECT_FAILED)

    def withdraw(self, result: AttemptResult) -> None:
        """Take it back where its last byte is not written: it never runs, whatever comes up later."""
        if not self.written:
            self.give_up(result)

    def give_up(self, result: AttemptResult) -> None:
        if self.pool:
            self.pool.waiting.pop(self, None)  # its dial, should it come up, is another's
        connection, self.connection = self.connection, None
        if connection and connection.attempt is self:
            connection.attempt = None
            connection.abort()  # an answer is still due on it: it must never be used again
        self.finish(result)
