"""What can be set about the tree, and the bounds that follow. Times in microseconds.

How a beat goes by: the leader sends a pulse down; each front door's word up leaves `hold_us` after the pulse
came by, or later: when all below have spoken, or `late_us` is over. So an ask that waits for the pulse is at
the leader in the same beat, and what was given in time goes down with the next pulse, in the same words.
"""

from dataclasses import dataclass

from molereach.coordination.interface.identifiers import MAX_MEMBERS, SECOND_US

MAX_CHILDREN = 64  # whatever the settings say


@dataclass(frozen=True, slots=True)
class DisseminationSettings:
    heartbeat_interval_us: int = SECOND_US // 2
    fanout: int = 8  # children of each front door by rank
    max_entries_bytes: int = 32 << 10  # of entries in one word, and kept for passing on
    child_timeout_intervals: int = 3  # a child that has said nothing for so long is forgotten
    parent_timeout_intervals: int = (
        2  # a parent that has brought nothing new of the leader for so long is doubted
    )
    attach_timeout_intervals: float = 1.5  # for the first word of one that was asked to be the parent
    max_attach_timeout_intervals: float = 3.0  # the same, after many have not answered
    max_preferred_parent_intervals: int = (
        16  # most between asks of the parent by rank, while another one serves
    )

    def __post_init__(self) -> None:
        if not 2 <= self.fanout <= MAX_CHILDREN // 2:
            raise ValueError(f"fan must be from 2 to {MAX_CHILDREN // 2}")
        if self.heartbeat_interval_us < 1_000:
            raise ValueError("beat_us must be at least 1000")

    @property
    def max_children(self) -> int:
        """With those who came for want of a better parent."""
        return 2 * self.fanout

    @property
    def max_depth(self) -> int:
        """Steps from the leader, three more than a full tree needs. In a long chain asks would take beats."""
        depth, doors = 0, 1
        while doors < MAX_MEMBERS:
            depth, doors = depth + 1, doors * self.fanout + 1
        return depth + 3

    @property
    def report_delay_us(self) -> int:
        """From the pulse to the first words up."""
        return self.heartbeat_interval_us * 3 // 8

    @property
    def fetch_interval_us(self) -> int:
        """Least time between two asks of the log to catch up."""
        return self.heartbeat_interval_us // 4

    def report_timeout_us(self, depth: int) -> int:
        """How long to wait for words from below that do not come; less the further down, as they add up."""
        return (
            self.heartbeat_interval_us * 3 // 8
            if depth == 0
            else self.heartbeat_interval_us // (2 << min(depth, 4))
        )

    def parent_timeout_us(self, depth: int) -> int:
        """Longer the further down: when an inner front door dies, only its children look for another."""
        return (
            self.parent_timeout_intervals * self.heartbeat_interval_us
            + self.heartbeat_interval_us * min(depth, 8) // 4
        )
