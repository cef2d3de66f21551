"""The longest delays of a front door, from the lines of its log.

They explain a verdict and never decide one: whether a rule is broken is judged from outside the front door.
"""

import re
from dataclasses import dataclass

LOOP_DELAYED = re.compile(r"event loop delayed by (\d+) ms")
LONGEST_DELAYS = re.compile(r"longest delays: event loop (\d+) ms, accept to first read (\d+) ms")


@dataclass(slots=True)
class DoorDelays:
    """The longest delays of a front door over all its processes, in milliseconds.

    A killed process has logged only long delays of its event loop, and no time to the first read.
    """

    loop_ms: int = 0  # by which its event loop ran a timer late
    first_read_ms: int = 0  # from accepting a connection to reading its first bytes

    def read_line(self, line: str) -> None:
        """Take the delays from a line of the log, if it has any."""
        if delayed := LOOP_DELAYED.search(line):
            self.loop_ms = max(self.loop_ms, int(delayed[1]))
        if longest := LONGEST_DELAYS.search(line):
            self.loop_ms = max(self.loop_ms, int(longest[1]))
            self.first_read_ms = max(self.first_read_ms, int(longest[2]))
