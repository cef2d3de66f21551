"""Settings of coordination, validated together."""

from dataclasses import dataclass, field

from molereach.coordination.interface.identifiers import MAX_MEMBERS, SECOND_US
from molereach.coordination.interface.log import VOTER_COUNTS
from molereach.coordination.interface.sessions import SessionTerms

Address = tuple[str, int]  # host and port, as asyncio takes them

MILLISECOND_US = 1000
MIN_HEARTBEATS_PER_SESSION = 4  # so that one lost message does not end a session
MAX_CLOCK_DRIFT = 0.05  # fraction by which a clock may run fast or slow


@dataclass(frozen=True, slots=True)
class CoordinationSettings:
    """Must be the same at all proxies of a cluster. ValueError names the invalid key of the operator file."""

    addresses: dict[str, Address]  # by proxy name
    initial_voters: tuple[str, ...]  # proxy names; the current voters are in the log
    heartbeat_interval_us: int = 500 * MILLISECOND_US
    session_terms: SessionTerms = field(default_factory=SessionTerms)

    def __post_init__(self) -> None:
        self._check_addresses()
        self._check_initial_voters()
        self._check_session_terms()

    def _check_addresses(self) -> None:
        if not 1 <= len(self.addresses) <= MAX_MEMBERS:
            raise ValueError(f"doors: {len(self.addresses)} of them; 1 to {MAX_MEMBERS} can be")
        if len(set(self.addresses.values())) < len(self.addresses):
            raise ValueError("doors: two have one address")

    def _check_initial_voters(self) -> None:
        if len(self.initial_voters) not in VOTER_COUNTS:
            sizes = ", ".join(map(str, VOTER_COUNTS))
            raise ValueError(f"panel: {len(self.initial_voters)} front doors; {sizes} can be")
        for name in self.initial_voters:
            if name not in self.addresses:
                raise ValueError(f"panel: '{name}' is not among the doors")
            if self.initial_voters.count(name) > 1:
                raise ValueError(f"panel: '{name}' stands there twice")

    def _check_session_terms(self) -> None:
        if self.session_terms.duration_us < MIN_HEARTBEATS_PER_SESSION * self.heartbeat_interval_us:
            raise ValueError(f"session_ms: less than {MIN_HEARTBEATS_PER_SESSION} beats")
        if not 0 <= self.session_terms.drift <= MAX_CLOCK_DRIFT:
            raise ValueError("drift: not from 0 to 0.05")

    @property
    def isolation_timeout_us(self) -> int:
        """A proxy is isolated if it receives no message for this long."""
        return max(2 * SECOND_US, 4 * self.heartbeat_interval_us)
