"""When this front door speaks: the pulse at the leader, and for all the moment of the next word up.

A word up leaves once it is due and all below have spoken, or when it is late. Where no pulse comes, one
leaves all the same, a little more than a beat after the last, so that who is cut off goes on asking.
"""

from molereach.coordination.dissemination.settings import Settings
from molereach.coordination.interface.core import NEVER_US


class Beat:
    """Moments only; what is said in them is the core's."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.pulse_us = NEVER_US  # the leader's next
        self.pulsed_us = -settings.beat_us  # when the last one came by here
        self.pulsed_ballot = 0
        self.due_us = NEVER_US  # the first moment for the next word up, and the last
        self.late_us = NEVER_US
        self.spoke_us = -settings.beat_us

    def wake_us(self, all_spoke: bool) -> int:
        return min(self.pulse_us, self.due_us if all_spoke else self.late_us)

    def passes(self, now: int, ballot: int) -> bool:
        """Whether a pulse is passed on. After a stop all pulses of that time come at once: one of them is."""
        return now - self.pulsed_us >= self.settings.beat_us // 2 or ballot > self.pulsed_ballot

    def began(self, now: int, ballot: int, depth: int) -> None:
        """A pulse came by: a beat begins here."""
        self.pulsed_us, self.pulsed_ballot = now, ballot
        self.due_us = max(now + self.settings.hold_us, self.spoke_us + self.settings.beat_us // 2)
        self.late_us = self.due_us + self.settings.late_us(depth)

    def speaks(self, now: int, all_spoke: bool) -> bool:
        return now >= self.late_us or (now >= self.due_us and all_spoke)

    def spoke(self, now: int) -> None:
        self.spoke_us = now
        self.due_us = self.late_us = now + self.settings.beat_us * 9 // 8

    def gathered(self) -> None:
        """At the leader there is nothing more to wait for in this beat."""
        self.due_us = self.late_us = NEVER_US

    @property
    def over(self) -> bool:
        """Whether the leader has gathered in this beat."""
        return self.due_us == NEVER_US

    def in_time(self, now: int) -> bool:
        """Whether what the leader has to say can wait for its next pulse; what is late cannot."""
        return self.pulse_us - now <= self.settings.beat_us - self.settings.hold_us
