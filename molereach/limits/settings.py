"""The settings of the limits' cores; docs/design/limits.md uses them in its bounds."""

from dataclasses import dataclass

SECOND_US = 1_000_000


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Leases, clocks and heartbeats; times in microseconds, fractions from 0 to 1."""

    lease_us: int = 2 * SECOND_US  # how long a loan of a share lasts
    drift: float = 0.001  # by how much the rate of a clock may be wrong, either way
    heartbeat_us: int = SECOND_US // 4  # a message to every peer at least so often, in small tiers
    reserved_fraction: float = 0.05  # of its own share that a proxy never lends

    @property
    def borrower_lease_us(self) -> int:
        """How long a borrower uses a loan, by its own clock, from its request on."""
        return int(self.lease_us * (1 - self.drift))

    @property
    def lender_lease_us(self) -> int:
        """How long a lender goes without a loan, by its own clock, from its grant on."""
        return int(self.lease_us * (1 + self.drift)) + 1

    @property
    def startup_wait_us(self) -> int:
        """How long a proxy that starts holds nothing, unless all others report that they hold nothing of it.

        Its own clock may be fast where theirs are slow, so that the drift counts twice.
        """
        return int(self.lease_us * (1 + self.drift) / (1 - self.drift)) + 1
