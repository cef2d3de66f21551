"""How often members are probed, how long replies are waited for, and how slowly a suspect is declared dead.

Sources: Das et al., "SWIM" (DSN 2002), sections 3 and 4; Dadgar et al., "Lifeguard" (2017), section IV.
"""

from dataclasses import dataclass

from molereach.coordination.interface.identifiers import SECOND_US


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Times in microseconds of this proxy's clock; intervals are longer while its local health is poor."""

    probe_interval_us: int = SECOND_US // 2  # one member is probed in each
    ping_timeout_us: int = SECOND_US // 5  # without an ack for so long, others are asked to ping
    indirect_probes: int = 3
    suspicion_intervals: int = 4  # times log10 of the members: the minimum time from suspect to dead
    max_suspicion_multiple: int = 6  # times the minimum, while one member alone accuses
    confirmations: int = 3  # by so many others the time falls to the minimum
    max_local_health_score: int = 8
    max_rumours: int = 24  # in one message
    sync_intervals: int = 30  # mean time between exchanges of all rumours with one member
    retry_intervals: int = 10  # mean time between attempts to reach a dead member or an unknown seed
    forget_us: int = 600 * SECOND_US  # after so long a member that is dead or has left is forgotten
    stall_us: int = SECOND_US // 10  # a Tick that is later than this means that this process stalled

    def __post_init__(self) -> None:
        """Reject values that cannot work together.

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
