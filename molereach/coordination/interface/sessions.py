"""Sessions, the leases of proxies: how long they last and the messages that renew them.

Source: Gray and Cheriton, "Leases" (SOSP 1989); clocks run at different rates, within `SessionTerms.drift`.
"""

from dataclasses import dataclass
from typing import Annotated, Protocol

from msgspec import Meta

from molereach.coordination.interface.identifiers import SECOND_US, InstanceNumber, Name, Position, WireStruct

RenewalNumber = Annotated[int, Meta(ge=1, le=1 << 62)]


@dataclass(frozen=True, slots=True)
class SessionTerms:
    """How long a session lasts, and by which fraction the rate of a clock may be wrong, either way.

    The holder counts from before it asked, the leader from after it granted, so the session ends at the
    holder first.
    """

    duration_us: int = 5 * SECOND_US
    drift: float = 0.001

    @property
    def holder_duration_us(self) -> int:
        """How long the holder relies on the session, by its own clock, from when it asked."""
        return int(self.duration_us * (1 - self.drift))

    @property
    def expiry_us(self) -> int:
        """After how long it has certainly expired, by any clock, from the grant or any later event."""
        return int(self.duration_us * (1 + self.drift)) + 1


class RenewalRequest(WireStruct, frozen=True, array_like=True):
    """Request to renew a session, with the position up to which the proxy has applied the log.

    It travels up the tree unchanged; at most 48 bytes for names of up to 21 characters.
    """

    name: Name
    instance_number: InstanceNumber
    fencing_token: Position
    number: RenewalNumber  # never repeated within an instance: a grant answers one request
    applied_position: Position
    lag: Position = 0  # by so many positions `clear_position` is behind

    @property
    def clear_position(self) -> int:
        """The position up to which nothing that entries forbid is still in flight at the proxy."""
        return max(0, self.applied_position - self.lag)


class RenewalGrant(WireStruct, frozen=True, array_like=True):
    """The session is renewed, counted from when this request was made; it answers no other request."""

    name: Name
    instance_number: InstanceNumber
    fencing_token: Position
    number: RenewalNumber


class Session(Protocol):
    """What a proxy checks before it does what others rely on; checked each time, never cached."""

    def holds(self, now_us: int) -> bool:
        """Whether the session is valid at this moment.

        After a pause of the process it is found expired before anything is done under it, as long as `now_us`
        was read after the pause.
        """

    @property
    def fencing_token(self) -> int:
        """The log's position at which the session was opened: later sessions have higher ones; 0 for none."""

    @property
    def applied_position(self) -> int:
        """The position up to which the log was applied here, as last reported to the leader."""
