"""Settings of the dissemination tree, and the bounds that follow from them. Times in microseconds.

The order within an interval: the leader sends a heartbeat down; each proxy sends its report `report_delay_us`
after the heartbeat passed, or later: when all its children have reported, or `report_timeout_us` has passed.
So a renewal request that waits for the heartbeat is at the leader in the same interval, and a grant that is
issued in time goes down with the next heartbeat, in the same messages.
"""

from dataclasses import dataclass

from molereach.coordination.interface.identifiers import MAX_MEMBERS, SECOND_US

MAX_CHILDREN = 64  # whatever the settings say
SPARE_DEPTH = 3  # steps more than a full tree needs


@dataclass(frozen=True, slots=True)
class DisseminationSettings:
    """Intervals are counted in heartbeats of the leader."""

    heartbeat_interval_us: int = SECOND_US // 2
    fanout: int = 8  # children by rank of each proxy
    max_entries_bytes: int = 32 << 10  # of entries in one message, and kept for forwarding
    child_timeout_intervals: int = 3  # a child that has not reported for so long is forgotten
    parent_timeout_intervals: int = 2  # a parent that has sent no newer heartbeat for so long is given up
    attach_timeout_intervals: float = 1.5  # for the first message of a new parent
    max_attach_timeout_intervals: float = 3.0  # the same, after many have not replied
    max_preferred_parent_intervals: int = 16  # between requests to the parent by rank, while another serves

    def __post_init__(self) -> None:
        """Reject values out of range.

        Raises ValueError.
        """
        if not 2 <= self.fanout <= MAX_CHILDREN // 2:
            raise ValueError(f"fanout must be from 2 to {MAX_CHILDREN // 2}")
        if self.heartbeat_interval_us < 1_000:
            raise ValueError("heartbeat_interval_us must be at least 1000")

    @property
    def max_children(self) -> int:
        """Children by rank, and as many that came for want of a better parent."""
        return 2 * self.fanout

    @property
    def max_depth(self) -> int:
        """Steps from the leader. In a longer chain requests would take several intervals."""
        depth = 0
        proxies = 1
        while proxies < MAX_MEMBERS:
            depth += 1
            proxies = proxies * self.fanout + 1
        return depth + SPARE_DEPTH

    @property
    def report_delay_us(self) -> int:
        """From the heartbeat to the first reports."""
        return self.heartbeat_interval_us * 3 // 8

    @property
    def fetch_interval_us(self) -> int:
        """The shortest time between two requests to the log to catch up."""
        return self.heartbeat_interval_us // 4

    def report_timeout_us(self, depth: int) -> int:
        """How long to wait for reports that do not come; less the further down, as the waits add up."""
        if depth == 0:
            return self.heartbeat_interval_us * 3 // 8
        return self.heartbeat_interval_us // (2 << min(depth, 4))

    def parent_timeout_us(self, depth: int) -> int:
        """Longer the further down: when an inner proxy fails, only its own children seek another parent."""
        timeout_us = self.parent_timeout_intervals * self.heartbeat_interval_us
        return timeout_us + self.heartbeat_interval_us * min(depth, 8) // 4
