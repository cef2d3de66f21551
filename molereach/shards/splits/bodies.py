"""The bodies of the entries about splits, and their one decoder."""

from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.coordination.interface.identifiers import MAX_MEMBERS, Id, Position, WireStruct
from molereach.coordination.interface.log import MAX_ENTRY_BODY_BYTES
from molereach.shards.counts.messages import Total
from molereach.shards.map.shard_map import Home, Member, Piece, ShardNumber
from molereach.shards.proof import Word

MACHINE = "shards"
MOST_PIECES_FOUND = 128  # of the first map, in one entry
_FIRST = b'{"kind":"'

Proof = Annotated[tuple[Word, ...], Meta(max_length=2 * MAX_MEMBERS)]


class Found(WireStruct, frozen=True, tag_field="kind", tag="found"):
    """The first map, and what each shard has already, in its order."""

    pieces: Annotated[tuple[Piece, ...], Meta(max_length=MOST_PIECES_FOUND)]
    bytes: Annotated[tuple[Total, ...], Meta(max_length=MOST_PIECES_FOUND)]


class Plan(WireStruct, frozen=True, tag_field="kind", tag="plan"):
    """Split this shard: the members from `cut` go to another cell of its building."""

    id: Id
    shard: ShardNumber
    cut: Member
    to: Home


class Copy(WireStruct, frozen=True, tag_field="kind", tag="copy"):
    id: Id


class Close(WireStruct, frozen=True, tag_field="kind", tag="close"):
    """`begun` is the position at which copying began; the proof is that each front door knows of it."""

    id: Id
    begun: Position
    proof: Proof


class Hand(WireStruct, frozen=True, tag_field="kind", tag="hand"):
    """`begun` is the position of the closing, after which the old cell said that all was copied."""

    id: Id
    begun: Position
    moved: Total  # bytes of the range


class Clear(WireStruct, frozen=True, tag_field="kind", tag="clear"):
    """`begun` is the position of the hand-over; the proof is that no front door sends to the old cell."""

    id: Id
    begun: Position
    proof: Proof


class GiveUp(WireStruct, frozen=True, tag_field="kind", tag="give up"):
    """`begun` is the position of the last step that its proposer knew of."""

    id: Id
    begun: Position
    why: Annotated[str, Meta(max_length=128)]


Body = Found | Plan | Copy | Close | Hand | Clear | GiveUp
_DECODER: msgspec.json.Decoder[Body] = msgspec.json.Decoder(Body)


def encode(body: Body) -> bytes:
    return msgspec.json.encode(body)


def decode(data: bytes) -> Body:
    """ValueError where it is none of them."""
    if len(data) > MAX_ENTRY_BODY_BYTES or not data.startswith(_FIRST):
        raise ValueError("not understood")
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError:  # its words are the library's, and may differ between its versions
        raise ValueError("not understood") from None
