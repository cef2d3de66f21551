"""The bodies of the log entries about splits, and their one decoder.

In a step of a split, `expected_position` is the position of the entry that brought the split to the state
from which the step starts. A step for any other position is rejected.
"""

from typing import Annotated

import msgspec
from msgspec import Meta, field

from molereach.coordination.interface.identifiers import MAX_MEMBERS, Id, Position, WireStruct
from molereach.coordination.interface.log import MAX_ENTRY_BODY_BYTES
from molereach.shards.counts.messages import Total
from molereach.shards.map.shard_map import CellId, MemberId, ShardNumber, ShardRange
from molereach.shards.proof import SessionClearance

MACHINE = "shards"
MAX_INITIAL_RANGES = 128  # of the first map, which is one entry
_BODY_PREFIX = b'{"kind":"'

Proof = Annotated[tuple[SessionClearance, ...], Meta(max_length=2 * MAX_MEMBERS)]


class CreateMap(WireStruct, frozen=True, tag_field="kind", tag="found"):
    """Create the first map, with the bytes that each of its shards already has, in the same order."""

    ranges: Annotated[tuple[ShardRange, ...], Meta(max_length=MAX_INITIAL_RANGES)] = field(name="pieces")
    shard_bytes: Annotated[tuple[Total, ...], Meta(max_length=MAX_INITIAL_RANGES)] = field(name="bytes")


class PlanSplit(WireStruct, frozen=True, tag_field="kind", tag="plan"):
    """Plan a split: the shard's members from `split_point` on go to another cell of its building."""

    id: Id
    shard: ShardNumber
    split_point: MemberId = field(name="cut")
    target: CellId = field(name="to")


class StartCopy(WireStruct, frozen=True, tag_field="kind", tag="copy"):
    """Start to copy the range to the target cell."""

    id: Id


class CloseRange(WireStruct, frozen=True, tag_field="kind", tag="close"):
    """Let the source cell reject the range's requests. The proof: each front door has applied `StartCopy`."""

    id: Id
    expected_position: Position = field(name="begun")
    proof: Proof


class HandOver(WireStruct, frozen=True, tag_field="kind", tag="hand"):
    """Give the range to the target cell; proposed once the source cell has reported that all is copied."""

    id: Id
    expected_position: Position = field(name="begun")
    range_bytes: Total = field(name="moved")


class ClearRange(WireStruct, frozen=True, tag_field="kind", tag="clear"):
    """Let the source cell delete the range. The proof: no front door sends the range's requests there."""

    id: Id
    expected_position: Position = field(name="begun")
    proof: Proof


class AbandonSplit(WireStruct, frozen=True, tag_field="kind", tag="give up"):
    """Abandon the split, if it has taken no step that the proposer did not know of."""

    id: Id
    expected_position: Position = field(name="begun")
    reason: Annotated[str, Meta(max_length=128)] = field(name="why")


Body = CreateMap | PlanSplit | StartCopy | CloseRange | HandOver | ClearRange | AbandonSplit
_DECODER: msgspec.json.Decoder[Body] = msgspec.json.Decoder(Body)


def encode(body: Body) -> bytes:
    """An entry's body as JSON."""
    return msgspec.json.encode(body)


def decode(data: bytes) -> Body:
    """The body of an entry; ValueError for anything else."""
    if len(data) > MAX_ENTRY_BODY_BYTES or not data.startswith(_BODY_PREFIX):
        raise ValueError("not understood")
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError:  # the library's message may differ between its versions
        raise ValueError("not understood") from None
