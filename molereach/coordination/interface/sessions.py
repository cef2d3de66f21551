"""Sessions, which are the leases of proxies: their duration and the messages that renew them.

Source: Gray and Cheriton, "Leases" (SOSP 1989). Clocks may run at different rates, within
`SessionTerms.drift`.
"""

from dataclasses import dataclass
from typing import Annotated, Protocol

from msgspec import Meta

from molereach.coordination.interface.identifiers import SECOND_US, InstanceNumber, Name, Position, WireStruct

RenewalNumber = Annotated[int, Meta(ge=1, le=1 << 62)]


@dataclass(frozen=True, slots=True)
class SessionTerms:
    """The duration of a session, and by which fraction the rate of a clock may be off in either direction.

    The holder measures from before it sent the request, the leader from after it granted it, so the session
    expires at the holder first.
    """

    duration_us: int = 5 * SECOND_US
    drift: float = 0.001

    @property
    def holder_duration_us(self) -> int:
        """How long the holder relies on the session, by its own clock, from when it sent the request."""
        return int(self.duration_us * (1 - self.drift))

    @property
    def expiry_us(self) -> int:
        """The time from the grant, or any later event, after which the session has expired by any clock."""
        return int(self.duration_us * (1 + self.drift)) + 1


class RenewalRequest(WireStruct, frozen=True, array_like=True):
    """Request to renew a session, with the position up to which the proxy has applied the log.

    It is forwarded up the tree unchanged; at most 48 bytes for names of up to 21 characters.
    """

    name: Name
    instance_number: InstanceNumber
    fencing_token: Position
    number: RenewalNumber  # never repeated within an instance: a grant answers one request
    applied_position: Position
    lag: Position = 0  # by how many positions `clear_position` is behind `applied_position`

    @property
    def clear_position(self) -> int:
        """The position up to which the proxy has nothing in flight that an entry forbids."""
        return max(0, self.applied_position - self.lag)


class RenewalGrant(WireStruct, frozen=True, array_like=True):
    """Renews a session from the time of the one request that it answers."""

    name: Name
    instance_number: InstanceNumber
    fencing_token: Position
    number: RenewalNumber


class Session(Protocol):
    """The session of this proxy. It is checked before each action that others rely on, never cached."""

    def holds(self, now_us: int) -> bool:
        """Whether the session is valid at `now_us`.

        After a pause of the process an expired session is detected before anything is done under it, provided
        that `now_us` was read after the pause.
        """

    @property
    def fencing_token(self) -> int:
        """The log position at which the session was opened, higher for later ones; 0 without a session."""

    @property
    def applied_position(self) -> int:
        """The position up to which this proxy applied the log, as last reported to the leader."""
