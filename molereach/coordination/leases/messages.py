"""Events and actions of lease holders and lease managers.

Renewal requests go up the dissemination tree, gathered; grants go down it. Source: Gray and Cheriton,
"Leases" (SOSP 1989), section 4: renewals are sent in batches.
"""

from dataclasses import dataclass
from enum import Enum

from molereach.coordination.interface.identifiers import SECOND_US
from molereach.coordination.interface.sessions import RenewalGrant, RenewalRequest

RENEWAL_INTERVAL_US = SECOND_US // 2  # between two renewal requests of one holder


@dataclass(frozen=True, slots=True)
class RenewalsReceived:
    """Event for the manager: renewal requests came up the tree, at most one of each node that counts."""

    requests: tuple[RenewalRequest, ...]


@dataclass(frozen=True, slots=True)
class SendGrants:
    """Action of the manager: send grants down the tree; a lost one costs its holder a renewal interval."""

    grants: tuple[RenewalGrant, ...]


@dataclass(frozen=True, slots=True)
class GrantsReceived:
    """Event for the holder: grants came down the tree; those for other nodes are ignored."""

    grants: tuple[RenewalGrant, ...]


class LeasePhase(Enum):
    """Where a session stands, by the log as it was applied here."""

    ABSENT = "absent"  # to be opened
    OPEN = "open"
    LEAVING = "leaving"
    LEFT = "left"
    SUPERSEDED = "superseded"  # a higher instance has the name: this process must restart


@dataclass(frozen=True, slots=True)
class ReleaseLease:
    """Event for the holder: close the session in order. From here on it does not hold."""


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """Action of the holder: the session holds from here on; check `holds` before each use all the same."""

    fencing_token: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """Action of the holder: the session does not hold any more. `reason` is one line of text."""

    fencing_token: int
    reason: str
