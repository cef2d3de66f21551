"""What a customer gets: the purge, each front door with how it is known, the log's positions, a hash over it.

The hash is BLAKE2b (RFC 7693, 32 bytes) of the canonical form: the receipt as JSON without spaces, fields in
the order below, front doors by name and life, and the hash itself empty. All of it follows from the log, so
whoever is asked, whenever, gives the same bytes.
"""

from hashlib import blake2b
from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.cache.purge.bodies import MOST_SHARDS, ClassName, Member
from molereach.cache.purge.ids import PurgeId
from molereach.cache.purge.records import Finished, Millis
from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.interface.identifiers import MAX_MEMBERS, Name, Position, WireStruct

HASH_BYTES = 32


class Receipt(WireStruct, frozen=True):
    """All that was open when it was asked for is accounted for; who came later had the purge before."""

    id: PurgeId
    member: Member
    class_name: ClassName
    shards: Annotated[tuple[Name, ...], Meta(max_length=MOST_SHARDS)]
    asked: Position
    asked_ms: Millis
    done: Position
    done_ms: Millis
    doors: Annotated[tuple[NodeClearance, ...], Meta(max_length=MAX_MEMBERS)]
    hash: Annotated[str, Meta(max_length=2 * HASH_BYTES)] = ""


def canonical(receipt: Receipt) -> bytes:
    doors = tuple(sorted(receipt.doors, key=lambda each: each.instance))
    return msgspec.json.encode(msgspec.structs.replace(receipt, doors=doors, hash=""))


def sealed(receipt: Receipt) -> Receipt:
    """With its front doors in order, and its hash."""
    doors = tuple(sorted(receipt.doors, key=lambda each: each.instance))
    data = blake2b(canonical(receipt), digest_size=HASH_BYTES).hexdigest()
    return msgspec.structs.replace(receipt, doors=doors, hash=data)


def intact(receipt: Receipt) -> bool:
    """Whether it is as it was given."""
    return sealed(receipt) == receipt


def receipt_of(done: Finished, roster: tuple[NodeClearance, ...]) -> Receipt:
    """The receipt of a purge that is done; those in the list that said so did so of this purge's position."""
    asked = done.asked
    doors = tuple(
        NodeClearance(each.instance, each.evidence, asked.position)
        if each.evidence is ClearanceEvidence.REPORTED
        else each
        for each in roster
    )
    return sealed(
        Receipt(
            asked.id,
            asked.member,
            asked.class_name,
            asked.shards,
            asked.position,
            asked.at_ms,
            done.position,
            done.at_ms,
            doors,
        )
    )
