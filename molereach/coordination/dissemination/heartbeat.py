"""The times at which the leader sends heartbeats and every other proxy reports to its parent.

A report is sent once it is due and all children have reported, or at its deadline. Without heartbeats one is
still sent slightly more than an interval after the last, so that a disconnected proxy keeps retrying. The
leader uses the same times to collect reports.
"""

from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.interface.core import NEVER_US


class HeartbeatTimer:
    """Holds the times, in microseconds; the core decides what to send."""

    def __init__(self, settings: DisseminationSettings) -> None:
        self.settings = settings
        self.next_heartbeat_us = NEVER_US  # set at the leader only
        self.last_heartbeat_us = -settings.heartbeat_interval_us  # when this proxy last sent or forwarded one
        self.last_ballot = 0
        self.report_due_us = NEVER_US
        self.report_deadline_us = NEVER_US
        self.last_report_us = -settings.heartbeat_interval_us

    def wake_us(self, all_reported: bool) -> int:
        """The time of the next heartbeat or report."""
        report_us = self.report_due_us if all_reported else self.report_deadline_us
        return min(self.next_heartbeat_us, report_us)

    def should_forward(self, now_us: int, ballot: int) -> bool:
        """Whether to forward a heartbeat: of several that arrive at once after a stall, one suffices."""
        since_last_us = now_us - self.last_heartbeat_us
        return since_last_us >= self.settings.heartbeat_interval_us // 2 or ballot > self.last_ballot

    def on_heartbeat(self, now_us: int, ballot: int, depth: int) -> None:
        """Start an interval with a heartbeat; `depth` is that of this proxy."""
        self.last_heartbeat_us = now_us
        self.last_ballot = ballot
        earliest_us = self.last_report_us + self.settings.heartbeat_interval_us // 2
        self.report_due_us = max(now_us + self.settings.report_delay_us, earliest_us)
        self.report_deadline_us = self.report_due_us + self.settings.report_timeout_us(depth)

    def should_report(self, now_us: int, all_reported: bool) -> bool:
        """Whether a report is to be sent now."""
        return now_us >= self.report_deadline_us or (now_us >= self.report_due_us and all_reported)

    def on_report(self, now_us: int) -> None:
        """Record that a report was sent; without a heartbeat the next follows after 9/8 of an interval."""
        self.last_report_us = now_us
        self.report_due_us = now_us + self.settings.heartbeat_interval_us * 9 // 8
        self.report_deadline_us = self.report_due_us

    def mark_collected(self) -> None:
        """At the leader: stop waiting for reports in this interval."""
        self.report_due_us = NEVER_US
        self.report_deadline_us = NEVER_US

    @property
    def has_collected(self) -> bool:
        """Whether the leader has finished collecting the reports of this interval."""
        return self.report_due_us == NEVER_US

    def is_heartbeat_soon(self, now_us: int) -> bool:
        """Whether the leader's next heartbeat is close enough for grants to wait for it."""
        longest_wait_us = self.settings.heartbeat_interval_us - self.settings.report_delay_us
        return self.next_heartbeat_us - now_us <= longest_wait_us
