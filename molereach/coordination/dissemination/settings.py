"""Settings of the dissemination tree, and limits derived from them. Times are in microseconds.

In each interval the leader sends a heartbeat downstream. `report_delay_us` after forwarding it, a proxy sends
its report once all its children have reported, or else after a further `report_timeout_us`. A renewal request
thus reaches the leader in the same interval, and a grant issued in time is sent with the next heartbeat, in
the same messages.
"""

from dataclasses import dataclass

from molereach.coordination.interface.identifiers import MAX_MEMBERS, SECOND_US

MAX_CHILDREN = 64  # upper limit, independent of the settings
SPARE_DEPTH = 3  # levels beyond those of a full tree


@dataclass(frozen=True, slots=True)
class DisseminationSettings:
    """Timeouts in intervals are multiples of `heartbeat_interval_us`."""

    heartbeat_interval_us: int = SECOND_US // 2
    fanout: int = 8  # children by rank per proxy
    max_entries_bytes: int = 32 << 10  # of entries per message, and of those kept for forwarding
    child_timeout_intervals: int = 3  # a child without a report for this long is removed
    parent_timeout_intervals: int = 2  # a parent without a newer heartbeat for this long is replaced
    attach_timeout_intervals: float = 1.5  # for the first heartbeat from a new parent
    max_attach_timeout_intervals: float = 3.0  # the same, after many candidates failed
    max_preferred_parent_intervals: int = 16  # between requests to the preferred parent, while not followed

    def __post_init__(self) -> None:
        """Reject values that are out of range.

        Raises ValueError.
        """
        if not 2 <= self.fanout <= MAX_CHILDREN // 2:
            raise ValueError(f"fanout must be from 2 to {MAX_CHILDREN // 2}")
        if self.heartbeat_interval_us < 1_000:
            raise ValueError("heartbeat_interval_us must be at least 1000")

    @property
    def max_children(self) -> int:
        """The children by rank, and as many others that found no better parent."""
        return 2 * self.fanout

    @property
    def max_depth(self) -> int:
        """The greatest distance from the leader. In a longer chain, requests would take several intervals."""
        depth = 0
        proxies = 1
        while proxies < MAX_MEMBERS:
            depth += 1
            proxies = proxies * self.fanout + 1
        return depth + SPARE_DEPTH

    @property
    def report_delay_us(self) -> int:
        """The time from a heartbeat to the earliest report."""
        return self.heartbeat_interval_us * 3 // 8

    @property
    def fetch_interval_us(self) -> int:
        """The minimum time between two requests to fetch missing entries."""
        return self.heartbeat_interval_us // 4

    def report_timeout_us(self, depth: int) -> int:
        """How long to wait for late reports of children. Decreases with the depth, as the waits add up."""
        if depth == 0:
            return self.heartbeat_interval_us * 3 // 8
        return self.heartbeat_interval_us // (2 << min(depth, 4))

    def parent_timeout_us(self, depth: int) -> int:
        """Increases with the depth, so that only the children of a failed proxy look for another parent."""
        timeout_us = self.parent_timeout_intervals * self.heartbeat_interval_us
        return timeout_us + self.heartbeat_interval_us * min(depth, 8) // 4
