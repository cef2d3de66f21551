"""The receipt that a customer gets: the purge, how each front door cleared it, positions and a hash.

The hash is BLAKE2b (RFC 7693, 32 bytes) of the canonical form: the receipt as JSON without spaces, fields in
the order below, front doors by name and instance number, and the hash itself empty. All of it follows from
the log, so every front door gives the same bytes at any time.
"""

from hashlib import blake2b
from typing import Annotated

import msgspec
from msgspec import Meta, field

from molereach.cache.purge.bodies import MAX_SHARDS, ClassName, Member
from molereach.cache.purge.ids import PurgeId
from molereach.cache.purge.records import CompletedPurge, Millis
from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.interface.identifiers import MAX_MEMBERS, Name, Position, WireStruct

HASH_BYTES = 32


class Receipt(WireStruct, frozen=True):
    """Accounts for every front door with an open session at the request; later ones had applied the purge."""

    id: PurgeId
    member: Member
    class_name: ClassName
    shards: Annotated[tuple[Name, ...], Meta(max_length=MAX_SHARDS)]
    requested_position: Position = field(name="asked")
    requested_ms: Millis = field(name="asked_ms")
    completed_position: Position = field(name="done")
    completed_ms: Millis = field(name="done_ms")
    doors: Annotated[tuple[NodeClearance, ...], Meta(max_length=MAX_MEMBERS)]
    hash: Annotated[str, Meta(max_length=2 * HASH_BYTES)] = ""


def canonical_bytes(receipt: Receipt) -> bytes:
    """The form over which the hash is computed."""
    doors = tuple(sorted(receipt.doors, key=lambda clearance: clearance.instance))
    return msgspec.json.encode(msgspec.structs.replace(receipt, doors=doors, hash=""))


def seal(receipt: Receipt) -> Receipt:
    """The receipt with its front doors in order, and its hash."""
    doors = tuple(sorted(receipt.doors, key=lambda clearance: clearance.instance))
    digest = blake2b(canonical_bytes(receipt), digest_size=HASH_BYTES).hexdigest()
    return msgspec.structs.replace(receipt, doors=doors, hash=digest)


def is_intact(receipt: Receipt) -> bool:
    """Whether the receipt is unchanged since it was sealed."""
    return seal(receipt) == receipt


def build_receipt(purge: CompletedPurge, roster: tuple[NodeClearance, ...]) -> Receipt:
    """The receipt of a completed purge; a clearance by report gets the purge's own position."""
    requested = purge.requested
    doors = tuple(
        NodeClearance(clearance.instance, clearance.evidence, requested.position)
        if clearance.evidence is ClearanceEvidence.REPORTED
        else clearance
        for clearance in roster
    )
    return seal(
        Receipt(
            requested.id,
            requested.member,
            requested.class_name,
            requested.shards,
            requested.position,
            requested.at_ms,
            purge.position,
            purge.at_ms,
            doors,
        )
    )
