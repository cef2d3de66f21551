"""Settings of failure detection: probe interval, reply timeouts and suspicion timeouts.

Sources: Das et al., "SWIM" (DSN 2002), sections 3 and 4; Dadgar et al., "Lifeguard" (2017), section IV.
"""

from dataclasses import dataclass

from molereach.coordination.interface.identifiers import SECOND_US


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Times are microseconds of this proxy's clock. Poor local health lengthens the probe interval."""

    probe_interval_us: int = SECOND_US // 2  # one member is probed per interval
    ping_timeout_us: int = SECOND_US // 5  # without an ack by then, other members are asked to ping
    indirect_probes: int = 3
    suspicion_intervals: int = 4  # times log10 of the number of members: the minimum suspicion timeout
    max_suspicion_multiple: int = 6  # times the minimum timeout, while there is a single accuser
    confirmations: int = 3  # further accusers that reduce the timeout to the minimum
    max_local_health_score: int = 8
    max_rumours: int = 24  # per message
    sync_intervals: int = 30  # mean time between full exchanges of rumours with a random member
    retry_intervals: int = 10  # mean time between attempts to contact a dead member or an unknown seed
    forget_us: int = 600 * SECOND_US  # how long members that are dead or have left are kept
    stall_us: int = SECOND_US // 10  # a Tick delayed by more than this counts as a stall of this process

    def __post_init__(self) -> None:
        """Reject inconsistent values.

        Raises ValueError.
        """
        if not 0 < self.ping_timeout_us < self.probe_interval_us:
            raise ValueError("ping_timeout_us must be above 0 and below probe_interval_us")
        if min(self.indirect_probes, self.max_local_health_score, self.confirmations) < 0:
            raise ValueError("indirect_probes, max_local_health_score and confirmations must not be negative")
        positive = (
            self.suspicion_intervals,
            self.max_suspicion_multiple,
            self.max_rumours,
            self.sync_intervals,
            self.retry_intervals,
            self.stall_us,
        )
        if min(positive) < 1 or self.forget_us < self.probe_interval_us:
            raise ValueError(
                "times and numbers of intervals must be above 0, forget_us at least probe_interval_us"
            )
