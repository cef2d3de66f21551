"""Proof that an entry holds everywhere: for each proxy, how it is known to be clear of what is forbidden."""

from enum import Enum

import msgspec

from molereach.coordination.interface.identifiers import NodeInstance, Position, WireStruct


class ClearanceEvidence(Enum):
    """How it is known that a proxy no longer does anything that an entry forbids."""

    REPORTED = (
        "said"  # it reported under its session that it applied the entry and has nothing left in flight
    )
    RESTARTED = "anew"  # it runs as a newer instance, which had the entry before it served
    SESSION_EXPIRED = "over"  # its session has certainly expired; without one it stops by itself
    LEFT = "left"  # it left the group in order


class NodeClearance(WireStruct, frozen=True):
    """The clearance of one proxy, as part of the proof that an entry holds everywhere."""

    instance: NodeInstance = msgspec.field(name="door")
    evidence: ClearanceEvidence = msgspec.field(name="known")
    position: Position  # the log's position at which it was known
