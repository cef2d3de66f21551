"""The bodies of the log entries about instances that ended, and their one decoder."""

from typing import Annotated

import msgspec
from msgspec import Meta, field

from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance, Position, WireStruct
from molereach.coordination.interface.log import MAX_ENTRY_BODY_BYTES
from molereach.shards.counts.messages import CountRows
from molereach.shards.proof import SessionClearance

MACHINE = "counts"
_BODY_PREFIX = b'{"kind":"'


class Fold(WireStruct, frozen=True, tag_field="kind", tag="fold"):
    """Merge the last known counts of an instance that ended into the log's, by maximum."""

    instance: NodeInstance = field(name="life")
    rows: CountRows


class Retire(WireStruct, frozen=True, tag_field="kind", tag="forget"):
    """Add an instance to the base. The proof: all front doors have folded what they knew of it.

    `folded_at` is the position of the instance's first fold.
    """

    instance: NodeInstance = field(name="life")
    folded_at: Position = field(name="begun")
    proof: Annotated[tuple[SessionClearance, ...], Meta(max_length=2 * MAX_MEMBERS)]


Body = Fold | Retire
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
