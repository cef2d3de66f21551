"""Measures how late the event loop runs, and how long it takes to read the first bytes of new connections.

The two show whether a late answer was delayed in this process or before its bytes could be read. Sans-I/O.
"""

from dataclasses import dataclass

REPORTED_LOOP_DELAY_US = 150_000  # a longer one is logged: answers may be late by as much


@dataclass(slots=True)
class ListenerDelays:
    """The longest delays of a listener since the start of the process, in microseconds."""

    max_loop_delay_us: int = 0
    max_first_read_us: int = 0  # from accepting a connection to reading its first bytes
    timer_due_us: int | None = None  # when the periodic timer should run next

    def on_timer_set(self, due_us: int) -> None:
        """Note when the periodic timer should run."""
        self.timer_due_us = due_us

    def on_timer(self, now_us: int) -> int:
        """Record that the periodic timer runs at `now_us`; return by how many microseconds it is late."""
        if self.timer_due_us is None:
            return 0
        delay_us = max(0, now_us - self.timer_due_us)
        self.max_loop_delay_us = max(self.max_loop_delay_us, delay_us)
        return delay_us

    def on_first_read(self, waited_us: int) -> None:
        """Record the time from accepting a connection to its first bytes."""
        self.max_first_read_us = max(self.max_first_read_us, waited_us)

    def describe(self) -> str:
        """Return the longest delays as a line of the log, in milliseconds."""
        loop_ms = self.max_loop_delay_us // 1000
        first_read_ms = self.max_first_read_us // 1000
        return f"longest delays: event loop {loop_ms} ms, accept to first read {first_read_ms} ms"
