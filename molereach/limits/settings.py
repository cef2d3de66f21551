"""Settings of ceilings and quotas; docs/design/limits.md derives its error bounds from them."""

from dataclasses import dataclass

SECOND_US = 1_000_000
MAX_EVICTIONS = 16_384  # of one table and second; the event loop serves requests in between


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Lease duration, clock drift and heartbeat interval; times in microseconds, fractions from 0 to 1."""

    lease_us: int = 2 * SECOND_US  # duration of a loan
    drift: float = 0.001  # maximum relative error of a clock's rate, in either direction
    heartbeat_us: int = SECOND_US // 4  # maximum interval between messages to a peer, in small tiers
    reserved_fraction: float = 0.05  # of its own share that a proxy never lends

    @property
    def borrower_lease_us(self) -> int:
        """How long a borrower may use a loan, by its own clock and counted from its request."""
        return int(self.lease_us * (1 - self.drift))

    @property
    def lender_lease_us(self) -> int:
        """How long a lender treats a loan as outstanding, by its own clock and counted from its grant."""
        return int(self.lease_us * (1 + self.drift)) + 1

    @property
    def startup_wait_us(self) -> int:
        """How long a starting proxy leaves its own share unused.

        The wait ends early once all peers confirm that they hold no loan of it. The drift counts twice
        because the local clock may run fast while the clocks of the peers run slow.
        """
        return int(self.lease_us * (1 + self.drift) / (1 - self.drift)) + 1
