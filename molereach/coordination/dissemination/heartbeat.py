"""When a proxy sends: heartbeats at the leader, and the report to the parent everywhere.

A report is sent once it is due and all children have reported, or at its deadline. Without a heartbeat one is
sent all the same, a little more than an interval after the last, so that a disconnected proxy keeps asking.
"""

from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.interface.core import NEVER_US


class HeartbeatTimer:
    """Times alone, in microseconds; the core decides what is sent."""

    def __init__(self, settings: DisseminationSettings) -> None:
        self.settings = settings
        self.next_heartbeat_us = NEVER_US  # at the leader
        self.last_heartbeat_us = -settings.heartbeat_interval_us  # when one was last forwarded here
        self.last_ballot = 0
        self.report_due_us = NEVER_US
        self.report_deadline_us = NEVER_US
        self.last_report_us = -settings.heartbeat_interval_us

    def wake_us(self, all_reported: bool) -> int:
        """When there is something to send next."""
        report_us = self.report_due_us if all_reported else self.report_deadline_us
        return min(self.next_heartbeat_us, report_us)

    def should_forward(self, now_us: int, ballot: int) -> bool:
        """Whether a heartbeat is forwarded: after a stall many arrive at once, and one of them is enough."""
        since_last_us = now_us - self.last_heartbeat_us
        return since_last_us >= self.settings.heartbeat_interval_us // 2 or ballot > self.last_ballot

    def on_heartbeat(self, now_us: int, ballot: int, depth: int) -> None:
        """Start an interval with a heartbeat at that depth."""
        self.last_heartbeat_us = now_us
        self.last_ballot = ballot
        earliest_us = self.last_report_us + self.settings.heartbeat_interval_us // 2
        self.report_due_us = max(now_us + self.settings.report_delay_us, earliest_us)
        self.report_deadline_us = self.report_due_us + self.settings.report_timeout_us(depth)

    def should_report(self, now_us: int, all_reported: bool) -> bool:
        """Whether to send the report now."""
        return now_us >= self.report_deadline_us or (now_us >= self.report_due_us and all_reported)

    def on_report(self, now_us: int) -> None:
        """A report was sent; the next is sent without a heartbeat after nine eighths of an interval."""
        self.last_report_us = now_us
        self.report_due_us = now_us + self.settings.heartbeat_interval_us * 9 // 8
        self.report_deadline_us = self.report_due_us

    def on_collected(self) -> None:
        """At the leader: nothing more is waited for in this interval."""
        self.report_due_us = NEVER_US
        self.report_deadline_us = NEVER_US

    @property
    def is_collected(self) -> bool:
        """Whether the leader has collected the reports of this interval."""
        return self.report_due_us == NEVER_US

    def can_wait(self, now_us: int) -> bool:
        """Whether a message of the leader can wait for the next heartbeat, which comes soon enough."""
        longest_wait_us = self.settings.heartbeat_interval_us - self.settings.report_delay_us
        return self.next_heartbeat_us - now_us <= longest_wait_us
