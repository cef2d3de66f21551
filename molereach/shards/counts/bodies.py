"""The bodies of the entries about lives that are over, and their one decoder."""

from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance, Position, WireStruct
from molereach.coordination.interface.log import MAX_ENTRY_BODY_BYTES
from molereach.shards.counts.messages import Rows
from molereach.shards.proof import Word

MACHINE = "counts"
_FIRST = b'{"kind":"'


class Fold(WireStruct, frozen=True, tag_field="kind", tag="fold"):
    """A life is over, and this is what was heard of it: the higher of this and what is kept holds."""

    life: NodeInstance
    rows: Rows


class Forget(WireStruct, frozen=True, tag_field="kind", tag="forget"):
    """All front doors have given what they had heard of a life that was first folded at `begun`."""

    life: NodeInstance
    begun: Position
    proof: Annotated[tuple[Word, ...], Meta(max_length=2 * MAX_MEMBERS)]


Body = Fold | Forget
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
