"""Proof that an entry is in effect at every proxy: for each one, the evidence that it obeys the entry."""

from enum import Enum

import msgspec

from molereach.coordination.interface.identifiers import NodeInstance, Position, WireStruct


class ClearanceEvidence(Enum):
    """How it is known that a proxy no longer does anything that an entry forbids."""

    # It reported under its session that it has applied the entry and has nothing forbidden in flight.
    REPORTED = "said"
    RESTARTED = "anew"  # it runs as a newer instance, which had the entry before it served
    SESSION_EXPIRED = "over"  # its session has expired by any clock, and a proxy stops when its session ends
    LEFT = "left"  # it left the group in an orderly way


class NodeClearance(WireStruct, frozen=True):
    """The clearance of one proxy, as part of the proof that an entry is in effect at every proxy."""

    instance: NodeInstance = msgspec.field(name="door")
    evidence: ClearanceEvidence = msgspec.field(name="known")
    position: Position  # the log position at which the evidence was known
