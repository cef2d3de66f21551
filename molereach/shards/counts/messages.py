"""Messages in which front doors report their counts. All are cumulative, so a lost one does no harm."""

from typing import Annotated

import msgspec
from msgspec import Meta, field

from molereach.coordination.interface.identifiers import NodeInstance, WireStruct
from molereach.shards.map.shard_map import MAX_SHARDS, MEMBER_ID_LIMIT, ShardNumber

MAX_BYTES = 1 << 62  # of one row
MAX_ROWS = 2 * MAX_SHARDS  # of one instance
MAX_ROWS_PER_MESSAGE = 256
MAX_DIGEST_NODES = 1024  # of one digest
MAX_MESSAGE_BYTES = 64 << 10

Total = Annotated[int, Meta(ge=0, le=MAX_BYTES)]


class CountRow(WireStruct, frozen=True, array_like=True):
    """The counts of one shard since the instance started."""

    shard: ShardNumber
    writes: Total
    bytes: Total


CountRows = Annotated[tuple[CountRow, ...], Meta(max_length=MAX_ROWS_PER_MESSAGE)]


class CountReport(WireStruct, frozen=True, tag_field="kind", tag="told"):
    """Counts of one instance; a front door may also pass on those of another."""

    instance: NodeInstance = field(name="life")
    rows: CountRows


class DigestNode(WireStruct, frozen=True, array_like=True):
    """A node of a digest: a range of IDs by its number in the binary tree, and the bytes written in it."""

    number: Annotated[int, Meta(ge=1, lt=2 * MEMBER_ID_LIMIT)]
    weight: Total


class DigestReport(WireStruct, frozen=True, tag_field="kind", tag="sketch"):
    """Which members of a shard wrote, as one instance has counted them since its start."""

    instance: NodeInstance = field(name="life")
    shard: ShardNumber
    nodes: Annotated[tuple[DigestNode, ...], Meta(max_length=MAX_DIGEST_NODES)]


Message = CountReport | DigestReport
_DECODER: msgspec.json.Decoder[Message] = msgspec.json.Decoder(Message)


def decode(data: bytes) -> Message:
    """The message in these bytes; ValueError for anything else."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise ValueError("message exceeds the size limit")
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise ValueError(f"not a message about counts: {error}") from None


def count_reports(instance: NodeInstance, rows: tuple[CountRow, ...]) -> tuple[CountReport, ...]:
    """Rows in as few reports as possible."""
    return tuple(
        CountReport(instance, rows[start : start + MAX_ROWS_PER_MESSAGE])
        for start in range(0, len(rows), MAX_ROWS_PER_MESSAGE)
    )
