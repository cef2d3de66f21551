"""The settings of the limits' cores; every symbol of docs/design/limits.md that is not a plan's."""

from dataclasses import dataclass

SECOND_US = 1_000_000


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Times in microseconds, shares and rates from 0 to 1."""

    lease_us: int = 2 * SECOND_US  # how long a loan of a share lasts
    drift: float = 0.001  # by how much the rate of a clock may be wrong, either way
    heartbeat_us: int = SECOND_US // 4  # a word to every peer at least so often, in small tiers
    reserved_fraction: float = 0.05  # of its own share that a front door never lends

    @property
    def borrower_lease_us(self) -> int:
        """For how long a borrower uses a loan, by its own clock, from when it asked."""
        return int(self.lease_us * (1 - self.drift))

    @property
    def lender_lease_us(self) -> int:
        """After how long a lender has a loan back, by its own clock, from when it gave it."""
        return int(self.lease_us * (1 + self.drift)) + 1

    @property
    def startup_wait_us(self) -> int:
        """For how long a front door that starts holds nothing, unless all others say that they hold none of
        its share: by its clock, which may be fast where theirs is slow."""
        return int(self.lease_us * (1 + self.drift) / (1 - self.drift)) + 1
