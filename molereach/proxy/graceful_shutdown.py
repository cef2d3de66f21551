"""How a front door ends that was told to: until when it takes requests, and by when all have answers. A
core.

Its clients go on using the connections that they have, and whoever sends them here notices its end only
after seconds: what it does not take until then is refused by a dead address. So it serves for as long as
an answer can be out before it is killed, which by the protocol ("Figures") is no sooner than the longest
deadline and 0.7 s more. All its moments follow from that one, however short the deadlines are.
"""

from collections.abc import Iterable

S = 1_000_000
LONGEST_US = 3 * S  # no deadline counts for more
GRACE_US = 700_000  # from the longest deadline to the kill
MARGIN_US = 200_000  # before that all answers are to be out
LEAST_LEFT_US = 700_000  # what is taken last has so long, or the longest deadline if that is shorter
SETTLE_US = 600_000  # new connections go on coming for up to 0.4 s
QUIET_US = 500_000  # nobody has asked for so long: there is nothing to stay for
LAST_CALL = 0.25  # of the margin: who was taken in last is heard
SPARE = 0.25  # of the margin: for the end of the process itself


class Ending:
    """From the word to end, at `told_us`; all times in microseconds of one clock."""

    def __init__(self, told_us: int, deadlines_us: Iterable[int]) -> None:
        longest = min(LONGEST_US, max(deadlines_us, default=0))
        self.answers_by_us = told_us + longest + GRACE_US - MARGIN_US  # then the listener closes
        self.takes_until_us = self.answers_by_us - min(LEAST_LEFT_US, longest)
        self.settled_us = self.asked_us = min(told_us + SETTLE_US, self.takes_until_us)
        self.reads_until_us = self.answers_by_us + round(MARGIN_US * LAST_CALL)
        self.ends_us = self.answers_by_us + round(MARGIN_US * (1 - SPARE))  # all sockets are let go of

    def take(self, now_us: int, left_us: int) -> int:
        """A request has come whose client waits for `left_us`; how long it may take here."""
        self.asked_us = max(self.asked_us, now_us)
        return min(left_us, max(1, self.answers_by_us - now_us))

    def over(self, now_us: int) -> bool:
        """Whether connections are to be closed as they become idle."""
        quiet = now_us - self.asked_us >= QUIET_US
        return now_us >= self.takes_until_us or (now_us >= self.settled_us and quiet)
