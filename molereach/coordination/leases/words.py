"""What goes along the tree for sessions: asks up, gathered, and grants down. Arrays, as each beat carries
them.

Source: Gray and Cheriton, "Leases" (SOSP 1989), section 4: renewals are told in batches.
"""

from dataclasses import dataclass
from enum import Enum

from molereach.coordination.interface.identifiers import SECOND_US
from molereach.coordination.interface.sessions import RenewalGrant, RenewalRequest

__all__ = [
    "BEAT_US",
    "Asked",
    "Given",
    "Granted",
    "Held",
    "Leave",
    "Lost",
    "Phase",
    "RenewalGrant",
    "RenewalRequest",
]

BEAT_US = SECOND_US // 2  # between two asks of one front door


@dataclass(frozen=True, slots=True)
class Asked:
    """Event for the keeper: asks that came up the tree, at most one of each front door that counts."""

    asks: tuple[RenewalRequest, ...]


@dataclass(frozen=True, slots=True)
class Given:
    """Action of the keeper: grants to go down the tree; a lost one costs a beat."""

    grants: tuple[RenewalGrant, ...]


@dataclass(frozen=True, slots=True)
class Granted:
    """Event for the holder: grants that came down the tree; those for others are passed over."""

    grants: tuple[RenewalGrant, ...]


class Phase(Enum):
    """Where the session stands, by the log as it was applied here."""

    ABSENT = "absent"  # to be opened
    OPEN = "open"
    LEAVING = "leaving"
    LEFT = "left"
    SUPERSEDED = "superseded"  # a higher life has the name: this run must start anew


@dataclass(frozen=True, slots=True)
class Leave:
    """Event for the holder: close the session in order. From here on it is not held."""


@dataclass(frozen=True, slots=True)
class Held:
    """Action of the holder: the session is held from here on; ask `holds` before each use all the same."""

    fence: int


@dataclass(frozen=True, slots=True)
class Lost:
    """Action of the holder: the session is not held any more. `why` is one plain line."""

    fence: int
    why: str
