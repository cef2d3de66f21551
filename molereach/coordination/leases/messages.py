"""What goes along the tree for sessions: asks up, gathered, and grants down. Arrays, as each beat carries
them.

Source: Gray and Cheriton, "Leases" (SOSP 1989), section 4: renewals are told in batches.
"""

from dataclasses import dataclass
from enum import Enum

from molereach.coordination.interface.identifiers import SECOND_US
from molereach.coordination.interface.sessions import RenewalGrant, RenewalRequest

RENEWAL_INTERVAL_US = SECOND_US // 2  # between two asks of one front door


@dataclass(frozen=True, slots=True)
class RenewalsReceived:
    """Event for the keeper: asks that came up the tree, at most one of each front door that counts."""

    requests: tuple[RenewalRequest, ...]


@dataclass(frozen=True, slots=True)
class SendGrants:
    """Action of the keeper: grants to go down the tree; a lost one costs a beat."""

    grants: tuple[RenewalGrant, ...]


@dataclass(frozen=True, slots=True)
class GrantsReceived:
    """Event for the holder: grants that came down the tree; those for others are passed over."""

    grants: tuple[RenewalGrant, ...]


class LeasePhase(Enum):
    """Where the session stands, by the log as it was applied here."""

    ABSENT = "absent"  # to be opened
    OPEN = "open"
    LEAVING = "leaving"
    LEFT = "left"
    SUPERSEDED = "superseded"  # a higher life has the name: this run must start anew


@dataclass(frozen=True, slots=True)
class ReleaseLease:
    """Event for the holder: close the session in order. From here on it is not held."""


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """Action of the holder: the session is held from here on; ask `holds` before each use all the same."""

    fencing_token: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """Action of the holder: the session is not held any more. `why` is one plain line."""

    fencing_token: int
    reason: str
