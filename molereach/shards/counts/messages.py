"""What front doors tell one another of their counts: cumulative, so one that is lost costs nothing."""

from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.coordination.interface.identifiers import NodeInstance, WireStruct
from molereach.shards.map.shard_map import MEMBERS, MOST_SHARDS, ShardNumber

MOST_BYTES = 1 << 62  # of one row
MOST_ROWS = 2 * MOST_SHARDS  # of one life
MOST_ROWS_TOLD = 256  # in one word
MOST_NODES = 1024  # of one digest
MOST_WORD_BYTES = 64 << 10

Total = Annotated[int, Meta(ge=0, le=MOST_BYTES)]


class Row(WireStruct, frozen=True, array_like=True):
    """Of one shard, since the life began."""

    shard: ShardNumber
    writes: Total
    bytes: Total


Rows = Annotated[tuple[Row, ...], Meta(max_length=MOST_ROWS_TOLD)]


class Told(WireStruct, frozen=True, tag_field="kind", tag="told"):
    """Counts of one life; also by another front door, that has heard them."""

    life: NodeInstance
    rows: Rows


class Node(WireStruct, frozen=True, array_like=True):
    """Of a digest: a range of ids as the dyadic tree numbers it, and what was written in it."""

    number: Annotated[int, Meta(ge=1, lt=2 * MEMBERS)]
    weight: Total


class Sketch(WireStruct, frozen=True, tag_field="kind", tag="sketch"):
    """Which members of a shard wrote, as one life saw it, all of it so far."""

    life: NodeInstance
    shard: ShardNumber
    nodes: Annotated[tuple[Node, ...], Meta(max_length=MOST_NODES)]


Word = Told | Sketch
_DECODER: msgspec.json.Decoder[Word] = msgspec.json.Decoder(Word)


def decode(data: bytes) -> Word:
    """ValueError where it is none."""
    if len(data) > MOST_WORD_BYTES:
        raise ValueError("too large for a word")
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise ValueError(f"not a word: {error}") from None


def told(life: NodeInstance, rows: tuple[Row, ...]) -> tuple[Told, ...]:
    """In words that are as large as may be."""
    return tuple(Told(life, rows[at : at + MOST_ROWS_TOLD]) for at in range(0, len(rows), MOST_ROWS_TOLD))
