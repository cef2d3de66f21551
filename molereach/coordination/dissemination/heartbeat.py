"""When this front door speaks: the pulse at the leader, and for all the moment of the next word up.

A word up leaves once it is due and all below have spoken, or when it is late. Where no pulse comes, one
leaves all the same, a little more than a beat after the last, so that who is cut off goes on asking.
"""

from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.interface.core import NEVER_US


class HeartbeatTimer:
    """Moments only; what is said in them is the core's."""

    def __init__(self, settings: DisseminationSettings) -> None:
        self.settings = settings
        self.next_heartbeat_us = NEVER_US  # the leader's next
        self.last_heartbeat_us = -settings.heartbeat_interval_us  # when the last one came by here
        self.last_ballot = 0
        self.report_due_us = NEVER_US  # the first moment for the next word up, and the last
        self.report_deadline_us = NEVER_US
        self.last_report_us = -settings.heartbeat_interval_us

    def wake_us(self, all_spoke: bool) -> int:
        return min(self.next_heartbeat_us, self.report_due_us if all_spoke else self.report_deadline_us)

    def should_forward(self, now_us: int, ballot: int) -> bool:
        """Whether a pulse is passed on. After a stop all pulses of that time come at once: one of them is."""
        return (
            now_us - self.last_heartbeat_us >= self.settings.heartbeat_interval_us // 2
            or ballot > self.last_ballot
        )

    def on_heartbeat(self, now_us: int, ballot: int, depth: int) -> None:
        """A pulse came by: a beat begins here."""
        self.last_heartbeat_us, self.last_ballot = now_us, ballot
        self.report_due_us = max(
            now_us + self.settings.report_delay_us,
            self.last_report_us + self.settings.heartbeat_interval_us // 2,
        )
        self.report_deadline_us = self.report_due_us + self.settings.report_timeout_us(depth)

    def should_report(self, now_us: int, all_spoke: bool) -> bool:
        return now_us >= self.report_deadline_us or (now_us >= self.report_due_us and all_spoke)

    def on_report(self, now_us: int) -> None:
        self.last_report_us = now_us
        self.report_due_us = self.report_deadline_us = now_us + self.settings.heartbeat_interval_us * 9 // 8

    def on_collected(self) -> None:
        """At the leader there is nothing more to wait for in this beat."""
        self.report_due_us = self.report_deadline_us = NEVER_US

    @property
    def is_collected(self) -> bool:
        """Whether the leader has gathered in this beat."""
        return self.report_due_us == NEVER_US

    def can_wait(self, now_us: int) -> bool:
        """Whether what the leader has to say can wait for its next pulse; what is late cannot."""
        return (
            self.next_heartbeat_us - now_us
            <= self.settings.heartbeat_interval_us - self.settings.report_delay_us
        )
