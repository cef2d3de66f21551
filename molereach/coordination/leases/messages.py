"""Events and actions of lease holders and lease managers.

Renewal requests travel up the dissemination tree in batches; grants travel down it. Source: Gray and
Cheriton, "Leases" (SOSP 1989), section 4, on batched renewals.
"""

from dataclasses import dataclass
from enum import Enum

from molereach.coordination.interface.identifiers import SECOND_US
from molereach.coordination.interface.sessions import RenewalGrant, RenewalRequest

RENEWAL_INTERVAL_US = SECOND_US // 2  # between two renewal requests of a holder


@dataclass(frozen=True, slots=True)
class RenewalsReceived:
    """Event for the manager: renewal requests from the tree; only the newest of each node counts."""

    requests: tuple[RenewalRequest, ...]


@dataclass(frozen=True, slots=True)
class SendGrants:
    """Action of the manager: send grants down the tree; losing one costs its holder a renewal interval."""

    grants: tuple[RenewalGrant, ...]


@dataclass(frozen=True, slots=True)
class GrantsReceived:
    """Event for the holder: grants from the tree; those for other nodes are ignored."""

    grants: tuple[RenewalGrant, ...]


class LeasePhase(Enum):
    """State of a node's own session, according to the log as applied at this node."""

    ABSENT = "absent"  # not opened yet, or ended and to be opened again
    OPEN = "open"
    LEAVING = "leaving"
    LEFT = "left"
    SUPERSEDED = "superseded"  # a higher instance uses the name: this process must restart


@dataclass(frozen=True, slots=True)
class ReleaseLease:
    """Event for the holder: close the session in an orderly way; it stops being valid at once."""


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """Action of the holder: the session is valid now; `holds` must still be checked before each use."""

    fencing_token: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """Action of the holder: the session is no longer valid. `reason` is one line of text."""

    fencing_token: int
    reason: str
